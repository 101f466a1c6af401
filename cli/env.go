package cli

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/api"
)

// GlobalOptions is what the commands share: the output and the global options.
type GlobalOptions struct {
	Out     io.Writer
	Entries []string `long:"entry" env:"WASABINOTCH_ENTRIES" env-delim:"," description:"HTTP address IP:port of an entry; may be given several times"`
	APIKey  string   `long:"api-key" env:"WASABINOTCH_API_KEY" description:"API key of an organisation, for shares and explain"`
}

func (e *GlobalOptions) client() (*client, error) {
	if len(e.Entries) == 0 {
		return nil, trace.BadParameter("no entry is named; give --entry IP:port")
	}
	return &client{entries: e.Entries, apiKey: e.APIKey, http: &http.Client{}}, nil
}

// get reads one JSON answer and prints it.
func (e *GlobalOptions) get(path string, answer any) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	return c.do(http.MethodGet, path, nil, answer)
}

// decisions asks all entries, since only the one that served a request knows
// its decisions.
func (e *GlobalOptions) decisions(requestID string) ([]api.Decision, error) {
	var all []api.Decision
	var errs []error
	for _, entry := range e.Entries {
		c := &client{entries: []string{entry}, apiKey: e.APIKey, http: &http.Client{}}
		var found []api.Decision
		if err := c.do(http.MethodGet, api.PathExplain+url.PathEscape(requestID), nil, &found); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, found...)
	}
	if len(all) == 0 {
		return nil, trace.NotFound("no entry knows request %s; name more entries with --entry, decisions are kept for recent requests only: %v", requestID, errors.Join(errs...))
	}
	return all, nil
}

func (e *GlobalOptions) printJSON(v any) error {
	enc := json.NewEncoder(e.Out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

// command is a named node of the command tree.
type command struct {
	name, help string
	run        any
	sub        []command
}

// NewParser returns the command line parser of the wasabinotch program.
func NewParser(out io.Writer) (*flags.Parser, error) {
	env := &GlobalOptions{Out: out}
	p := flags.NewNamedParser("wasabinotch", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", env); err != nil {
		return nil, trace.Wrap(err)
	}
	return p, addCommands(p.Command, tree(env))
}

func tree(env *GlobalOptions) []command {
	return []command{
		{name: "bundle", help: "check, sign, roll out and show bundles", sub: []command{
			{name: "check", help: "check a bundle file and print its digest", run: &BundleCheckCommand{env: env}},
			{name: "sign", help: "add a member's signature to a bundle file", run: &BundleSignCommand{env: env}},
			{name: "roll", help: "roll out a signed bundle", run: &BundleRollOutCommand{env: env}},
			{name: "status", help: "show the bundle in force on each node", run: &BundleStatusCommand{env: env}},
		}},
		{name: "zone", help: "take an availability zone out, or bring it back", sub: moveCommands(env, "zone")},
		{name: "vm", help: "take a VM out, or bring it back", sub: moveCommands(env, "vm")},
		{name: "shares", help: "show agreed and served shares", run: &SharesCommand{env: env}},
		{name: "explain", help: "show the decisions on a request", run: &ExplainCommand{env: env}},
		{name: "status", help: "show the state of an entry and of the nodes it knows", run: &StatusCommand{env: env}},
		{name: "keys", help: "create keys", sub: []command{
			{name: "member", help: "create a member's signing key", run: &SigningKeyCommand{env: env}},
			{name: "operator", help: "create an operator's signing key", run: &SigningKeyCommand{env: env}},
			{name: "auth", help: "create the key of the settings field auth_key", run: &AuthKeyCommand{env: env}},
			{name: "organisation", help: "create an organisation's API key and its digest", run: &APIKeyCommand{env: env}},
		}},
	}
}

func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		run := c.run
		if run == nil {
			run = &struct{}{}
		}
		added, err := parent.AddCommand(c.name, c.help, "", run)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := addCommands(added, c.sub); err != nil {
			return err
		}
	}
	return nil
}
