package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/control"
)

// rampUpTime is the time over which the limit of an endpoint rises to its full value
// after its zone or VM has returned to service, since all endpoints there are cold.
const rampUpTime = 10 * time.Second

const (
	// warmingChoiceInterval is the number of choices of which one may use an
	// endpoint that is warming up although others have capacity. Responses of cold
	// engines are slow; since they are at most about one in 100, they hardly affect
	// p99.
	warmingChoiceInterval = 100
	// warmingFraction is the fraction of the warm limit from which an endpoint is
	// warm enough for its normal part of the load.
	warmingFraction = 0.5
	// maxWarmingTime bounds the time after the return to service during which an
	// endpoint may count as warming up, so that a service with little traffic uses
	// it again.
	maxWarmingTime = time.Minute
)

// endpointState is what this entry knows about one endpoint in addition to the
// snapshot.
type endpointState struct {
	id   string
	hash uint64 // of id, for rendezvous scores
	// inFlight is the number of this entry's requests in flight.
	inFlight atomic.Int64
	sample   atomic.Pointer[loadSample]
	// failedAt is the time of the last failed attempt; nil if there was none.
	failedAt atomic.Pointer[time.Time]
	// meanHoldNanos is the mean holding time: how long a request of this entry stays
	// at the endpoint, in nanoseconds. holdSamples is the number of samples in it.
	meanHoldNanos atomic.Int64
	holdSamples   atomic.Int64
}

const (
	// holdTimeGain is the weight of a new sample in the mean holding time. Sample n
	// has the weight 1/n if that is greater, so that the first samples are averaged.
	holdTimeGain = 0.1
	// minHoldSamples is the number of samples before the mean is used.
	minHoldSamples = 16
)

// recordHoldTime adds the holding time of a request that has ended.
func (s *endpointState) recordHoldTime(d time.Duration) {
	gain := max(holdTimeGain, 1/float64(s.holdSamples.Add(1)))
	old := s.meanHoldNanos.Load()
	s.meanHoldNanos.CompareAndSwap(old, old+int64(gain*float64(int64(d)-old))) // losing a sample to a concurrent update does no harm
}

// freshness is the weight, from 1 down to 0, of a load sample of the given age. The
// requests of other entries that the sample counts end after about one holding time.
func (s *endpointState) freshness(age time.Duration) float64 {
	mean := s.meanHoldNanos.Load()
	if mean <= 0 || age <= 0 || s.holdSamples.Load() < minHoldSamples {
		return 1
	}
	return math.Exp(-float64(age) / float64(mean))
}

// loadSample is the latest load of an endpoint, from a report or a response of its
// agent.
type loadSample struct {
	at          time.Time
	incarnation uint64
	seq         uint64
	limit       int
	// load is the number of running and queued requests in a report, or of running
	// requests in a response, which does not include the queue length.
	load int
	// ownInFlight is this entry's in-flight count when the sample was recorded: for a
	// report at its first use, for a response on arrival. Requests started or ended
	// since then correct the load.
	ownInFlight int64
}

// currentSample returns the newest sample. It takes the report of ep if that is
// newer.
func (s *endpointState) currentSample(ep *control.Endpoint) *loadSample {
	old := s.sample.Load()
	if old != nil && old.incarnation == ep.Node.Incarnation {
		known := ep.Load.Seq != 0 && ep.Load.Seq <= old.seq
		if known || !ep.LastSeen.After(old.at) {
			return old
		}
	}
	next := &loadSample{
		at:          ep.LastSeen,
		incarnation: ep.Node.Incarnation,
		seq:         ep.Load.Seq,
		limit:       ep.Load.Limit,
		load:        ep.Load.InFlight + ep.Load.Queued,
		ownInFlight: s.inFlight.Load(),
	}
	if s.sample.CompareAndSwap(old, next) {
		return next
	}
	return s.sample.Load()
}

// failedSince reports whether an attempt has failed since the endpoint's last
// report.
func (s *endpointState) failedSince(reportedAt time.Time) bool {
	failedAt := s.failedAt.Load()
	return failedAt != nil && !reportedAt.After(*failedAt)
}

// recordResponse records the limit and the in-flight count in the first frame of an
// agent's response.
func (s *endpointState) recordResponse(now time.Time, limit, inFlight int) {
	old := s.sample.Load()
	if old == nil || limit <= 0 {
		return
	}
	next := *old
	next.at = now
	next.limit = limit
	next.load = inFlight
	next.ownInFlight = s.inFlight.Load()
	s.sample.CompareAndSwap(old, &next)
}

// estimate is the load of one endpoint as estimated by this entry.
type estimate struct {
	load  int
	limit int
	// herdLoad is the load if the other entries, which read the same delayed report,
	// made the same choices as this one. Ranking by it keeps the entries from all
	// choosing the same idle endpoint.
	herdLoad int
	// isRampingUp is true while the limit is reduced after the return of the zone or
	// VM.
	isRampingUp bool
	// isWarmingUp is true while the endpoint is still cold after the return of its
	// zone or VM.
	isWarmingUp bool
}

// estimate combines the last load sample with the requests started and ended since.
// othersFraction is the fraction of the endpoints' total limit that requests of other
// entries use. As a sample ages compared with the holding time, the load of other
// entries is taken more and more from othersFraction instead, since all entries would
// otherwise avoid a full endpoint until its next report.
func (s *endpointState) estimate(ep *control.Endpoint, now time.Time, entries int, othersFraction float64, warmLimit int) estimate {
	sample := s.currentSample(ep)
	inFlight := int(s.inFlight.Load())
	started := inFlight - int(sample.ownInFlight)
	fresh := s.freshness(now.Sub(sample.at))
	othersLoad := fresh*float64(max(sample.load-int(sample.ownInFlight), 0)) + (1-fresh)*othersFraction*float64(sample.limit)
	load := inFlight + int(math.Round(othersLoad))
	herdLoad := load
	if started > 0 {
		herdLoad += int(fresh * float64(started*(entries-1)))
	}
	limit := rampedLimit(sample.limit, ep.ReturnedAt, now)
	return estimate{load: load, limit: limit, herdLoad: herdLoad, isRampingUp: limit < sample.limit, isWarmingUp: isWarmingUp(sample.limit, warmLimit, ep.ReturnedAt, now)}
}

// isWarmingUp reports whether an endpoint returned to service, at returnedAt, less
// than maxWarmingTime ago and its limit is still below warmingFraction of warmLimit,
// the number of concurrent requests that a warm endpoint of the service handles.
func isWarmingUp(limit, warmLimit int, returnedAt, now time.Time) bool {
	return !returnedAt.IsZero() && now.Sub(returnedAt) < maxWarmingTime && float64(limit) < warmingFraction*float64(warmLimit)
}

// rampedLimit returns the limit to apply at now to an endpoint that returned to
// service at returnedAt.
func rampedLimit(limit int, returnedAt, now time.Time) int {
	if returnedAt.IsZero() || limit <= 0 {
		return limit
	}
	age := now.Sub(returnedAt)
	if age >= rampUpTime {
		return limit
	}
	fraction := float64(max(age, 0)) / float64(rampUpTime)
	return max(1, int(float64(limit)*fraction))
}

// score returns the utilisation at herdLoad plus one more request; lower is better.
func (e estimate) score() float64 {
	if e.limit <= 0 {
		return math.Inf(1)
	}
	return float64(e.herdLoad+1) / float64(e.limit)
}

// hasCapacity reports whether one more request stays within the limit.
func (e estimate) hasCapacity() bool {
	return e.load < e.limit
}

// hasWarmCapacity reports whether the endpoint has capacity and is not warming up.
func (e estimate) hasWarmCapacity() bool {
	return e.hasCapacity() && !e.isWarmingUp
}

// isIdleWarmingUp reports whether the endpoint is idle and warming up. A request
// that waits behind another one on a cold engine would take twice as long.
func (e estimate) isIdleWarmingUp() bool {
	return e.isWarmingUp && e.herdLoad == 0 && e.limit > 0
}

// maxZoneUtilisation is the fraction of the limit up to which endpoints of the
// entry's zone are preferred. Without this margin, the entries would fill these
// endpoints to the limit before they use other zones, since the reports that show the
// load arrive with a delay.
const maxZoneUtilisation = 0.75

// hasZoneCapacity reports whether the endpoint may be preferred for being in the
// entry's zone. An idle endpoint may be, even if its limit is so small that one request
// exceeds maxZoneUtilisation, or is still being raised after the return of its zone or VM:
// chosen by utilisation alone, it would get nothing as long as other zones have capacity,
// and its whole part at the end of rampUpTime. Without the other checks, the entries of a
// returning zone would fill its cold endpoints.
func (e estimate) hasZoneCapacity() bool {
	isIdle := e.load == 0
	return e.hasWarmCapacity() && (isIdle || !e.isRampingUp && float64(e.load+1) <= maxZoneUtilisation*float64(e.limit))
}
