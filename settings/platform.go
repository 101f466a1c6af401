package settings

import (
	"fmt"
	"net/netip"
)

// PlatformNode holds the settings of an entry or agent that runs on a platform of
// the users' own: the platform's store replaces bundles and gossip, and
// endpoints are reached over plain HTTP.
type PlatformNode struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	IP   string `json:"ip"`
	// SourceIP is the IP number that connections come from, for VMs with
	// several; empty lets the system choose.
	SourceIP string `json:"dial_from"`
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
	// MemoryLimitMB is the memory in megabytes beyond which the platform ends the
	// process; 0 for no bound.
	MemoryLimitMB int    `json:"memory_mb"`
	Bounds        Bounds `json:"bounds"`
}

// Bounds are the promises that the operators set for the whole system.
type Bounds struct {
	// GracePeriodS is the time from SIGTERM to SIGKILL in seconds.
	GracePeriodS float64 `json:"grace_s"`
	// RetryRatio, RepeatSlack and RepeatWindowS bound the repeats to one
	// service: a part of its requests and a number more, within the window.
	RetryRatio   float64 `json:"repeat_ratio"`
	RetrySlack   float64 `json:"repeat_slack"`
	RetryWindowS float64 `json:"repeat_window_s"`
	// ColdBurstFactor and ColdSlack turn the rate that a cold endpoint bears into
	// the number of requests that it may get in one second.
	ColdBurstFactor float64 `json:"cold_overage"`
	ColdBurstSlack  float64 `json:"cold_slack"`
	// DirectoryTTLS is the longest time in seconds that callers keep an answer
	// of the directory.
	DirectoryTTLS float64 `json:"directory_ttl_s"`
}

// Validate checks the settings common to entries and agents.
func (d *PlatformNode) Validate() error {
	if d.ID == "" {
		return &Error{Field: "id", Reason: "is missing", Remedy: "set a non-empty name"}
	}
	if d.Zone == "" {
		return &Error{Field: "zone", Reason: "is missing", Remedy: "set the name of the VM's availability zone"}
	}
	if _, err := netip.ParseAddr(d.IP); err != nil {
		return &Error{Field: "ip", Reason: fmt.Sprintf("%q is not an IP number", d.IP), Remedy: "use an IP number of this machine"}
	}
	if _, err := d.SourceAddr(); err != nil {
		return &Error{Field: "dial_from", Reason: fmt.Sprintf("%q is not an IP number", d.SourceIP), Remedy: "use an IP number of this machine, or leave it out"}
	}
	const lastPort = 65535 - 3
	if d.PeerPort <= 0 || d.PeerPort > lastPort {
		return &Error{Field: "peer_port", Reason: "is out of range", Remedy: "use the first of four free ports"}
	}
	if d.Bounds.GracePeriodS <= 0 {
		return &Error{Field: "bounds.grace_s", Reason: "is not positive", Remedy: "set the seconds from SIGTERM to SIGKILL"}
	}
	if d.MetricsAddr != "" {
		if err := checkAddr("metrics_addr", d.MetricsAddr); err != nil {
			return err
		}
	}
	return checkAddr("store_addr", d.StoreAddr)
}

// SourceAddr returns the IP number that connections come from, zero for any.
func (d *PlatformNode) SourceAddr() (netip.Addr, error) {
	if d.SourceIP == "" {
		return netip.Addr{}, nil
	}
	return netip.ParseAddr(d.SourceIP)
}

// PlatformEntry is Direct with the checks of an entry.
type PlatformEntry struct{ PlatformNode }

// Validate implements Validator.
func (e *PlatformEntry) Validate() error {
	if err := e.PlatformNode.Validate(); err != nil {
		return err
	}
	for _, f := range []struct{ name, addr string }{
		{"callers_addr", e.CallersAddr}, {"ready_addr", e.ReadyAddr}, {"directory_addr", e.DirectoryAddr},
	} {
		if err := checkAddr(f.name, f.addr); err != nil {
			return err
		}
	}
	if b := e.Bounds; b.RetryWindowS <= 0 || b.RetryRatio < 0 || b.RetrySlack < 0 {
		return &Error{Field: "bounds.repeat_window_s", Reason: "a bound on repeats is missing or negative", Remedy: "set repeat_ratio, repeat_slack and repeat_window_s"}
	}
	if e.Bounds.DirectoryTTLS <= 0 {
		return &Error{Field: "bounds.directory_ttl_s", Reason: "is not positive", Remedy: "set the longest time that callers keep an answer of the directory"}
	}
	return nil
}

// PlatformAgent is Direct with the checks of an agent.
type PlatformAgent struct{ PlatformNode }

// Validate implements Validator.
func (a *PlatformAgent) Validate() error {
	if err := a.PlatformNode.Validate(); err != nil {
		return err
	}
	if a.Service == "" {
		return &Error{Field: "service", Reason: "is missing", Remedy: "name the service of the endpoint"}
	}
	return checkAddr("endpoint_addr", a.EndpointAddr)
}
