package admission

import "time"

const (
	// maxReserve bounds the fraction of an endpoint's slots that is kept from less urgent
	// requests.
	maxReserve = 0.2
	// reserveByDemand is the reserve as a fraction of the demand's part that is more urgent.
	reserveByDemand = 0.5
	// lateReserve is the fraction of the slots that late requests leave free for those that
	// arrive in time, at this entry or another one.
	lateReserve = 0.1
	// queuedAtEngine is the fraction of the slots that more urgent requests may occupy
	// beyond them, in the queue of an engine that starts the most urgent one first. With n
	// slots, the next one comes free within 1/n of the duration of a request.
	queuedAtEngine = 0.2
	// minShare is the part of the demand from which another priority counts.
	minShare = 0.05
)

// Room is how much of an endpoint a request may use, as a multiple of the slots that may be
// occupied there.
type Room float64

// Of returns the load up to which a request may be sent to an endpoint on which the given
// number of slots may be occupied.
func (r Room) Of(slots int) int {
	if r >= 1 {
		return slots + int((float64(r)-1)*float64(slots)+rounding)
	}
	return max(1, slots-int((1-float64(r))*float64(slots)+rounding))
}

// MaxRoom is the most that any request may use.
const MaxRoom Room = 1 + queuedAtEngine

// rounding keeps whole numbers of slots whole.
const rounding = 1e-9

// Room returns the room of a request.
//
// It answers the load in which less urgent requests take all slots at all entries before
// urgent ones arrive. The urgent ones get room beyond the slots, in the engine's queue,
// from which they are started first; the less urgent ones leave a part of the slots free,
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
	room := 1.0
	if more >= minShare*all && more > 0 {
		room -= min(maxReserve, reserveByDemand*more/all)
	}
	switch {
	case r.late(now) && !expedited:
		room = min(room, 1-lateReserve)
	case c.EngineQueuesByPriority && less >= minShare*all && less > 0:
		room += queuedAtEngine
	}
	return Room(room)
}
