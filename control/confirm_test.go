package control

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
	"github.com/wasabinotch/wasabinotch/wire"
)

// A process that was frozen must not act on its old view, nor on answers to
// calls that it made before.
func TestFrozenProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	clock := clockwork.NewFakeClock()
	l := New(Config{Self: wire.Node{ID: "e", Role: wire.RoleEntry, Zone: "a"}, Clock: clock, Log: logr.Discard()})
	l.signed = c.bundle(1, "")
	sent := clock.Now()
	l.confirm.byStore(sent)
	l.tick(clock.Now())
	l.maybePublish()
	is.True(l.Snapshot().Confirmed(clock.Now()))
	clock.Advance(jumpLimit + time.Millisecond)
	l.tick(clock.Now())
	l.maybePublish()
	is.True(!l.Snapshot().Confirmed(clock.Now()))
	l.confirm.byPeer("b", sent, 0) // an answer that waited in the socket buffer
	l.publish(clock.Now())
	is.True(!l.Snapshot().Confirmed(clock.Now()))
	l.confirm.byPeer("b", clock.Now(), 10)
	l.publish(clock.Now())
	is.True(l.Snapshot().Confirmed(clock.Now()))
}

// A view counts as confirmed only if the store, or entries of more than half
// of the zones, confirmed it within MaxConfirmationAge.
func TestConfirmationRule(t *testing.T) {
	zones := []string{"a", "b", "c", "d"}
	base := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		c := confirmation{zones: make(map[string]time.Time)}
		now := base.Add(10 * time.Second)
		fresh := map[string]bool{"a": true} // the node's own zone
		stored := false
		for i := range rapid.IntRange(0, 6).Draw(t, "answers") {
			zone := rapid.SampledFrom(zones).Draw(t, fmt.Sprint("zone", i))
			ago := time.Duration(rapid.IntRange(0, 6000).Draw(t, fmt.Sprint("ago", i))) * time.Millisecond
			age := rapid.Int64Range(-1, 6000).Draw(t, fmt.Sprint("age", i))
			c.byPeer(zone, now.Add(-ago), age)
			fresh[zone] = fresh[zone] || ago <= MaxConfirmationAge
			stored = stored || (age >= 0 && ago+time.Duration(age+1)*time.Millisecond <= MaxConfirmationAge)
		}
		s := Snapshot{ConfirmedAt: c.at(zones, "a", now)}
		count := 0
		for _, f := range fresh {
			if f {
				count++
			}
		}
		if want := stored || count > len(zones)/2; s.Confirmed(now) != want {
			t.Fatalf("confirmed %v, want %v", s.Confirmed(now), want)
		}
	})
}

// Content that is too large to be sent along is fetched by all nodes.
func TestLargeBundle(t *testing.T) {
	c := newCluster(t)
	entries := c.entries(6)
	c.start(wire.RoleAgent, "a", 0)
	c.known(entries)
	large := c.bundle(1, "")
	for i := range 200 {
		large.Bundle.Organisations = append(large.Bundle.Organisations, bundle.Organisation{Name: fmt.Sprintf("organisation-%d", i)})
	}
	sig, err := large.Bundle.Sign("batinah", c.member)
	is.New(t).NoErr(err)
	large.Signatures = []bundle.Signature{sig}
	_, err = entries[0].RollOutBundle(t.Context(), large)
	is.New(t).NoErr(err)
	c.waitFor(2*time.Second, "large bundle", c.nodes, version(1))
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) contains(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(s.b.String(), text)
}

// Two running processes with the same ID hide each other, so operators must be
// told.
func TestDuplicateID(t *testing.T) {
	c := newCluster(t)
	log := &safeBuffer{}
	c.log = log
	c.known(c.entries(2))
	self := wire.Node{ID: "twin", Role: wire.RoleEntry, Zone: "c", VM: "vm-twin"}
	c.startAs(self)
	time.Sleep(1500 * time.Millisecond)
	c.startAs(self)
	for start := time.Now(); !log.contains("two processes may have the same node ID"); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("not detected")
		}
	}
}

// The VM list adds hints while it is fresh, and changes nothing when it fails.
func TestVMList(t *testing.T) {
	is := is.New(t)
	list, err := vmlist.Listen("127.0.0.1:0", 0)
	is.NoErr(err)
	defer list.Close()
	list.Put(vmlist.VM{Name: "v1", Zone: "a", State: vmlist.StateLeaving})
	list.Put(vmlist.VM{Name: "v2", Zone: "a", State: vmlist.StateLive})
	leaving, err := readVMs(t.Context(), http.DefaultClient, list.Addr())
	is.NoErr(err)
	is.Equal(leaving, map[string]bool{"v1": true})
	now := time.Unix(1_000_000, 0)
	v := vmList{leaving: leaving, at: now}
	is.Equal(v.withHints(map[string]bool{"v3": true}, now), map[string]bool{"v1": true, "v3": true})
	is.Equal(len(v.withHints(nil, now.Add(vmListFresh+1))), 0)
}
