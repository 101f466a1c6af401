package intake

import (
	"expvar"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/settings"
)

const (
	// linesPerSecond and lineBurst bound the log lines about refused and ended peers, whose
	// number the peers determine.
	linesPerSecond = 5
	lineBurst      = 20
	// httpPart and rpcPart divide the connections that limits.Sizes allows to callers
	// between the node's two listeners. A running request may need a second connection, to
	// an agent or an endpoint, so a third of the sockets at least is left for these.
	httpPart = 3.0 / 4
	rpcPart  = 1.0 / 4
	// gcMemoryPart is Go's memory limit, near which the garbage collector runs more often,
	// as a part of the VM's memory. The rest is left for memory that Go's limit doesn't
	// count: the program's mappings, and kernel memory such as socket buffers.
	gcMemoryPart = 0.7
)

// Metrics of the limits, by limits.Event.Limit.
var (
	refused = expvar.NewMap("limits_refused")
	ended   = expvar.NewMap("limits_ended")
)

// current is the Intake of the process, for the gauges.
var current atomic.Pointer[Intake]

func init() {
	gauge := func(name string, value func(in *Intake) int64) {
		expvar.Publish(name, expvar.Func(func() any {
			if in := current.Load(); in != nil {
				return value(in)
			}
			return 0
		}))
	}
	gauge("limits_memory_held_bytes", func(in *Intake) int64 { return in.Memory.Held() })
	gauge("limits_memory_bytes", func(in *Intake) int64 { return in.Memory.Size() })
	gauge("limits_http_connections", func(in *Intake) int64 { return int64(in.HTTP.Open()) })
	gauge("limits_rpc_connections", func(in *Intake) int64 { return int64(in.RPC.Open()) })
}

// Intake holds the bounds of one daemon.
type Intake struct {
	Memory *limits.Memory
	// HTTP and RPC bound the connections of the node's two listeners.
	HTTP, RPC *limits.Connections
	// Log is limited in its rate, for lines about peers that are refused.
	Log logr.Logger
}

// New returns the bounds that follow from the settings of a node. A peer of the HTTP
// listener must read within writeTimeout what is sent to it.
func New(n settings.Node, writeTimeout time.Duration, log logr.Logger) *Intake {
	in := &Intake{Log: logs.Limit(log.WithName("limits"), linesPerSecond, lineBurst)}
	sizes := limits.SizesFor(n.MemoryMB, n.FileDescriptors)
	in.Memory = limits.NewMemory(sizes.MemoryBytes, in.report)
	in.HTTP = limits.NewConnections(partOf(sizes.Callers, httpPart), in.Memory, in.report)
	in.HTTP.WriteTimeout = writeTimeout
	in.RPC = limits.NewConnections(partOf(sizes.Callers, rpcPart), in.Memory, in.report)
	current.Store(in)
	log.WithName("limits").Info("Limits of this process.", "memory_mb", n.MemoryMB, "peer_bytes", sizes.MemoryBytes,
		"http_connections", partOf(sizes.Callers, httpPart), "rpc_connections", partOf(sizes.Callers, rpcPart))
	return in
}

// partOf returns a part of n, which is 0 for no bound.
func partOf(n int, part float64) int {
	if n == 0 {
		return 0
	}
	return max(1, int(float64(n)*part))
}

// SetMemoryLimit sets Go's memory limit for a VM of the given size in megabytes (2^20
// bytes).
func SetMemoryLimit(megabytes int) {
	debug.SetMemoryLimit(int64(gcMemoryPart * float64(megabytes) * (1 << 20)))
}

// report counts and logs a decision against a peer.
func (in *Intake) report(e limits.Event) {
	if e.Refused {
		refused.Add(e.Limit, 1)
	} else {
		ended.Add(e.Limit, 1)
	}
	in.Log.Info("Limit reached.", "limit", e.Limit, "peer", e.Host, "action", e.Action(), "in_use", e.Held, "of", e.Size,
		"bytes", e.Bytes, "waited", e.Waited.String())
}
