package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against new requests to a rank that all ranks of its group wait for, while other
// ranks have free slots or requests only wait for one, and against refusing them if there
// is no other endpoint.
func TestSlowRankGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := noticeFleet(3)
	f.RecordLoad("e0", Load{Pace: 12})
	f.RecordLoad("e1", Load{})
	f.RecordLoad("e2", Load{Pace: 1.25})
	is.Equal(chosen(t, f, 60)["e0"], 0)
	f.RecordLoad("e1", Load{Running: 8})
	f.RecordLoad("e2", Load{Running: 8})
	p, availability := f.Acquire(t.Context(), &Request{Service: "s"})
	is.True(p == nil && availability == AllBusy)
	f.Remove("e1")
	f.Remove("e2")
	is.Equal(chosen(t, f, 5)["e0"], 5)
	f.RecordLoad("e0", Load{})
	f.Update(noticeRecord(1, 1))
	is.True(chosen(t, f, 60)["e0"] > 0) // it is well again
}

// Guards against requests that stay at a rank which has become slow, and against moving
// them because of each report or of a small delay.
func TestRequestsLeaveASlowRank(t *testing.T) {
	is := is.New(t)
	f := noticeFleet(1)
	moved := func(p *Pick) bool {
		select {
		case <-p.Stalled:
			return true
		default:
			return false
		}
	}
	p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	f.RecordLoad("e0", Load{Pace: 1.6})
	is.True(!moved(p))
	f.RecordLoad("e0", Load{Pace: 5})
	is.True(moved(p))
	later, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	f.RecordLoad("e0", Load{Pace: 5})
	is.True(!moved(later))
}
