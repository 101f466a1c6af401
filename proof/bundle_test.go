package proof

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
)

// propagationBound is the bound for "within seconds" in the guarantees on bundles.
const propagationBound = 5 * time.Second

// versionWatcher polls the bundle version of every entry and reports a decrease.
type versionWatcher struct {
	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
	stop    chan struct{}
	done    sync.WaitGroup
}

func (c *cluster) watchVersions() *versionWatcher {
	w := &versionWatcher{highest: map[string]uint64{}, stop: make(chan struct{})}
	for _, e := range c.entries() {
		w.done.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if s, err := c.nodeStatus(e.id); err == nil {
					w.observe(fmt.Sprintf("%s/%d", e.id, s.Incarnation), s.BundleVersion)
				}
			}
		})
	}
	return w
}

func (w *versionWatcher) observe(process string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.highest[process] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from bundle %d to %d", process, w.highest[process], version))
	}
	w.highest[process] = max(version, w.highest[process])
}

func (w *versionWatcher) reportReverts(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	for _, r := range w.reverts {
		t.Error(r)
	}
}

// Guards against an accepted bundle that is not in force on some node after a
// few seconds, that is lost in a race of operators or with a lost answer, or
// that reverts on a node that is killed and started again during an outage of
// the store.
func TestBundleInForceNeverReverts(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone = 2
	c := newCluster(t, s)
	w := c.watchVersions()
	defer w.reportReverts(t)

	t.Run("in force everywhere", func(t *testing.T) { c.rollOutNext(t, c.entryAddrs()[1]) })
	t.Run("operator race", func(t *testing.T) { c.raceRollouts(t) })
	t.Run("lost answer", func(t *testing.T) {
		c.must(c.kv.SetFaults(kvsim.Faults{LoseNextResponses: 1}))
		c.rollOutNext(t, c.entryAddrs()[2])
	})
	t.Run("repeated command", func(t *testing.T) {
		var result api.AdminResult
		if err := c.postJSON(c.entryAddrs()[3], api.PathAdminBundle, c.signBundle(c.bundle), &result); err != nil {
			t.Errorf("a roll that had taken effect was refused: %v", err)
		}
	})
	t.Run("new process during an outage", func(t *testing.T) { c.restartDuringOutage(t) })
	t.Run("slow store", func(t *testing.T) {
		c.must(c.kv.SetFaults(kvsim.Faults{DelayMS: 300}))
		defer func() { c.must(c.kv.SetFaults(kvsim.Faults{})) }()
		c.rollOutNext(t, c.entryAddrs()[0])
	})
}

// rollOutNext rolls out the next version and waits until all nodes have it.
func (c *cluster) rollOutNext(t *testing.T, entry string) {
	t.Helper()
	b := c.nextBundle()
	var result api.AdminResult
	start := time.Now()
	if err := c.postJSON(entry, api.PathAdminBundle, c.signBundle(b), &result); err != nil {
		t.Fatalf("roll of bundle %d: %v", b.Version, err)
	}
	c.bundle = b
	c.awaitBundleInForce(t, start)
}

func (c *cluster) awaitBundleInForce(t *testing.T, start time.Time) {
	t.Helper()
	c.eventually(propagationBound-time.Since(start), fmt.Sprintf("bundle %d in force on all nodes", c.bundle.Version), func() error {
		return c.checkReady(c.entries()[0].id, c.nodeIDs)
	})
	t.Logf("bundle %d seen in force on %d nodes %v after the command", c.bundle.Version, len(c.nodeIDs), time.Since(start).Round(time.Millisecond))
}

// raceRollouts has two operators roll out different successors at once.
func (c *cluster) raceRollouts(t *testing.T) {
	t.Helper()
	candidates := []bundle.Bundle{c.nextBundle(), c.nextBundle()}
	candidates[1].Services = append([]bundle.Service(nil), candidates[1].Services...)
	candidates[1].Services[0].QueueLimit++
	errs := make([]error, len(candidates))
	var group sync.WaitGroup
	start := time.Now()
	for i := range candidates {
		group.Go(func() {
			var result api.AdminResult
			errs[i] = c.postJSON(c.entryAddrs()[i*3], api.PathAdminBundle, c.signBundle(candidates[i]), &result)
		})
	}
	group.Wait()
	won := 0
	for i, err := range errs {
		var refusal *api.Refusal
		switch {
		case err == nil:
			won++
			c.bundle = candidates[i]
		case !errors.As(err, &refusal) || refusal.Kind != api.KindConflict:
			t.Errorf("the loser of the race got %v, not a conflict", err)
		}
	}
	if won != 1 {
		t.Fatalf("%d of 2 racing rolls were accepted: %v", won, errs)
	}
	c.awaitBundleInForce(t, start)
	want, err := c.bundle.Digest()
	c.must(err)
	for _, e := range c.entries() {
		if s, err := c.nodeStatus(e.id); err != nil || s.BundleDigest != want {
			t.Errorf("%s has digest %s (%v), the accepted one is %s", e.id, s.BundleDigest, err, want)
		}
	}
}

func (c *cluster) restartDuringOutage(t *testing.T) {
	t.Helper()
	c.must(c.kv.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}))
	defer func() { c.must(c.kv.SetFaults(kvsim.Faults{})) }()
	var result api.AdminResult
	b := c.nextBundle()
	var refusal *api.Refusal
	err := c.postJSON(c.entryAddrs()[0], api.PathAdminBundle, c.signBundle(b), &result)
	if !errors.As(err, &refusal) || refusal.Kind != api.KindStoreUnavailable {
		t.Errorf("a roll during an outage gave %v, not store_unavailable", err)
	}
	id := c.entries()[4].id
	c.killNode(id)
	c.startNode(id)
	c.awaitEntriesServe()
	c.eventually(propagationBound, id+" takes the bundle from its peers", func() error { return c.checkReady(id, []string{id}) })
}
