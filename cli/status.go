package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
)

// digestShown is the number of digits of a digest in a table.
const digestShown = 12

func short(digest string) string {
	return digest[:min(len(digest), digestShown)]
}

func printNodes(out io.Writer, nodes []api.NodeStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tROLE\tZONE\tVM\tSTATE\tSERVICE\tBUNDLE\tDIGEST\tINTENTS\tHEARD")
	for _, n := range nodes {
		heard := time.Duration(n.LastSeenAgeMS) * time.Millisecond
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n",
			n.NodeID, n.Role, n.Zone, n.VM, n.State, n.Service, n.BundleVersion, short(n.BundleDigest), n.IntentsRev, heard)
	}
	return trace.Wrap(w.Flush())
}

// StatusCommand shows an entry's state.
type StatusCommand struct{ env *GlobalOptions }

// Execute implements flags.Commander.
func (s *StatusCommand) Execute([]string) error {
	var a api.Status
	if err := s.env.get(api.PathStatus, &a); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.env.Out, "entry %s, zone %s, %s\nbundle %d, digest %s\nintents revision %d, zones out %v, VMs out %v\nstore reachable: %v, view confirmed %d ms ago\n\n",
		a.NodeID, a.Zone, a.State, a.BundleVersion, a.BundleDigest, a.IntentsRev, a.ZonesOut, a.VMsOut, a.StoreOK, a.ConfirmedAgeMS)
	if err != nil {
		return trace.Wrap(err)
	}
	return printNodes(s.env.Out, a.Nodes)
}

// SharesCommand shows agreed and served shares.
type SharesCommand struct{ env *GlobalOptions }

// Execute implements flags.Commander.
func (s *SharesCommand) Execute([]string) error {
	var a api.Shares
	if err := s.env.get(api.PathShares, &a); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "bundle %d, digest %s\n", a.BundleVersion, a.BundleDigest)
	_, _ = fmt.Fprintln(w, "SERVICE\tORGANISATION\tAGREED\tSERVED\tTOKENS")
	for _, u := range a.Services {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.0f\n", u.Service, u.Organisation, u.AgreedShare, u.ServedShare, u.ServedCost)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return printNodes(s.env.Out, a.Nodes)
}

// ExplainCommand shows the decisions on one request.
type ExplainCommand struct {
	Args struct {
		RequestID string `positional-arg-name:"REQUEST_ID"`
	} `positional-args:"yes" required:"yes"`
	env *GlobalOptions
}

// Execute implements flags.Commander.
func (x *ExplainCommand) Execute([]string) error {
	decisions, err := x.env.decisions(x.Args.RequestID)
	if err != nil {
		return err
	}
	for _, d := range decisions {
		_, err := fmt.Fprintf(x.env.Out, "%s  %s  attempt %d: %s\n", d.At.Format(time.RFC3339Nano), d.Component, d.Attempt, d.Text)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
