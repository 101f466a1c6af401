package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/control"
)

// rampUp is the time over which a zone or VM that was brought back gets its
// full load again, since all of its endpoints are cold.
const rampUp = 10 * time.Second

const (
	// warmingTrickle is the part of the choices, one in this many, that may use
	// an endpoint that is warming up although others have room. Answers of cold
	// engines are slow, and with fewer than one in 100 p99 does not show them.
	warmingTrickle = 100
	// warmingPart is the part of the warm limit from which an endpoint counts
	// as warm enough for its share of the load.
	warmingPart = 0.5
	// warmingTime bounds the time after the return in which an endpoint may
	// count as warming up, so that a service with little traffic uses it again.
	warmingTime = time.Minute
)

// state is what this entry knows about one endpoint beyond the snapshot.
type state struct {
	id   string
	hash uint64
	// own is the number of this entry's requests in flight.
	own  atomic.Int64
	base atomic.Pointer[base]
	// failedAt is when an attempt last failed; nil for never.
	failedAt atomic.Pointer[time.Time]
	// held is the mean time that this entry's requests stay at the endpoint,
	// in nanoseconds, and ended the number of samples in it.
	held  atomic.Int64
	ended atomic.Int64
}

const (
	// heldGain is the weight of a new sample in the mean holding time.
	heldGain = 0.1
	// heldSamples is the number of samples before the mean is used.
	heldSamples = 16
)

// released adds the holding time of a request that has ended.
func (s *state) released(d time.Duration) {
	gain := max(heldGain, 1/float64(s.ended.Add(1)))
	old := s.held.Load()
	s.held.CompareAndSwap(old, old+int64(gain*float64(int64(d)-old))) // a sample lost to another one does no harm
}

// freshness is the weight, 1 to 0, of a load figure of the given age. Requests
// of other entries that it counts have ended after about one holding time.
func (s *state) freshness(age time.Duration) float64 {
	held := s.held.Load()
	if held <= 0 || age <= 0 || s.ended.Load() < heldSamples {
		return 1
	}
	return math.Exp(-float64(age) / float64(held))
}

// base is the latest load figure of the agent, from a report or an answer.
type base struct {
	at          time.Time
	incarnation uint64
	seq         uint64
	limit       int
	load        int
	// own is this entry's in-flight count when the figure arrived. Requests
	// started or ended since then correct the figure.
	own int64
}

// current returns the newest base, taking the report of ep if it is newer.
func (s *state) current(ep *control.Endpoint) *base {
	old := s.base.Load()
	if old != nil && old.incarnation == ep.Node.Incarnation {
		known := ep.Load.Seq != 0 && ep.Load.Seq <= old.seq
		if known || !ep.LastSeen.After(old.at) {
			return old
		}
	}
	next := &base{
		at:          ep.LastSeen,
		incarnation: ep.Node.Incarnation,
		seq:         ep.Load.Seq,
		limit:       ep.Load.Limit,
		load:        ep.Load.InFlight + ep.Load.Queued,
		own:         s.own.Load(),
	}
	if s.base.CompareAndSwap(old, next) {
		return next
	}
	return s.base.Load()
}

// failedSince reports whether an attempt failed after the endpoint's last report.
func (s *state) failedSince(heardAt time.Time) bool {
	failedAt := s.failedAt.Load()
	return failedAt != nil && !heardAt.After(*failedAt)
}

// answered records the figures in the first frame of an agent's answer.
func (s *state) answered(now time.Time, limit, inFlight int) {
	old := s.base.Load()
	if old == nil || limit <= 0 {
		return
	}
	next := *old
	next.at = now
	next.limit = limit
	next.load = inFlight
	next.own = s.own.Load()
	s.base.CompareAndSwap(old, &next)
}

// estimate is the load of one endpoint as this entry supposes it to be.
type estimate struct {
	load  int
	limit int
	// crowd is the load if the other entries, which read the same late
	// report, did as this one. It spreads entries over idle endpoints.
	crowd int
	// ramping is true while the endpoint's zone or VM comes back.
	ramping bool
	// warming is true while it is still cold after that.
	warming bool
}

// estimate combines the last load figure with what is known since. others is
// the mean part of a limit that other entries use at all endpoints: a figure
// that is old compared with the holding time is replaced by it, since a full
// endpoint would otherwise be avoided by all entries until its next report.
func (s *state) estimate(ep *control.Endpoint, now time.Time, entries int, others float64, warm int) estimate {
	b := s.current(ep)
	own := int(s.own.Load())
	since := own - int(b.own)
	fresh := s.freshness(now.Sub(b.at))
	foreign := fresh*float64(max(b.load-int(b.own), 0)) + (1-fresh)*others*float64(b.limit)
	load := own + int(math.Round(foreign))
	crowd := load
	if since > 0 {
		crowd += int(fresh * float64(since*(entries-1)))
	}
	limit := rampedLimit(b.limit, ep.ReturnedAt, now)
	return estimate{load: load, limit: limit, crowd: crowd, ramping: limit < b.limit, warming: warming(b.limit, warm, ep.ReturnedAt, now)}
}

// warming reports whether an endpoint that came back at inSince has far less
// than its warm limit.
func warming(limit, warm int, inSince, now time.Time) bool {
	return !inSince.IsZero() && now.Sub(inSince) < warmingTime && float64(limit) < warmingPart*float64(warm)
}

// rampedLimit is the limit of an endpoint whose zone came back at inSince.
func rampedLimit(limit int, inSince, now time.Time) int {
	if inSince.IsZero() || limit <= 0 {
		return limit
	}
	age := now.Sub(inSince)
	if age >= rampUp {
		return limit
	}
	share := float64(max(age, 0)) / float64(rampUp)
	return max(1, int(float64(limit)*share))
}

// score orders candidates: lower is better.
func (e estimate) score() float64 {
	if e.limit <= 0 {
		return math.Inf(1)
	}
	return float64(e.crowd+1) / float64(e.limit)
}

// hasRoom reports whether one more request stays within the limit.
func (e estimate) hasRoom() bool {
	return e.load < e.limit
}

// hasWarmRoom reports whether the endpoint has room and is not warming up.
func (e estimate) hasWarmRoom() bool {
	return e.hasRoom() && !e.warming
}

// hasWarmingRoom reports whether the endpoint is idle and warming up. A request
// that waits behind another one on a cold engine would take twice as long.
func (e estimate) hasWarmingRoom() bool {
	return e.warming && e.crowd == 0 && e.limit > 0
}

// zoneRoom is the share of the limit up to which the own zone is preferred.
// Above it the view's lag would fill endpoints to the limit before other
// zones are used.
const zoneRoom = 0.75

// hasZoneRoom reports whether the endpoint may be preferred for being in the
// own zone. The entries of a returning zone would otherwise fill its cold
// endpoints.
func (e estimate) hasZoneRoom() bool {
	return e.hasWarmRoom() && !e.ramping && (e.load == 0 || float64(e.load+1) <= zoneRoom*float64(e.limit))
}
