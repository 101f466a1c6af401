package proof

import (
	"flag"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

// Guards against a truncated response that looks complete, and against a response
// to another request, while an engine exits in mid-stream, another is frozen, an
// agent is killed, and traffic from an entry is delayed.
func TestOwnWholeAnswer(t *testing.T) {
	s := defaultOptions()
	s.modelAgentsPerZone = 2
	s.engineOptions = enginesim.Options{BaseStepTime: 20 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	cfg.MaxTokens = 48
	load := c.startLoad(cfg)
	time.Sleep(2 * time.Second)
	removeDelay := c.linkRules.add(func(source netip.Addr, _ string) (linkFault, bool) {
		return linkFault{delay: 30 * time.Millisecond}, source == c.nodes["entry-z2-1"].ip
	})
	c.engines["model-z1-1"].Kill()
	time.Sleep(time.Second)
	c.killNode("model-z2-1")
	time.Sleep(time.Second)
	c.must(c.engines["model-z1-1"].Restart())
	c.startNode("model-z2-1")
	c.engines["model-z3-1"].Freeze()
	time.Sleep(time.Second)
	c.engines["model-z3-1"].Unfreeze()
	removeDelay()
	time.Sleep(2 * time.Second)
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
	c.logSummary(t, summary)
}

// minOrders makes TestOrderRunsAtMostOnce repeat its faults until this number of
// orders is placed, for measurements.
var minOrders = flag.Int("proof.orders", 0, "least number of orders placed under faults")

// injectOrderFaults injects the faults under which an order must run at most once.
func (c *cluster) injectOrderFaults(t *testing.T) {
	t.Helper()
	pause := func() { time.Sleep(1500 * time.Millisecond) }
	t.Log("kill an agent and an endpoint")
	c.killNode("desk-z1-1")
	pause()
	c.startNode("desk-z1-1")
	c.orderEndpoints["desk-z2-1"].Kill()
	pause()
	c.must(c.orderEndpoints["desk-z2-1"].Restart())
	t.Log("freeze an agent, an entry and an endpoint")
	c.freezeNode("desk-z3-1")
	c.freezeNode("entry-z1-1")
	pause()
	c.resumeNode("desk-z3-1")
	c.orderEndpoints["desk-z1-1"].Freeze()
	pause()
	c.orderEndpoints["desk-z1-1"].Unfreeze()
	c.resumeNode("entry-z1-1")
	t.Log("store outage, slow store and lost replies")
	c.must(c.kv.SetFaults(kvsim.Faults{LostResponseProbability: 0.3}))
	pause()
	c.must(c.kv.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}))
	pause()
	c.must(c.kv.SetFaults(kvsim.Faults{DelayMS: 200}))
	pause()
	c.must(c.kv.SetFaults(kvsim.Faults{}))
	t.Log("kill an entry while traffic from another to an agent is blocked")
	endFault := c.blockTraffic("entry-z2-1", "desk-z2-1")
	c.killNode("entry-z3-1")
	pause()
	c.startNode("entry-z3-1")
	endFault()
	t.Log("restart an agent gracefully while a zone is isolated")
	c.signalNode("desk-z2-1", syscall.SIGTERM)
	endFault = c.isolateZone("z3")
	pause()
	pause()
	endFault()
	c.awaitExit("desk-z2-1", 30*time.Second)
	c.startNode("desk-z2-1")
	pause()
}

// Guards against an order that runs twice, an order refused as not run that
// ran, and a confirmed order that did not run, under the faults of
// injectOrderFaults.
func TestOrderRunsAtMostOnce(t *testing.T) {
	s := defaultOptions()
	s.entriesPerZone = 2
	// An order takes effect half way through this time, so that at each fault
	// many are in flight, both before and after their effect.
	s.orderOptions = ordersim.Options{ServiceTime: 100 * time.Millisecond}
	c := newCluster(t, s)
	cfg := c.loadConfig()
	cfg.ModelRate, cfg.StockRate, cfg.OrderRate = 0, 10, 100
	cfg.AttemptTimeout = 3 * time.Second
	load := c.startLoad(cfg)
	time.Sleep(2 * time.Second)
	c.injectOrderFaults(t)
	for load.generator.Summary(c.ledger.Counts()).Orders.Placed < *minOrders {
		c.injectOrderFaults(t)
	}
	summary := load.stop(c)
	for _, v := range summary.Violations() {
		t.Error(v)
	}
	c.logSummary(t, summary)
	o := summary.Orders
	if o == nil || o.Confirmed < o.Placed/2 {
		t.Errorf("too few orders were confirmed for the test to show anything: %+v", o)
	}
}
