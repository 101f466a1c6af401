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

// modelLoadConfig returns a load of model requests only, at rate requests a second.
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
			t.Errorf("engine %s had up to %d requests beyond its cold capacity and %d crashes: %+v", id, r.MaxOverload, len(r.Crashes), r.Crashes)
		}
	}
}

// Guards against more work at a cold endpoint than its cold capacity: at the
// start under full load, when the engine restarts while its agent runs on, when
// the agent restarts while its engine still runs the requests of the agent's
// previous run, and when the engine turns cold under load.
func TestColdEndpointNotOverloaded(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone = 2
	s.engineOptions = enginesim.Options{BaseStepTime: 10 * time.Millisecond}
	c := newCluster(t, s)
	load := c.startLoad(c.modelLoadConfig(60))
	time.Sleep(6 * time.Second)
	c.checkNoOverload(t)

	t.Run("engine restarts while its agent runs on", func(t *testing.T) {
		c.engines["model-z1-1"].Kill()
		time.Sleep(time.Second)
		c.must(c.engines["model-z1-1"].Restart())
		time.Sleep(4 * time.Second)
		c.checkNoOverload(t)
	})
	t.Run("agent restarts while its engine runs earlier requests", func(t *testing.T) {
		c.engines["model-z2-1"].TurnCold(time.Second)
		c.killNode("model-z2-1")
		c.startNode("model-z2-1")
		time.Sleep(5 * time.Second)
		c.checkNoOverload(t)
	})
	t.Run("engine turns cold under load", func(t *testing.T) {
		// For the first second requests beyond the cold capacity wait instead of
		// crashing the engine. This second covers the delay of a load report plus
		// one poll, before which the agent and the entries cannot know that the
		// engine is cold.
		c.engines["model-z3-1"].TurnCold(time.Second)
		time.Sleep(4 * time.Second)
		c.checkNoOverload(t)
	})
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
	if !c.anyEngineWarm() {
		t.Error("no engine became warm; the test shows nothing")
	}
}

func (c *cluster) anyEngineWarm() bool {
	for _, e := range c.engines {
		if !e.Load().Cold {
			return true
		}
	}
	return false
}

// Guards against new work at an endpoint whose agent shuts down gracefully or
// whose VM is taken out of service, and against requests that fail meanwhile, such
// as those that the endpoint still runs.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := defaultOptions()
	s.modelAgentsPerZone = 2
	// Long requests keep every endpoint busy, so that an agent that wrongly goes on
	// accepting work always has some and cannot finish its drain by chance.
	s.engineOptions = enginesim.Options{BaseStepTime: 30 * time.Millisecond}
	s.orderOptions = ordersim.Options{ServiceTime: 200 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	cfg.ModelRate, cfg.MaxTokens = 2.5, 32
	load := c.startLoad(cfg)
	time.Sleep(3 * time.Second)

	for _, id := range []string{"model-z1-1", "desk-z2-1"} {
		leavingAt := time.Now()
		c.terminateNode(id, 30*time.Second)
		time.Sleep(time.Second)
		last := c.lastWorkAtEndpoint(id)
		if last.Sub(leavingAt) > lastWorkBound {
			t.Errorf("work began at %s %v after its shutdown began", id, last.Sub(leavingAt))
		}
		t.Logf("last new work at %s %v after its shutdown began", id, last.Sub(leavingAt).Round(time.Millisecond))
	}
	t.Run("VM taken out of service", func(t *testing.T) {
		outAt := time.Now()
		if _, err := c.sendIntent(c.entryAddrs()[0], bundle.TargetVM, "vm-model-z2-2", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if last := c.lastWorkAtEndpoint("model-z2-2"); last.Sub(outAt) > lastWorkBound {
			t.Errorf("work began on the VM %v after the command", last.Sub(outAt))
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

// Guards against a graceful shutdown that aborts requests: of an entry whose
// address callers still have cached, of an agent, and of both at once.
func TestShutdownCutsNoRequest(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone, s.modelAgentsPerZone = 2, 2
	s.engineOptions = enginesim.Options{BaseStepTime: 30 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	// Long streams at a rate that six cold engines sustain: each stream takes 8 s
	// at a cold engine and 2 s at a warm one.
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
	// Callers may use an entry's address until its TTL ends: until then no
	// connection may be refused or lost there, and no request rejected. Only an
	// order bound to an agent that shuts down may be rejected.
	for _, class := range summary.Classes {
		for key, n := range class.Refusals {
			switch {
			case key.Kind == loadgen.KindConnectFailed, key.Kind == loadgen.KindConnectionLost,
				key.Kind == api.KindLeaving && class.Class != "order":
				t.Errorf("%d attempts of class %s got %s from an entry", n, class.Class, key.Kind)
			}
		}
	}
}
