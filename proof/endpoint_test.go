package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

// modelLoadConfig returns a load of model requests only.
func (c *cluster) modelLoadConfig(rate float64) loadgen.Config {
	cfg := c.loadConfig()
	cfg.ModelRate, cfg.StockRate, cfg.OrderRate = rate, 0, 0
	return cfg
}

func (c *cluster) checkNoOverload(t *testing.T) {
	t.Helper()
	for id, e := range c.engines {
		r := e.Record()
		if r.MaxOverload > 0 || len(r.Crashes) > 0 {
			t.Errorf("engine %s had %d requests beyond its cold capacity and %d crashes: %+v", id, r.MaxOverload, len(r.Crashes), r.Crashes)
		}
	}
}

// Guards against more work than a cold endpoint bears: at the start under full
// load, when the engine restarts behind a living agent, when the agent restarts
// while its engine still runs the old agent's work, and when the engine turns
// cold in a burst.
func TestColdEndpointNotOverloaded(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone = 2
	s.engineOptions = enginesim.Options{BaseStepTime: 10 * time.Millisecond}
	c := newCluster(t, s)
	load := c.startLoad(c.modelLoadConfig(60))
	time.Sleep(6 * time.Second)
	c.checkNoOverload(t)

	t.Run("engine restarts behind its agent", func(t *testing.T) {
		c.engines["model-z1-1"].Kill()
		time.Sleep(time.Second)
		c.must(c.engines["model-z1-1"].Restart())
		time.Sleep(4 * time.Second)
		c.checkNoOverload(t)
	})
	t.Run("agent restarts while its engine runs old work", func(t *testing.T) {
		c.engines["model-z2-1"].TurnCold(time.Second)
		c.killNode("model-z2-1")
		c.startNode("model-z2-1")
		time.Sleep(5 * time.Second)
		c.checkNoOverload(t)
	})
	t.Run("engine turns cold in a burst", func(t *testing.T) {
		// The grace is the lag of the load report plus one poll: before that
		// nobody can know that the engine is cold.
		c.engines["model-z3-1"].TurnCold(time.Second)
		time.Sleep(4 * time.Second)
		c.checkNoOverload(t)
	})
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
	if !c.anyEngineWarm() {
		t.Error("no engine ever ran more than its cold capacity at once; the test shows nothing")
	}
}

// anyEngineWarm reports whether some engine has served enough to be warm.
func (c *cluster) anyEngineWarm() bool {
	for _, e := range c.engines {
		if !e.Load().Cold {
			return true
		}
	}
	return false
}

// Guards against new work at an endpoint that is leaving, and against cutting
// off what it runs.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := defaultOptions()
	s.modelAgentsPerZone = 2
	// Long requests keep every endpoint busy, so that an agent that goes on
	// taking work is never empty and its drain does not end by chance.
	s.engineOptions = enginesim.Options{BaseStepTime: 30 * time.Millisecond}
	s.orderOptions = ordersim.Options{ServiceTime: 200 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	cfg.ModelRate, cfg.MaxTokens = 2.5, 32
	load := c.startLoad(cfg)
	time.Sleep(3 * time.Second)

	for _, id := range []string{"model-z1-1", "desk-z2-1"} {
		leaving := time.Now()
		c.terminateNode(id, 30*time.Second)
		time.Sleep(time.Second)
		last := c.lastWorkAtEndpoint(id)
		if last.Sub(leaving) > lastWorkBound {
			t.Errorf("work began at %s %v after it started leaving", id, last.Sub(leaving))
		}
		t.Logf("last new work at %s %v after it started leaving", id, last.Sub(leaving).Round(time.Millisecond))
	}
	t.Run("VM out", func(t *testing.T) {
		out := time.Now()
		if _, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetVM, "vm-model-z2-2", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if last := c.lastWorkAtEndpoint("model-z2-2"); last.Sub(out) > lastWorkBound {
			t.Errorf("work began on the VM %v after the command", last.Sub(out))
		}
	})
	c.checkSummary(t, load.stop(c), 0)
}

func (c *cluster) lastWorkAtEndpoint(id string) time.Time {
	if d := c.orderEndpoints[id]; d != nil {
		return d.LastRequestTime()
	}
	return c.engines[id].LastRequestTime()
}

// Guards against a graceful shutdown that cuts off requests: of an entry whose
// address callers still keep, of an agent, and of both at once.
func TestShutdownCutsNoRequest(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone, s.modelAgentsPerZone = 2, 2
	s.engineOptions = enginesim.Options{BaseStepTime: 30 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	// Long streams at a rate that six cold engines bear: each takes 8 s cold
	// and 2 s warm.
	cfg.MaxTokens, cfg.ModelRate = 64, 1.5
	load := c.startLoad(cfg)
	time.Sleep(3 * time.Second)
	c.terminateNode("entry-z1-1", 60*time.Second)
	c.terminateNode("model-z2-1", 60*time.Second)
	c.terminateNode("desk-z3-1", 60*time.Second)
	c.signalNode("entry-z2-1", syscall.SIGTERM)
	c.terminateNode("model-z3-2", 60*time.Second)
	c.awaitExit("entry-z2-1", 60*time.Second)
	summary := load.stop(c)
	c.checkSummary(t, summary, 0)
	// Callers may keep an entry's address for its validity: none may find it
	// closed, be cut off, or be turned away there. Orders bound to a leaving
	// agent may be turned away.
	for _, class := range summary.Classes {
		for key, n := range class.Refusals {
			switch {
			case key.Kind == loadgen.KindConnectFailed, key.Kind == loadgen.KindConnectionLost,
				key.Kind == api.KindLeaving && class.Class != "order":
				t.Errorf("%d attempts of class %s met %s at an entry", n, class.Class, key.Kind)
			}
		}
	}
}
