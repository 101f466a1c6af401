package proof

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// Bounds on the time from a command that takes a zone, VM or agent out of service
// to the last start of new work there.
const (
	lastWorkBound          = 2 * time.Second
	lastWorkBoundStoreDown = 3 * time.Second
	// lastWorkBoundIsolated adds the 3 s (control.MaxConfirmationAge) after which a
	// node whose view was not confirmed again starts no new work.
	lastWorkBoundIsolated = 5 * time.Second
)

type backgroundLoad struct {
	generator *loadgen.Generator
	cancel    context.CancelFunc
	done      chan struct{}
}

func (c *cluster) startLoad(cfg loadgen.Config) *backgroundLoad {
	c.t.Helper()
	cfg.Duration = 5 * time.Minute // the load runs until stop
	gen, err := loadgen.New(cfg)
	c.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &backgroundLoad{generator: gen, cancel: cancel, done: make(chan struct{})}
	go func() {
		gen.Run(ctx)
		close(r.done)
	}()
	return r
}

// stop ends the load and returns its summary.
func (r *backgroundLoad) stop(c *cluster) loadgen.Summary {
	r.cancel()
	<-r.done
	return r.generator.Summary(c.ledger.Counts())
}

// checkSummary fails the test if a guarantee is violated, if more than maxFailed
// requests failed, or if none was sent.
func (c *cluster) checkSummary(t *testing.T, s loadgen.Summary, maxFailed int) {
	t.Helper()
	for _, v := range s.Violations() {
		t.Error(v)
	}
	if n := s.Failed(); n > maxFailed {
		t.Errorf("%d requests failed, at most %d may", n, maxFailed)
	}
	var sent int
	for _, class := range s.Classes {
		sent += class.Sent
	}
	if sent == 0 {
		t.Error("the load sent nothing")
	}
	if t.Failed() {
		c.logSummary(t, s)
	}
}

// lastWorkInZone returns when work last began at an endpoint of a zone.
func (c *cluster) lastWorkInZone(zone string) time.Time {
	var last time.Time
	keepLatest := func(at time.Time) {
		if at.After(last) {
			last = at
		}
	}
	for id, e := range c.engines {
		if c.nodes[id].zone == zone {
			keepLatest(e.LastRequestTime())
		}
	}
	for id, d := range c.orderEndpoints {
		if c.nodes[id].zone == zone {
			keepLatest(d.LastRequestTime())
		}
	}
	return last
}

// checkNoWorkAfter checks that no work began in a zone later than bound after
// the command that took it out of service.
func (c *cluster) checkNoWorkAfter(t *testing.T, zone string, command time.Time, bound time.Duration) {
	t.Helper()
	last := c.lastWorkInZone(zone).Sub(command)
	if last > bound {
		t.Errorf("work began in zone %s %v after the command, the bound is %v", zone, last, bound)
	}
	t.Logf("last new work in zone %s %v after the command", zone, last.Round(time.Millisecond))
}

// Guards against new work in a zone that was taken out of service, against failed
// requests while a zone is taken out and returned, and against a zone that gets no
// work after its return; with the store reachable and unreachable.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone, s.modelAgentsPerZone = 2, 2
	c := newCluster(t, s)
	load := c.startLoad(c.loadConfig())
	time.Sleep(3 * time.Second)

	outAt := time.Now()
	if _, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetZone, "z2", true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	c.checkNoWorkAfter(t, "z2", outAt, lastWorkBound)
	c.returnToService(t, "z2")

	c.must(c.kv.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}))
	outAt = time.Now()
	result, err := c.sendIntent(c.entryAddrs()[1], bundle.TargetZone, "z3", true)
	if err != nil {
		t.Fatal(err)
	}
	if result.InStore {
		t.Error("the result says that the command is in the store during a store outage")
	}
	time.Sleep(5 * time.Second)
	c.checkNoWorkAfter(t, "z3", outAt, lastWorkBoundStoreDown)
	if _, err := c.sendIntent(c.entryAddrs()[1], bundle.TargetZone, "z3", false); err == nil {
		t.Error("a zone was returned to service during a store outage")
	}
	c.must(c.kv.SetFaults(kvsim.Faults{}))
	c.eventually(propagationBound, "the command is written to the store after the outage", func() error {
		return c.checkStoredOut("z3")
	})
	c.returnToService(t, "z3")
	c.checkSummary(t, load.stop(c), 0)
}

// returnToService returns a zone to service and waits until it gets work.
func (c *cluster) returnToService(t *testing.T, zone string) {
	t.Helper()
	start := time.Now()
	c.eventually(10*time.Second, "zone "+zone+" is returned to service", func() error {
		_, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetZone, zone, false)
		return err
	})
	c.eventually(10*time.Second, "zone "+zone+" gets work", func() error {
		if last := c.lastWorkInZone(zone); !last.After(start) {
			return errNotYet
		}
		return nil
	})
}

// Guards against a zone that goes on accepting work after it was taken out of
// service while the network isolates it, with its entries, agents and callers,
// from the other zones and the store.
func TestPartedZoneStopsTakingWork(t *testing.T) {
	s := defaultOptions()
	c := newCluster(t, s)
	cfg := c.loadConfig()
	cfg.Zones = []string{"z3"}
	cfg.EntryAddrs = []string{c.nodes["entry-z3-1"].addr(portHTTP)}
	cfg.OrderTimeout = time.Second
	load := c.startLoad(cfg)
	time.Sleep(2 * time.Second)

	endFault := c.isolateZone("z3")
	outAt := time.Now()
	result, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetZone, "z3", true)
	if err != nil {
		t.Fatal(err)
	}
	for _, z := range result.ConfirmedZones {
		if z == "z3" {
			t.Error("the result says that the isolated zone has confirmed the command")
		}
	}
	time.Sleep(8 * time.Second)
	c.checkNoWorkAfter(t, "z3", outAt, lastWorkBoundIsolated)
	endFault()
	c.eventually(propagationBound, "the isolated zone learns that it is out of service", func() error {
		s, err := c.nodeStatus("entry-z3-1")
		if err == nil && len(s.ZonesOut) == 0 {
			err = errNotYet
		}
		return err
	})
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
}

// Guards against an agent that was frozen while its zone was taken out of service
// and, when it resumes, passes requests from its socket buffers to its endpoint.
func TestFrozenAgentHandsOverNoOldWork(t *testing.T) {
	s := defaultOptions()
	c := newCluster(t, s)
	load := c.startLoad(c.loadConfig())
	time.Sleep(2 * time.Second)
	c.freezeNode("desk-z2-1")
	c.freezeNode("model-z2-1")
	time.Sleep(time.Second)
	outAt := time.Now()
	if _, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetZone, "z2", true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	c.resumeNode("desk-z2-1")
	c.resumeNode("model-z2-1")
	time.Sleep(2 * time.Second)
	c.checkNoWorkAfter(t, "z2", outAt, lastWorkBound)
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
}

func (c *cluster) logSummary(t *testing.T, s loadgen.Summary) {
	t.Helper()
	var b strings.Builder
	_ = s.Write(&b)
	t.Log("\n" + b.String())
}
