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
	"github.com/wasabinotch/wasabinotch/httpguard"
)

// GlobalOptions holds the output and the options that all commands share.
type GlobalOptions struct {
	Out     io.Writer
	Entries []string `long:"entry" env:"WASABINOTCH_ENTRIES" env-delim:"," description:"HTTP address of an entry, IP:port; may be repeated"`
	APIKey  string   `long:"api-key" env:"WASABINOTCH_API_KEY" description:"API key of an organisation, for shares and explain"`
}

func (g *GlobalOptions) newClient() (*client, error) {
	if len(g.Entries) == 0 {
		return nil, trace.BadParameter("no entry is given; give --entry IP:port")
	}
	return &client{entries: g.Entries, apiKey: g.APIKey, httpClient: newHTTPClient()}, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: httpguard.NewTransport(nil)}
}

// get requests path from the first entry that responds and decodes the JSON
// response into response.
func (g *GlobalOptions) get(path string, response any) error {
	c, err := g.newClient()
	if err != nil {
		return err
	}
	return c.do(http.MethodGet, path, nil, response)
}

// collectDecisions requests the decisions on a request from all entries, since only
// the entry that served the request has them.
func (g *GlobalOptions) collectDecisions(requestID string) ([]api.Decision, error) {
	var all []api.Decision
	var errs []error
	for _, entry := range g.Entries {
		c := &client{entries: []string{entry}, apiKey: g.APIKey, httpClient: newHTTPClient()}
		var found []api.Decision
		if err := c.do(http.MethodGet, api.PathExplain+url.PathEscape(requestID), nil, &found); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, found...)
	}
	if len(all) == 0 {
		return nil, trace.NotFound("no entry has decisions on request %s; give more entries with --entry (decisions are kept for recent requests only): %v", requestID, errors.Join(errs...))
	}
	return all, nil
}

func (g *GlobalOptions) printJSON(v any) error {
	enc := json.NewEncoder(g.Out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

// command is a node of the command tree: a command or, with sub, a group of them.
type command struct {
	name, help string
	run        any
	sub        []command
}

// NewParser returns the command line parser of the wasabinotch program.
func NewParser(out io.Writer) (*flags.Parser, error) {
	global := &GlobalOptions{Out: out}
	p := flags.NewNamedParser("wasabinotch", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", global); err != nil {
		return nil, trace.Wrap(err)
	}
	return p, addCommands(p.Command, commandTree(global))
}

func commandTree(global *GlobalOptions) []command {
	return []command{
		{name: "bundle", help: "check, sign, roll out and show bundles", sub: []command{
			{name: "check", help: "check a bundle file and print its digest", run: &BundleCheckCommand{global: global}},
			{name: "sign", help: "add a member's signature to a bundle file", run: &BundleSignCommand{global: global}},
			{name: "roll", help: "roll out a signed bundle", run: &BundleRollOutCommand{global: global}},
			{name: "status", help: "show the bundle in force on each node", run: &BundleStatusCommand{global: global}},
		}},
		{name: "zone", help: "take an availability zone out of service, or return it", sub: intentCommands(global, "zone")},
		{name: "vm", help: "take a VM out of service, or return it", sub: intentCommands(global, "vm")},
		{name: "shares", help: "show the agreed and the served shares of the organisations", run: &SharesCommand{global: global}},
		{name: "explain", help: "show the decisions made on a request", run: &ExplainCommand{global: global}},
		{name: "status", help: "show the state of an entry and of the nodes it knows", run: &StatusCommand{global: global}},
		{name: "keys", help: "create keys", sub: []command{
			{name: "member", help: "create a member's signing key", run: &SigningKeyCommand{global: global}},
			{name: "operator", help: "create an operator's signing key", run: &SigningKeyCommand{global: global}},
			{name: "auth", help: "create a key for the settings field auth_key", run: &AuthKeyCommand{global: global}},
			{name: "organisation", help: "create an organisation's API key and its digest", run: &APIKeyCommand{global: global}},
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
