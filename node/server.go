package node

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/settings"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply unless the configuration
	// sets other values.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

const (
	// maxInternalHeadBytes bounds the head of a request to a listener that isn't for
	// callers, internalReadTimeout the time until such a request is read. Both are far
	// above what processes and the users' clients need there.
	maxInternalHeadBytes = 8 << 10
	internalReadTimeout  = 10 * time.Second
	// decodedBytes is the memory of a decoded JSON document, with the copies made
	// meanwhile, in relation to its length.
	decodedBytes = 8
)

// bounds are the limits on what a process holds for its peers.
type bounds struct {
	memory  *limits.Memory
	sizes   limits.Sizes
	timeout time.Duration // limits.Connections.WriteTimeout, 0 for its default
	metrics *metrics.Set
	log     logr.Logger // limited
}

// newBounds returns the limits of a process with the given settings. Its metrics are
// registered in set; log should limit the rate of lines.
func newBounds(s *settings.PlatformNode, set *metrics.Set, log logr.Logger) *bounds {
	b := &bounds{sizes: limits.SizesFor(s.MemoryLimitMB, s.FileDescriptors), timeout: s.Limits.WriteTimeout(), metrics: set, log: log}
	if s.Limits.HeldMB > 0 {
		b.sizes.MemoryBytes = int64(s.Limits.HeldMB) << 20
	}
	if s.Limits.CallersConnections > 0 {
		b.sizes.Callers = s.Limits.CallersConnections
	}
	b.memory = limits.NewMemory(b.sizes.MemoryBytes, b.record)
	set.NewGauge("wasabinotch_held_bytes", func() float64 { return float64(b.memory.Held()) })
	return b
}

// record counts and logs a decision of a limit.
func (b *bounds) record(e limits.Event) {
	b.metrics.GetOrCreateCounter(`wasabinotch_limits_total{limit="` + e.Limit + `",action="` + e.Action() + `"}`).Inc()
	b.log.Info("Limit met.", "limit", e.Limit, "action", e.Action(), "peer", e.Host, "in_use", e.Held, "size", e.Size,
		"bytes", e.Bytes, "waited_ms", e.Waited.Milliseconds())
}

// callers returns the bound of the connections of the listener for callers.
func (b *bounds) callers() *limits.Connections {
	c := b.connections(b.sizes.Callers)
	b.metrics.NewGauge("wasabinotch_callers_connections", func() float64 { return float64(c.Open()) })
	return c
}

// internal returns the bound of the connections of another listener.
func (b *bounds) internal() *limits.Connections { return b.connections(b.sizes.Internal) }

func (b *bounds) connections(size int) *limits.Connections {
	c := limits.NewConnections(size, b.memory, b.record)
	if b.timeout > 0 {
		c.WriteTimeout = b.timeout
	}
	return c
}

// newServer returns an HTTP server. It discards net/http's log lines, most of
// which report callers' protocol errors.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
}

// newInternalServer returns an HTTP server for a listener that isn't for callers.
func newInternalServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.MaxHeaderBytes, s.ReadTimeout = maxInternalHeadBytes, internalReadTimeout
	return s
}

// serve accepts connections from ln, bounded by conns, until the server is closed.
func serve(s *http.Server, ln net.Listener, conns *limits.Connections, l logr.Logger) {
	conns.Server(s)
	if err := s.Serve(conns.Listener(ln)); !errors.Is(err, http.ErrServerClosed) {
		l.Error(err, "Listener failed.", "address", ln.Addr().String())
	}
}

// decodeBody decodes the JSON body of a request of at most limit bytes into v, in memory
// that it claims. If it can't, it responds with an error and returns false; remedy says
// what to send. The claim must be released in both cases.
func (b *bounds) decodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any, remedy string) (claim *limits.Claim, ok bool) {
	claim = b.memory.Claim(limits.Host(r.RemoteAddr), func() { limits.Abort(r.Context()) })
	body, err := limits.ReadBody(r.Body, r.ContentLength, limit, claim)
	claim.EndWait()
	if err == nil {
		err = claim.Grow(body.Len() * decodedBytes)
	}
	status := http.StatusBadRequest
	switch {
	case err == nil:
		if err = json.NewDecoder(body.Reader()).Decode(v); err == nil {
			limits.RequestRead(r.Context())
			return claim, true
		}
	case errors.Is(err, limits.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, limits.ErrSpent), errors.Is(err, limits.ErrRevoked):
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Connection", "close")
	http.Error(w, remedy+": "+err.Error(), status)
	return claim, false
}
