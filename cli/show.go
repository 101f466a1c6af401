package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
)

// shownDigestDigits is the number of hex digits of a digest that tables show.
const shownDigestDigits = 12

func shortDigest(digest string) string {
	return digest[:min(len(digest), shownDigestDigits)]
}

func printNodes(out io.Writer, nodes []api.NodeStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tROLE\tZONE\tVM\tSTATE\tSERVICE\tBUNDLE\tDIGEST\tINTENTS\tHEARD")
	for _, n := range nodes {
		lastSeenAge := time.Duration(n.LastSeenAgeMS) * time.Millisecond
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n",
			n.NodeID, n.Role, n.Zone, n.VM, n.State, n.Service, n.BundleVersion, shortDigest(n.BundleDigest), n.IntentsRev, lastSeenAge)
	}
	return trace.Wrap(w.Flush())
}

// StatusCommand shows the state of an entry and of the nodes it knows.
type StatusCommand struct{ global *GlobalOptions }

func (s *StatusCommand) Execute([]string) error {
	var status api.Status
	if err := s.global.get(api.PathStatus, &status); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.global.Out, "entry %s, zone %s, %s\nbundle %d, digest %s\nintents revision %d, zones out %v, VMs out %v\nstore reachable: %v, view confirmed %d ms ago\n\n",
		status.NodeID, status.Zone, status.State, status.BundleVersion, status.BundleDigest, status.IntentsRev, status.ZonesOut, status.VMsOut, status.StoreOK, status.ConfirmedAgeMS)
	if err != nil {
		return trace.Wrap(err)
	}
	return printNodes(s.global.Out, status.Nodes)
}

// SharesCommand shows the agreed and the served shares of the organisations.
type SharesCommand struct{ global *GlobalOptions }

func (s *SharesCommand) Execute([]string) error {
	var shares api.Shares
	if err := s.global.get(api.PathShares, &shares); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.global.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "bundle %d, digest %s\n", shares.BundleVersion, shares.BundleDigest)
	_, _ = fmt.Fprintln(w, "SERVICE\tORGANISATION\tAGREED\tSERVED\tTOKENS")
	for _, u := range shares.Services {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.0f\n", u.Service, u.Organisation, u.AgreedShare, u.ServedShare, u.ServedCost)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return printNodes(s.global.Out, shares.Nodes)
}

// ExplainCommand shows the decisions on one request.
type ExplainCommand struct {
	Args struct {
		RequestID string `positional-arg-name:"REQUEST_ID"`
	} `positional-args:"yes" required:"yes"`
	global *GlobalOptions
}

func (x *ExplainCommand) Execute([]string) error {
	decisions, err := x.global.collectDecisions(x.Args.RequestID)
	if err != nil {
		return err
	}
	for _, d := range decisions {
		_, err := fmt.Fprintf(x.global.Out, "%s  %s  attempt %d: %s\n", d.At.Format(time.RFC3339Nano), d.Component, d.Attempt, d.Text)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
