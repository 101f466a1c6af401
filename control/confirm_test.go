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

// Guards against a suspended process that resumes and uses its outdated view, or
// confirms it by delayed replies to calls that it made before the suspension.
func TestFrozenProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	clock := clockwork.NewFakeClock()
	l := New(Config{Self: wire.Node{ID: "e", Role: wire.RoleEntry, Zone: "a"}, Clock: clock, Log: logr.Discard()})
	l.signedBundle = c.bundle(1, "")
	sent := clock.Now()
	l.confirmation.byStore(sent)
	l.tick(clock.Now())
	l.publishIfDue()
	is.True(l.Snapshot().Confirmed(clock.Now()))
	clock.Advance(clockJumpThreshold + time.Millisecond)
	l.tick(clock.Now())
	l.publishIfDue()
	is.True(!l.Snapshot().Confirmed(clock.Now()))
	l.confirmation.byPeer("b", sent, 0) // a reply that was delayed in the socket buffer
	l.publish(clock.Now())
	is.True(!l.Snapshot().Confirmed(clock.Now()))
	l.confirmation.byPeer("b", clock.Now(), 10)
	l.publish(clock.Now())
	is.True(l.Snapshot().Confirmed(clock.Now()))
}

// A view is confirmed if and only if the store, or entries of more than half of
// the zones, confirmed it within MaxConfirmationAge.
func TestConfirmationRule(t *testing.T) {
	zones := []string{"a", "b", "c", "d"}
	base := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		c := confirmation{zoneAt: make(map[string]time.Time)}
		now := base.Add(10 * time.Second)
		fresh := map[string]bool{"a": true} // this node's zone
		stored := false
		for i := range rapid.IntRange(0, 6).Draw(t, "answers") {
			zone := rapid.SampledFrom(zones).Draw(t, fmt.Sprint("zone", i))
			ago := time.Duration(rapid.IntRange(0, 6000).Draw(t, fmt.Sprint("ago", i))) * time.Millisecond
			age := rapid.Int64Range(-1, 6000).Draw(t, fmt.Sprint("age", i))
			c.byPeer(zone, now.Add(-ago), age)
			fresh[zone] = fresh[zone] || ago <= MaxConfirmationAge
			stored = stored || (age >= 0 && ago+time.Duration(age+1)*time.Millisecond <= MaxConfirmationAge)
		}
		s := Snapshot{ConfirmedAt: c.latest(zones, "a", now)}
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

// Guards against nodes that do not get a bundle larger than maxInlineBytes, which
// is not sent with its announcement and must be fetched.
func TestLargeBundle(t *testing.T) {
	c := newCluster(t)
	entries := c.startEntries(6)
	c.startNode(wire.RoleAgent, "a", 0)
	c.waitForEntries(entries)
	large := c.bundle(1, "")
	for i := range 200 {
		large.Bundle.Organisations = append(large.Bundle.Organisations, bundle.Organisation{Name: fmt.Sprintf("organisation-%d", i)})
	}
	sig, err := large.Bundle.Sign("batinah", c.memberKey)
	is.New(t).NoErr(err)
	large.Signatures = []bundle.Signature{sig}
	_, err = entries[0].RollOutBundle(t.Context(), large)
	is.New(t).NoErr(err)
	c.waitFor(2*time.Second, "large bundle", c.nodes, hasBundleVersion(1))
}

// safeBuffer is a buffer for logs that is safe for concurrent use.
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

// Two running processes with the same ID replace each other's record, so that
// only one of them is known at a time. The conflict must be logged.
func TestDuplicateID(t *testing.T) {
	c := newCluster(t)
	log := &safeBuffer{}
	c.log = log
	c.waitForEntries(c.startEntries(2))
	self := wire.Node{ID: "twin", Role: wire.RoleEntry, Zone: "c", VM: "vm-twin"}
	c.startNodeAs(self)
	time.Sleep(1500 * time.Millisecond)
	c.startNodeAs(self)
	for start := time.Now(); !log.contains("Two processes may have the same node ID"); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the duplicate ID was not logged")
		}
	}
}

// The leaving VMs of the platform's list count as out of service, but not if the
// list is older than vmListMaxAge.
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
	v := vmList{leaving: leaving, readAt: now}
	is.Equal(v.withLeaving(map[string]bool{"v3": true}, now), map[string]bool{"v1": true, "v3": true})
	is.Equal(len(v.withLeaving(nil, now.Add(vmListMaxAge+1))), 0)
}
