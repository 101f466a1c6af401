package node

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/wire"
)

// maxPendingLimits bounds the rate limits that wait to be sent; more are dropped, and the
// next response names the limit again.
const maxPendingLimits = 64

// limitSharer exchanges the rate limits that endpoints name with the other entries. A
// limited endpoint gets few requests, so that most entries would otherwise learn of the
// limit, and of its end, from a response of their own only much later.
type limitSharer struct {
	fleet *fleet.Fleet
	// peers returns the addresses of the other entries.
	peers   func() []string
	metrics *metrics.Set
	log     logr.Logger
	// limitedLog is log with a rate limit, for faults that can occur very often.
	limitedLog logr.Logger
	pending    chan wire.RateLimitReport
}

func newLimitSharer(f *fleet.Fleet, peers func() []string, set *metrics.Set, log logr.Logger) *limitSharer {
	return &limitSharer{fleet: f, peers: peers, metrics: set, log: log, limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst),
		pending: make(chan wire.RateLimitReport, maxPendingLimits)}
}

// tell passes a rate limit to run without blocking.
func (s *limitSharer) tell(endpoint string, l fleet.RateLimit) {
	select {
	case s.pending <- wire.RateLimitReport{Endpoint: endpoint, RateLimit: encodeRateLimit(l)}:
	default:
		s.limitedLog.Info("Rate limit not sent to the other entries.", "endpoint", endpoint)
	}
}

// run sends the rate limits that are told to the other entries until ctx ends.
func (s *limitSharer) run(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.pending:
			datagram, _ := json.Marshal(r) // strings always encode
			for _, peer := range s.peers() {
				if addr, err := netip.ParseAddrPort(peer); err == nil {
					sendDatagram(conn, datagram, net.UDPAddrFromAddrPort(addr), s.metrics, s.limitedLog)
				}
			}
		}
	}
}

// receive records the rate limit in a datagram of another entry.
func (s *limitSharer) receive(datagram []byte) {
	var r wire.RateLimitReport
	if err := json.Unmarshal(datagram, &r); err != nil || r.Endpoint == "" {
		s.limitedLog.Info("Malformed datagram ignored.")
		return
	}
	s.record(r.Endpoint, r.RateLimit, "entry")
}

// record records a rate limit that an agent or another entry reports.
func (s *limitSharer) record(endpoint, value, source string) {
	limit, ok := decodeRateLimit(value)
	if !ok {
		s.limitedLog.Info("Malformed rate limit ignored.", "endpoint", endpoint, "value", value, "source", source)
		return
	}
	if s.fleet.RecordRateLimit(endpoint, limit) {
		s.log.Info("Endpoint changed its rate limit.", "endpoint", endpoint, "per_second", limit.String(), "source", source)
	}
}

// encodeRateLimit returns the form of a rate limit in datagrams.
func encodeRateLimit(l fleet.RateLimit) string {
	if !l.Named {
		return wire.RateLimitNone
	}
	return l.String()
}

func decodeRateLimit(value string) (fleet.RateLimit, bool) {
	if value == wire.RateLimitNone {
		return fleet.RateLimit{}, true
	}
	return platform.ParseRateLimit(value)
}
