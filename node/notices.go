package node

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/share"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxPendingNotices bounds the notices that wait to be sent; more are dropped. The next
	// response names a limit again, and entries compare the endpoints that leave.
	maxPendingNotices = 64
	// headerLeaving is the header of responses at pathOperator with the endpoints that
	// leave, if the entry that asks knows others. Its query parameter "leaving" is the
	// checksum of those that it knows.
	headerLeaving = "Leaving"
	// maxLeavingNamed bounds the endpoints in headerLeaving.
	maxLeavingNamed = 512
)

// noticeSharer exchanges what endpoints say of themselves with the other entries: the
// rate limits that they name, and that they leave. A limited endpoint gets few requests,
// so that most entries would otherwise learn of the limit, and of its end, from a response
// of their own only much later.
type noticeSharer struct {
	fleet *fleet.Fleet
	// peers returns the addresses of the other entries.
	peers   func() []string
	metrics *metrics.Set
	log     logr.Logger
	// limitedLog is log with a rate limit, for faults that can occur very often.
	limitedLog logr.Logger
	pending    chan wire.EndpointNotice
	// heard is called for an entry that tells that it serves.
	heard func(share.Member)
}

func newNoticeSharer(f *fleet.Fleet, peers func() []string, set *metrics.Set, log logr.Logger) *noticeSharer {
	return &noticeSharer{fleet: f, peers: peers, metrics: set, log: log, limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst),
		pending: make(chan wire.EndpointNotice, maxPendingNotices)}
}

// tellRateLimit passes a rate limit to run without blocking.
func (s *noticeSharer) tellRateLimit(endpoint string, l fleet.RateLimit) {
	s.tell(wire.EndpointNotice{Endpoint: endpoint, RateLimit: encodeRateLimit(l)})
}

// tellLeaving passes an endpoint that leaves to run without blocking.
func (s *noticeSharer) tellLeaving(r fleet.Run) {
	s.tell(wire.EndpointNotice{Endpoint: r.ID, Leaving: true, Incarnation: r.Incarnation})
}

// tellServing passes this entry to run without blocking.
func (s *noticeSharer) tellServing(m share.Member) {
	s.tell(wire.EndpointNotice{Entry: m.ID, Weight: m.Weight})
}

func (s *noticeSharer) tell(n wire.EndpointNotice) {
	select {
	case s.pending <- n:
	default:
		s.limitedLog.Info("Notice not sent to the other entries.", "endpoint", n.Endpoint, "leaving", n.Leaving)
	}
}

// run sends the notices to the other entries until ctx ends.
func (s *noticeSharer) run(ctx context.Context, conn net.PacketConn) {
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

// receive records what a datagram of another entry says.
func (s *noticeSharer) receive(datagram []byte) {
	var n wire.EndpointNotice
	if err := json.Unmarshal(datagram, &n); err != nil || n.Endpoint == "" && n.Entry == "" {
		s.limitedLog.Info("Malformed datagram ignored.")
		return
	}
	if n.Entry != "" {
		s.heard(share.Member{ID: n.Entry, Weight: share.Bounded(n.Weight)})
		return
	}
	if n.Leaving {
		s.recordLeaving(fleet.Run{ID: n.Endpoint, Incarnation: n.Incarnation}, "entry")
	}
	if n.RateLimit != "" {
		s.recordRateLimit(n.Endpoint, n.RateLimit, "entry")
	}
}

// recordLeaving records an endpoint of which an agent or another entry reports that it
// leaves.
func (s *noticeSharer) recordLeaving(r fleet.Run, source string) {
	if s.fleet.RecordLeaving(r) {
		s.log.Info("Endpoint leaves.", "endpoint", r.ID, "born", r.Incarnation, "source", source)
	}
}

// leavingChecksum returns a checksum of the endpoints that leave, as far as this entry
// knows.
func (s *noticeSharer) leavingChecksum() string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(encodeRuns(s.fleet.Leaving()))) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// answerLeaving adds the endpoints that leave to a response, unless the entry that asks
// knows the same ones.
func (s *noticeSharer) answerLeaving(w http.ResponseWriter, checksum string) {
	if checksum == "" || checksum == s.leavingChecksum() {
		return
	}
	runs := s.fleet.Leaving()
	w.Header().Set(headerLeaving, encodeRuns(runs[:min(len(runs), maxLeavingNamed)]))
}

// mergeLeaving records the endpoints that leave according to another entry.
func (s *noticeSharer) mergeLeaving(value string) {
	for part := range strings.SplitSeq(value, ",") {
		id, incarnation, ok := strings.Cut(part, "@")
		n, err := strconv.ParseInt(incarnation, 10, 64)
		if !ok || err != nil {
			continue
		}
		s.recordLeaving(fleet.Run{ID: id, Incarnation: n}, "entry's answer")
	}
}

// encodeRuns returns the runs as ID@INCARNATION, separated by commas. IDs that contain
// such a character are left out.
func encodeRuns(runs []fleet.Run) string {
	var b strings.Builder
	for _, r := range runs {
		if strings.ContainsAny(r.ID, "@,") {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r.ID + "@" + strconv.FormatInt(r.Incarnation, 10))
	}
	return b.String()
}

// recordRateLimit records a rate limit that an agent or another entry reports.
func (s *noticeSharer) recordRateLimit(endpoint, value, source string) {
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
