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

// propagationBound is what the tests take for "within seconds" in the guarantees
// on bundles and intents.
const propagationBound = 5 * time.Second

// versionWatcher polls the bundle version of every entry and records decreases
// within one run of an entry.
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

// reportReverts stops the watcher and fails the test for each recorded decrease.
func (w *versionWatcher) reportReverts(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	for _, r := range w.reverts {
		t.Error(r)
	}
}

// Guards against an accepted bundle that is not in force on some node after a
// few seconds, that is lost when two operators write at once or the store's reply
// is lost, or that reverts, also on an entry that is killed and restarted during
// an outage of the store.
func TestBundleInForceNeverReverts(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone = 2
	c := newCluster(t, s)
	w := c.watchVersions()
	defer w.reportReverts(t)

	t.Run("in force everywhere", func(t *testing.T) { c.rollOutNext(t, c.entryAddrs()[1]) })
	t.Run("operator race", func(t *testing.T) { c.raceRollouts(t) })
	t.Run("lost reply of the store", func(t *testing.T) {
		c.must(c.kv.SetFaults(kvsim.Faults{LoseNextResponses: 1}))
		c.rollOutNext(t, c.entryAddrs()[2])
	})
	t.Run("retried rollout", func(t *testing.T) {
		var result api.AdminResult
		if err := c.postJSON(c.entryAddrs()[3], api.PathAdminBundle, c.signBundle(c.bundle), &result); err != nil {
			t.Errorf("the retry of a rollout that had taken effect was refused: %v", err)
		}
	})
	t.Run("entry restarts during a store outage", func(t *testing.T) { c.restartDuringOutage(t) })
	t.Run("slow store", func(t *testing.T) {
		c.must(c.kv.SetFaults(kvsim.Faults{DelayMS: 300}))
		defer func() { c.must(c.kv.SetFaults(kvsim.Faults{})) }()
		c.rollOutNext(t, c.entryAddrs()[0])
	})
}

// rollOutNext rolls out the next version and waits until it is in force on all
// nodes.
func (c *cluster) rollOutNext(t *testing.T, entry string) {
	t.Helper()
	b := c.nextBundle()
	var result api.AdminResult
	start := time.Now()
	if err := c.postJSON(entry, api.PathAdminBundle, c.signBundle(b), &result); err != nil {
		t.Fatalf("rollout of bundle %d: %v", b.Version, err)
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

// raceRollouts rolls out two different successors at once through two entries, of
// which exactly one must be accepted.
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
			t.Errorf("the rollout that lost the race got %v, not a conflict", err)
		}
	}
	if won != 1 {
		t.Fatalf("%d of 2 concurrent rollouts were accepted: %v", won, errs)
	}
	c.awaitBundleInForce(t, start)
	want, err := c.bundle.Digest()
	c.must(err)
	for _, e := range c.entries() {
		if s, err := c.nodeStatus(e.id); err != nil || s.BundleDigest != want {
			t.Errorf("%s has the bundle digest %s (%v), the accepted bundle has %s", e.id, s.BundleDigest, err, want)
		}
	}
}

// restartDuringOutage restarts an entry while the store is unreachable, and checks
// that a rollout is refused meanwhile.
func (c *cluster) restartDuringOutage(t *testing.T) {
	t.Helper()
	c.must(c.kv.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}))
	defer func() { c.must(c.kv.SetFaults(kvsim.Faults{})) }()
	var result api.AdminResult
	b := c.nextBundle()
	var refusal *api.Refusal
	err := c.postJSON(c.entryAddrs()[0], api.PathAdminBundle, c.signBundle(b), &result)
	if !errors.As(err, &refusal) || refusal.Kind != api.KindStoreUnavailable {
		t.Errorf("a rollout during a store outage returned %v, not store_unavailable", err)
	}
	id := c.entries()[4].id
	c.killNode(id)
	c.startNode(id)
	c.awaitEntriesServe()
	c.eventually(propagationBound, id+" gets the bundle from its peers", func() error { return c.checkReady(id, []string{id}) })
}
