package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func noticeFleet(n int) *Fleet {
	f := New("z1", nil)
	f.SetEntries(1, 0)
	for i := range n {
		f.Update(noticeRecord(i, 1))
	}
	return f
}

func noticeRecord(i int, incarnation int64) Record {
	return Record{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), Zone: "z1", Slots: 8, Incarnation: incarnation}
}

// chosen returns how many of n requests each endpoint gets.
func chosen(t *testing.T, f *Fleet, n int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		if p, _ := f.Acquire(t.Context(), &Request{Service: "s"}); p != nil {
			counts[p.Endpoint.ID]++
			p.EndSucceeded()
		}
	}
	return counts
}

// Guards against requests to an endpoint that has said it leaves: when its record is
// written again, expires and returns, or is replaced by one of an earlier run.
func TestLeavingEndsOnlyWithANewRun(t *testing.T) {
	is := is.New(t)
	f := noticeFleet(2)
	is.True(f.RecordLeaving(Run{ID: "e0", Incarnation: 1}))
	is.True(!f.RecordLeaving(Run{ID: "e0", Incarnation: 1})) // known
	for _, change := range []func(){
		func() {},
		func() { f.Update(noticeRecord(0, 1)) },
		func() { f.Remove("e0") },
		func() { f.Update(noticeRecord(0, 1)) },
		func() { f.Update(noticeRecord(0, 0)) },
	} {
		change()
		is.Equal(chosen(t, f, 50)["e0"], 0)
	}
	f.Update(noticeRecord(0, 2))
	is.True(chosen(t, f, 50)["e0"] > 0)
	is.True(!f.RecordLeaving(Run{ID: "e0", Incarnation: 1})) // late news of the former run
	is.True(chosen(t, f, 50)["e0"] > 0)
	is.Equal(f.Leaving(), nil)
}

// Guards against requests to an endpoint that another entry knows to leave before this
// one has seen its record.
func TestLeavingIsKnownBeforeTheRecord(t *testing.T) {
	is := is.New(t)
	f := noticeFleet(1)
	f.RecordLeaving(Run{ID: "e1", Incarnation: 5})
	f.Update(noticeRecord(1, 5))
	is.Equal(chosen(t, f, 50)["e1"], 0)
}

// Guards against a pause that an endpoint asked for and that isn't kept, and against
// requests that wait for its end all being sent at once.
func TestPauseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := noticeFleet(1)
		p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
		p.RecordPause(3 * time.Second)
		p.RecordPause(time.Second) // a shorter one of another answer changes nothing
		p.EndRejected()
		f.Remove("e0") // the store was away
		f.Update(noticeRecord(0, 1))
		began := time.Now()
		_, availability := f.Acquire(t.Context(), &Request{Service: "s", MaxWait: 2 * time.Second})
		is.Equal(availability, Paused)
		is.Equal(time.Since(began), time.Duration(0)) // it is refused at once
		left, ok := f.PausedFor("s", nil)
		is.True(ok && left == 3*time.Second)

		time.Sleep(2 * time.Second)
		picks := make(chan *Pick, 20)
		for range 20 {
			go func() {
				p, _ := f.Acquire(t.Context(), &Request{Service: "s", MaxWait: 4 * time.Second})
				picks <- p
			}()
		}
		time.Sleep(990 * time.Millisecond)
		is.Equal(len(picks), 0)
		time.Sleep(time.Second)
		is.Equal(len(picks), 1) // the first one shows whether the endpoint takes requests again
		first := <-picks
		first.RecordTaken()
		synctest.Wait()
		is.Equal(len(picks), 7) // with the first one, as many as it has slots
		time.Sleep(5 * time.Second)
	})
}

// Guards against refusing requests, or sending none, while another endpoint of the service
// hasn't asked for a pause.
func TestPauseOfOneEndpointLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := noticeFleet(2)
		p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
		paused := p.Endpoint.ID
		p.RecordPause(2 * time.Second)
		p.EndRejected()
		counts := chosen(t, f, 50)
		is.Equal(counts[paused], 0)
		is.Equal(len(counts), 1)
		_, ok := f.PausedFor("s", nil)
		is.True(!ok)
		time.Sleep(2 * time.Second)
		is.Equal(len(chosen(t, f, 50)), 2)
	})
}

// Guards against notices that fill the memory.
func TestNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	f := noticeFleet(1)
	f.RecordLeaving(Run{ID: "e0", Incarnation: 1})
	for i := range 3 * maxNotices {
		f.RecordLeaving(Run{ID: fmt.Sprint("gone", i), Incarnation: 1})
	}
	is.True(len(f.notices) <= maxNotices)
	is.Equal(chosen(t, f, 50)["e0"], 0)
}
