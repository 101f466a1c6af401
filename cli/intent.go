package cli

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
)

// IntentCommand signs and sends an intent: it takes a zone or a VM out of service,
// or returns it to service.
type IntentCommand struct {
	Key      string `long:"key" required:"yes" description:"operator's key file"`
	Reason   string `long:"reason" description:"reason, stored with the command"`
	Revision uint64 `long:"revision" description:"revision of the command; default: the revision in force plus one"`
	Args     struct {
		Target string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	global *GlobalOptions
	kind   string
	out    bool
}

func intentCommands(global *GlobalOptions, kind string) []command {
	return []command{
		{name: "out", help: "take it out of service: it gets no new requests", run: &IntentCommand{global: global, kind: kind, out: true}},
		{name: "in", help: "return it to service", run: &IntentCommand{global: global, kind: kind}},
	}
}

func (m *IntentCommand) Execute([]string) error {
	name, key, err := ReadSigningKey(m.Key)
	if err != nil {
		return err
	}
	c, err := m.global.newClient()
	if err != nil {
		return err
	}
	var status api.Status
	if err := c.do(http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return err
	}
	in := bundle.Intent{Kind: m.kind, Target: m.Args.Target, Out: m.out, Reason: m.Reason, Revision: m.Revision}
	if in.Revision == 0 {
		in.Revision = status.IntentsRev + 1
	}
	if err := in.Sign(name, key); err != nil {
		return err
	}
	var result api.AdminResult
	if err := c.do(http.MethodPost, api.PathAdminIntents, in, &result); err != nil {
		return fmt.Errorf("revision %d: %w", in.Revision, err)
	}
	if err := m.global.printJSON(result); err != nil {
		return err
	}
	return checkConfirmed(status, result)
}

// checkConfirmed returns an error if a zone that has nodes in status has not
// confirmed the command.
func checkConfirmed(status api.Status, result api.AdminResult) error {
	for _, n := range status.Nodes {
		if !slices.Contains(result.ConfirmedZones, n.Zone) {
			return trace.LimitExceeded("zone %s has not confirmed the command; check its nodes with 'wasabinotch status', and repeat the command with --revision %d", n.Zone, result.Revision)
		}
	}
	return nil
}
