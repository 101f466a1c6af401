package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/share"
)

// PlatformNode holds the settings common to entries and agents that run on the
// users' platform (command wasabinotch-node), where the platform's store replaces
// bundles and gossip, and endpoints are reached over plain HTTP.
type PlatformNode struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// IP is the local IP address for traffic between wasabinotch processes.
	IP string `json:"ip"`
	// SourceIP is the local IP address of outgoing connections, for VMs with
	// several addresses. Default "": the operating system chooses.
	SourceIP string `json:"dial_from"`
	// CallersAddr, ReadyAddr and DirectoryAddr are the IP:port on which an entry
	// serves callers, its readiness check and the directory of entries.
	CallersAddr   string `json:"callers_addr"`
	ReadyAddr     string `json:"ready_addr"`
	DirectoryAddr string `json:"directory_addr"`
	// PeerPort is the first of four consecutive ports for traffic between
	// wasabinotch processes: an entry uses the first two, an agent on the same VM
	// the last two.
	PeerPort int `json:"peer_port"`
	// EndpointAddr (IP:port) and Service describe an agent's endpoint.
	EndpointAddr string `json:"endpoint_addr"`
	Service      string `json:"service"`
	// StoreAddr is the IP:port of the platform's store.
	StoreAddr string `json:"store_addr"`
	// MetricsAddr is the IP:port that serves counters and latency histograms as
	// text. Default "": they are served on the process's internal address only.
	MetricsAddr string `json:"metrics_addr"`
	// MemoryLimitMB is the memory in megabytes (2^20 bytes) beyond which the
	// platform ends the process; 0 for no limit.
	MemoryLimitMB int `json:"memory_mb"`
	// CoreShare is the part of a core that the VM gives the process, CoreSpeed its speed in
	// multiples of a core. LinkMbps is its link in megabits a second. Callers are sent to
	// entries by what their VMs bear. Default 0: unknown; without any of them, MemoryLimitMB
	// and FileDescriptors, the VM counts as an average one.
	CoreShare float64 `json:"core_share"`
	CoreSpeed float64 `json:"core_speed"`
	LinkMbps  float64 `json:"link_mbit_per_s"`
	// FileDescriptors is how many descriptors the process may open. Default 0: as many as
	// the operating system allows.
	FileDescriptors int           `json:"file_descriptors"`
	Limits          ProcessLimits `json:"limits"`
	Bounds          Bounds        `json:"bounds"`
	// Placement is used by entries only.
	Placement Placement `json:"placement"`
}

// Placement configures how endpoints are chosen for prompts.
type Placement struct {
	// PromptReuseWeight multiplies the reading time that is saved at an endpoint which holds
	// the beginning of a prompt, against the load there; a number without unit. 0 switches
	// this off. Default (left out): placement.DefaultReuseWeight.
	PromptReuseWeight *float64 `json:"prompt_reuse_weight"`
	// PromptRetentionMS is how long engines hold a prompt after its request, in
	// milliseconds. Default 0: only while the request runs.
	PromptRetentionMS float64 `json:"prompt_retention_ms"`
}

// ReuseWeight returns PromptReuseWeight or its default.
func (p *Placement) ReuseWeight() float64 {
	if p.PromptReuseWeight == nil {
		return placement.DefaultReuseWeight
	}
	return *p.PromptReuseWeight
}

// maxReuseWeight and maxRetentionMS bound the settings of Placement.
const (
	maxReuseWeight = 10
	maxRetentionMS = 24 * 3600 * 1000
)

func (p *Placement) validate() error {
	if w := p.ReuseWeight(); w < 0 || w > maxReuseWeight {
		return &Error{Field: "placement.prompt_reuse_weight", Reason: fmt.Sprintf("%v is out of range", w), Remedy: fmt.Sprintf("use a number from 0 (off) to %d, or leave it out", maxReuseWeight)}
	}
	if ms := p.PromptRetentionMS; ms < 0 || ms > maxRetentionMS {
		return &Error{Field: "placement.prompt_retention_ms", Reason: fmt.Sprintf("%v is out of range", ms), Remedy: fmt.Sprintf("set the milliseconds for which engines hold a prompt after its request, from 0 to %d", maxRetentionMS)}
	}
	return nil
}

// ProcessLimits bound what a process holds for its peers. 0 stands for the defaults, which
// follow from MemoryLimitMB and FileDescriptors.
type ProcessLimits struct {
	// HeldMB is the memory for the bytes of requests and responses in megabytes (2^20
	// bytes). Default: a quarter of MemoryLimitMB.
	HeldMB int `json:"held_mb"`
	// CallersConnections is the number of connections that callers may have open.
	// Default: half of the descriptors that aren't reserved for files, but at most one for
	// each 128 KiB of MemoryLimitMB.
	CallersConnections int `json:"callers_connections"`
	// WriteTimeoutMS is the time in milliseconds within which a peer must read 16 KiB that
	// are sent to it. Default: 20,000.
	WriteTimeoutMS float64 `json:"write_timeout_ms"`
}

// maxHeldMB bounds HeldMB, so that it can be counted in bytes on every platform.
const maxHeldMB = 1 << 20

// WriteTimeout returns WriteTimeoutMS, or 0 for the default.
func (l *ProcessLimits) WriteTimeout() time.Duration {
	return time.Duration(l.WriteTimeoutMS * float64(time.Millisecond))
}

// Bounds are the limits that the operators guarantee for the whole system.
type Bounds struct {
	// GracePeriodS is the time from SIGTERM to SIGKILL, in seconds.
	GracePeriodS float64 `json:"grace_s"`
	// RetryRatio, RetrySlack and RetryWindowS are the retry budget of a service:
	// within a window of RetryWindowS seconds, at most RetryRatio retries per
	// request, plus RetrySlack.
	RetryRatio   float64 `json:"repeat_ratio"`
	RetrySlack   float64 `json:"repeat_slack"`
	RetryWindowS float64 `json:"repeat_window_s"`
	// ColdBurstFactor and ColdBurstSlack bound the requests to a cold endpoint
	// within one second: the rate that it sustains times ColdBurstFactor, plus
	// ColdBurstSlack.
	ColdBurstFactor float64 `json:"cold_overage"`
	ColdBurstSlack  float64 `json:"cold_slack"`
	// DirectoryTTLS is the longest time that callers may cache a directory
	// response, in seconds.
	DirectoryTTLS float64 `json:"directory_ttl_s"`
	// HeartbeatMS is the interval in milliseconds at which endpoints write their
	// records. Default 0: DefaultHeartbeat.
	HeartbeatMS float64 `json:"heartbeat_ms"`
}

// DefaultHeartbeat is the interval at which endpoints write their records on the users'
// platform, as its pages state.
const DefaultHeartbeat = 1200 * time.Millisecond

// Heartbeat returns the interval at which endpoints write their records.
func (b *Bounds) Heartbeat() time.Duration {
	if b.HeartbeatMS <= 0 {
		return DefaultHeartbeat
	}
	return time.Duration(b.HeartbeatMS * float64(time.Millisecond))
}

// Validate checks the settings common to entries and agents. The error is an *Error.
func (n *PlatformNode) Validate() error {
	if n.ID == "" {
		return &Error{Field: "id", Reason: "is missing", Remedy: "set a non-empty name"}
	}
	if n.Zone == "" {
		return &Error{Field: "zone", Reason: "is missing", Remedy: "set the name of the VM's availability zone"}
	}
	if _, err := netip.ParseAddr(n.IP); err != nil {
		return &Error{Field: "ip", Reason: fmt.Sprintf("%q is not an IP address", n.IP), Remedy: "use an IP address of this machine"}
	}
	if _, err := n.SourceAddr(); err != nil {
		return &Error{Field: "dial_from", Reason: fmt.Sprintf("%q is not an IP address", n.SourceIP), Remedy: "use an IP address of this machine, or leave it out"}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"memory_mb", float64(n.MemoryLimitMB)}, {"core_share", n.CoreShare}, {"core_speed", n.CoreSpeed},
		{"file_descriptors", float64(n.FileDescriptors)}, {"link_mbit_per_s", n.LinkMbps},
		{"limits.held_mb", float64(n.Limits.HeldMB)}, {"limits.callers_connections", float64(n.Limits.CallersConnections)},
		{"limits.write_timeout_ms", n.Limits.WriteTimeoutMS},
	} {
		if f.value < 0 {
			return &Error{Field: f.name, Reason: "is negative", Remedy: "set what the VM has, or 0 if it is unknown or for the default"}
		}
	}
	if n.Limits.HeldMB > maxHeldMB {
		return &Error{Field: "limits.held_mb", Reason: "is out of range", Remedy: fmt.Sprintf("use at most %d megabytes, or 0 for the default", maxHeldMB)}
	}
	const lastPort = 65535 - 3
	if n.PeerPort <= 0 || n.PeerPort > lastPort {
		return &Error{Field: "peer_port", Reason: "is out of range", Remedy: "use the first of four consecutive free ports"}
	}
	if n.Bounds.GracePeriodS <= 0 {
		return &Error{Field: "bounds.grace_s", Reason: "is not positive", Remedy: "set the seconds from SIGTERM to SIGKILL"}
	}
	if n.MetricsAddr != "" {
		if err := checkAddr("metrics_addr", n.MetricsAddr); err != nil {
			return err
		}
	}
	return checkAddr("store_addr", n.StoreAddr)
}

// Resources returns what the settings say about the VM.
func (n *PlatformNode) Resources() share.Resources {
	speed := n.CoreSpeed
	if speed == 0 {
		speed = 1
	}
	return share.Resources{Cores: n.CoreShare * speed, MemoryMB: float64(n.MemoryLimitMB), Descriptors: float64(n.FileDescriptors), LinkMbps: n.LinkMbps}
}

// SourceAddr returns SourceIP parsed, or the zero Addr if it is empty.
func (n *PlatformNode) SourceAddr() (netip.Addr, error) {
	if n.SourceIP == "" {
		return netip.Addr{}, nil
	}
	return netip.ParseAddr(n.SourceIP)
}

// PlatformEntry holds the settings of an entry on the users' platform.
type PlatformEntry struct{ PlatformNode }

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
		return &Error{Field: "bounds.repeat_window_s", Reason: "the retry budget is missing or negative", Remedy: "set repeat_ratio, repeat_slack and repeat_window_s"}
	}
	if e.Bounds.DirectoryTTLS <= 0 {
		return &Error{Field: "bounds.directory_ttl_s", Reason: "is not positive", Remedy: "set the longest time in seconds that callers may cache a directory response"}
	}
	return e.Placement.validate()
}

// PlatformAgent holds the settings of an agent on the users' platform.
type PlatformAgent struct{ PlatformNode }

func (a *PlatformAgent) Validate() error {
	if err := a.PlatformNode.Validate(); err != nil {
		return err
	}
	if a.Service == "" {
		return &Error{Field: "service", Reason: "is missing", Remedy: "name the service of the endpoint"}
	}
	return checkAddr("endpoint_addr", a.EndpointAddr)
}
