package entry

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against a starting entry that names order epoch 0, so that callers
// send keys that are refused for good; and against an entry that answers no
// resolve while the store is down.
func TestStartingEntryNamesNoUnreadEpoch(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	unread := &atomic.Bool{}
	unread.Store(true)
	desk := &bundle.Service{Name: "desk", Kind: bundle.KindPlain, NonIdempotentPaths: []string{"/orders"}}
	c := &fakeControl{snap: control.Snapshot{
		Self:        wire.Node{ID: "entry-1", Zone: "a"},
		Bundle:      &bundle.Bundle{Version: 3},
		Services:    map[string]*bundle.Service{"desk": desk},
		ConfirmedAt: clock.Now(),
		Entries:     []control.Entry{{Node: wire.Node{ID: "entry-2", State: wire.StateReady}, LastSeen: clock.Now()}},
	}}
	e := &Entry{
		set:      settings.Entry{Node: settings.Node{Zone: "a"}},
		deps:     Deps{Control: c, Binder: fakeBinder{unread: unread}, Clock: clock},
		balancer: balance.New("entry-1", "a"),
	}
	resolve := httptest.NewRequest("GET", "/v1/resolve?service=desk", nil)
	_, refusal := e.resolve(resolve)
	is.True(refusal != nil)

	clock.Advance(epochWait) // the store is down
	_, refusal = e.resolve(resolve)
	is.Equal(refusal, nil) // issued identities need no store
}
