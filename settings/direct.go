package settings

import (
	"fmt"
	"net/netip"
)

// Direct holds the settings of an entry or agent that runs on a platform of
// the users' own: the platform's store replaces bundles and gossip, and
// endpoints are reached over plain HTTP.
type Direct struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	IP   string `json:"ip"`
	// DialFrom is the IP number that connections come from, for VMs with
	// several; empty lets the system choose.
	DialFrom string `json:"dial_from"`
	// CallersAddr, ReadyAddr and DirectoryAddr are served by entries.
	CallersAddr   string `json:"callers_addr"`
	ReadyAddr     string `json:"ready_addr"`
	DirectoryAddr string `json:"directory_addr"`
	// PeerPort is the port of our own processes: an entry uses it and the next
	// one, an agent on the same VM the two after these.
	PeerPort int `json:"peer_port"`
	// EndpointAddr and Service describe an agent's endpoint.
	EndpointAddr string `json:"endpoint_addr"`
	Service      string `json:"service"`
	StoreAddr    string `json:"store_addr"`
	// MetricsAddr serves counters and latency histograms as text; empty for
	// only the internal address.
	MetricsAddr string `json:"metrics_addr"`
	// MemoryMB is the memory in megabytes beyond which the platform ends the
	// process; 0 for no bound.
	MemoryMB int    `json:"memory_mb"`
	Bounds   Bounds `json:"bounds"`
}

// Bounds are the promises that the operators set for the whole system.
type Bounds struct {
	// GraceS is the time from SIGTERM to SIGKILL in seconds.
	GraceS float64 `json:"grace_s"`
	// RepeatRatio, RepeatSlack and RepeatWindowS bound the repeats to one
	// service: a part of its requests and a number more, within the window.
	RepeatRatio   float64 `json:"repeat_ratio"`
	RepeatSlack   float64 `json:"repeat_slack"`
	RepeatWindowS float64 `json:"repeat_window_s"`
	// ColdOverage and ColdSlack turn the rate that a cold endpoint bears into
	// the number of requests that it may get in one second.
	ColdOverage float64 `json:"cold_overage"`
	ColdSlack   float64 `json:"cold_slack"`
	// DirectoryTTLS is the longest time in seconds that callers keep an answer
	// of the directory.
	DirectoryTTLS float64 `json:"directory_ttl_s"`
}

// Validate checks the settings common to entries and agents.
func (d *Direct) Validate() error {
	if d.ID == "" {
		return &Error{Field: "id", Reason: "is missing", Remedy: "set a non-empty name"}
	}
	if d.Zone == "" {
		return &Error{Field: "zone", Reason: "is missing", Remedy: "set the name of the VM's availability zone"}
	}
	if _, err := netip.ParseAddr(d.IP); err != nil {
		return &Error{Field: "ip", Reason: fmt.Sprintf("%q is not an IP number", d.IP), Remedy: "use an IP number of this machine"}
	}
	if _, err := d.DialIP(); err != nil {
		return &Error{Field: "dial_from", Reason: fmt.Sprintf("%q is not an IP number", d.DialFrom), Remedy: "use an IP number of this machine, or leave it out"}
	}
	const lastPort = 65535 - 3
	if d.PeerPort <= 0 || d.PeerPort > lastPort {
		return &Error{Field: "peer_port", Reason: "is out of range", Remedy: "use the first of four free ports"}
	}
	if d.Bounds.GraceS <= 0 {
		return &Error{Field: "bounds.grace_s", Reason: "is not positive", Remedy: "set the seconds from SIGTERM to SIGKILL"}
	}
	if d.MetricsAddr != "" {
		if err := checkAddr("metrics_addr", d.MetricsAddr); err != nil {
			return err
		}
	}
	return checkAddr("store_addr", d.StoreAddr)
}

// DialIP returns the IP number that connections come from, zero for any.
func (d *Direct) DialIP() (netip.Addr, error) {
	if d.DialFrom == "" {
		return netip.Addr{}, nil
	}
	return netip.ParseAddr(d.DialFrom)
}

// DirectEntry is Direct with the checks of an entry.
type DirectEntry struct{ Direct }

// Validate implements Validator.
func (e *DirectEntry) Validate() error {
	if err := e.Direct.Validate(); err != nil {
		return err
	}
	for _, f := range []struct{ name, addr string }{
		{"callers_addr", e.CallersAddr}, {"ready_addr", e.ReadyAddr}, {"directory_addr", e.DirectoryAddr},
	} {
		if err := checkAddr(f.name, f.addr); err != nil {
			return err
		}
	}
	if b := e.Bounds; b.RepeatWindowS <= 0 || b.RepeatRatio < 0 || b.RepeatSlack < 0 {
		return &Error{Field: "bounds.repeat_window_s", Reason: "a bound on repeats is missing or negative", Remedy: "set repeat_ratio, repeat_slack and repeat_window_s"}
	}
	if e.Bounds.DirectoryTTLS <= 0 {
		return &Error{Field: "bounds.directory_ttl_s", Reason: "is not positive", Remedy: "set the longest time that callers keep an answer of the directory"}
	}
	return nil
}

// DirectAgent is Direct with the checks of an agent.
type DirectAgent struct{ Direct }

// Validate implements Validator.
func (a *DirectAgent) Validate() error {
	if err := a.Direct.Validate(); err != nil {
		return err
	}
	if a.Service == "" {
		return &Error{Field: "service", Reason: "is missing", Remedy: "name the service of the endpoint"}
	}
	return checkAddr("endpoint_addr", a.EndpointAddr)
}
