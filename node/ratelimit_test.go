package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/store"
)

// Guards against entries that use the same turns at an endpoint with a rate limit since they number themselves differently.
func TestEntriesTakeDifferentTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := []string{"entries/a", "entries/b", "entries/c"}
		var fleets []*fleet.Fleet
		for _, self := range keys {
			f := fleet.New("z1", nil)
			f.Update(fleet.Record{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "z1", Slots: 4})
			f.RecordRateLimit("i-1", fleet.RateLimit{PerSecond: 1, Named: true})
			follower := newEntryFollower(f, self, &storeHealth{}, logr.Discard())
			for _, key := range keys {
				follower.Apply(store.Event{KeyValue: store.KeyValue{Key: key, Value: []byte("{}")}})
			}
			is.Equal(f.Entries(), len(keys))
			fleets = append(fleets, f)
		}
		sent := 0
		for i := range 240 {
			time.Sleep(50 * time.Millisecond)
			now := 0
			for _, f := range fleets {
				if p, _ := f.Acquire(t.Context(), &fleet.Request{Service: "s"}); p != nil {
					p.EndSucceeded()
					now++
				}
			}
			if i < 40 {
				continue // turns that were open at the start
			}
			is.True(now <= 1) // at the same time
			sent += now
		}
		is.True(sent >= 6) // of 9 turns in 10 s
	})
}
