package admission

import "time"

const (
	// maxReserve bounds the fraction of an endpoint's slots that is kept from less urgent
	// requests.
	maxReserve = 0.2
	// reserveByDemand is the reserve as a fraction of the demand's part that is more urgent,
	// and the room beyond the slots as a fraction of the part that is less urgent.
	reserveByDemand = 1.0
	// lateReserve is the fraction of the slots that late requests leave free for those that
	// arrive in time, at this entry or another one.
	lateReserve = 0.1
	// queuedAtEngine bounds the fraction of the slots that more urgent requests may occupy
	// beyond them, in the queue of an engine that starts the most urgent one first. With n
	// slots, the next one comes free within 1/n of the duration of a request.
	queuedAtEngine = 0.2
	// minShare is the part of the demand from which another priority counts.
	minShare = 0.05
)

// Room is how much of an endpoint a request may use.
type Room struct {
	// Share is the load up to which a request may be sent to the endpoint, as a multiple of
	// the slots that may be occupied there, while its steps are short; SlowShare is the
	// multiple when its steps take so long that streams miss their target gap.
	Share, SlowShare float64
	// Overtakes is the part of the requests in the endpoint's queue that the request is
	// started before.
	Overtakes float64
}

// Of returns the load up to which a request may be sent to an endpoint on which the given
// number of slots may be occupied. stepShare is the part of the target gap between two
// events of a stream that a step takes, 0 if unknown; waiting is the number of requests in
// the endpoint's queue.
func (r Room) Of(slots int, stepShare float64, waiting int) int {
	slow := min(max(0, (stepShare-maxCalmStep)/(maxStep-maxCalmStep)), 1)
	share := r.Share + slow*(r.SlowShare-r.Share)
	if share >= 1 {
		return slots + int((share-1)*float64(slots)+(1-slow)*r.Overtakes*float64(waiting)+rounding)
	}
	return max(1, slots-int((1-share)*float64(slots)+rounding))
}

const (
	// maxCalmStep and maxStep are the parts of the target gap between which steps begin to
	// delay streams: the gap is a bound for each of a stream's steps, and single ones take
	// longer than the mean.
	maxCalmStep = 0.6
	maxStep     = 0.8
	// slowShare is the part of the slots that less urgent requests may use in a group with
	// long steps. All streams of a group share its steps, so that each further one delays
	// the urgent ones too; but no request is refused while half of the slots are free.
	slowShare = 0.5
	// rounding keeps whole numbers of slots whole.
	rounding = 1e-9
)

// Room returns the room of a request.
//
// It answers the load in which less urgent requests take all slots at all entries before
// urgent ones arrive. The urgent ones get room beyond the slots, in the engine's queue,
// from which they are started first, however many less urgent ones wait there; the less urgent ones leave a part of the slots free,
// but only in the proportion in which more urgent ones arrive. Without other priorities
// the room is the slots, except for late requests.
func (c *Controller) Room(r *Request, now time.Time) Room { return c.room(r, false, now) }

func (c *Controller) room(r *Request, expedited bool, now time.Time) Room {
	var more, less, all float64
	for p, d := range c.demand {
		v := d.get(now, demandHalfLife)
		all += v
		switch {
		case p < r.Priority:
			more += v
		case p > r.Priority:
			less += v
		}
	}
	if expedited {
		less, more = more+less, 0
	}
	room := Room{Share: 1, SlowShare: 1}
	if more >= minShare*all && more > 0 {
		room.Share -= min(maxReserve, reserveByDemand*more/all)
		room.SlowShare = min(slowShare, room.Share)
	}
	switch {
	case c.late(r, now) && !expedited:
		room.Share = min(room.Share, 1-lateReserve)
		room.SlowShare = min(room.SlowShare, room.Share)
	case c.EngineQueuesByPriority && less >= minShare*all && less > 0:
		extra := min(queuedAtEngine, reserveByDemand*less/all)
		room.Share += extra
		room.Overtakes = less / all
	}
	return room
}

// Within reports whether a room isn't larger than another one.
func (r Room) Within(other Room) bool {
	return r.Share <= other.Share && r.SlowShare <= other.SlowShare && r.Overtakes <= other.Overtakes
}

// MaxRoom is the most that any request may use.
var MaxRoom = Room{Share: 1 + queuedAtEngine, SlowShare: 1 + queuedAtEngine}
