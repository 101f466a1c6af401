package zonemove

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

func class(phase string, p99 float64, count int64) loadgen.ClassSummary {
	return loadgen.ClassSummary{Phase: phase, Class: "stock", Latency: loadgen.Quantiles{Count: count, P99: p99}}
}

// Guards against a report that lists no missed target for a run that missed one, for
// each kind of target.
func TestMissedTargets(t *testing.T) {
	is := is.New(t)
	good := func() *Result {
		return &Result{
			moves:  []*zoneMove{{zone: "zone-c", lastNewWork: time.Second, recoveredAfter: time.Second, redirects: &redirectProbe{}}},
			groups: []groupResult{{otherZones, loadgen.Summary{Classes: []loadgen.ClassSummary{class(phaseBefore, 10, 100), class("out", 15, 100)}}}},
		}
	}
	is.Equal(len(good().missedTargets()), 0)
	for _, missTarget := range []func(*Result){
		func(r *Result) { r.failedRequests = 1 },
		func(r *Result) { r.crashes = 1 },
		func(r *Result) { r.maxOverload = 1 },
		func(r *Result) { r.orders.Duplicated = 1 },
		func(r *Result) { r.orders.Lost = 1 },
		func(r *Result) { r.orders.FalseNotRun = 1 },
		func(r *Result) { r.moves[0].lastNewWork = maxNewWorkDelay + 1 },
		func(r *Result) { r.moves[0].recoveredAfter = 0 },
		func(r *Result) { r.groups[0].summary.Classes[1].Latency.P99 = 16 },
		func(r *Result) { r.groups[0].summary.Classes[0].Truncated = 1 },
	} {
		r := good()
		missTarget(r)
		is.Equal(len(r.missedTargets()), 1)
		var out bytes.Buffer
		is.NoErr(r.write(&out))
		is.True(!strings.Contains(strings.Join(strings.Fields(out.String()), " "), "targets missed none"))
	}
}

// Guards against a load that is computed from the total capacity, although the
// capacity of one zone is not available during a move.
func TestRates(t *testing.T) {
	is := is.New(t)
	o := Options{ModelAgentsPerZone: 4, OrderAgentsPerZone: 1, LoadFraction: 0.75, MaxTokens: 16, BaseStepTime: 20 * time.Millisecond, ServiceTime: 40 * time.Millisecond}
	is.Equal(o.plainCapacity(), 200.0)
	is.Equal(o.rates().stock+o.rates().order, 300.0)
	remaining := o.rates().model
	o.OfTotalCapacity = true
	is.Equal(int(o.rates().model), int(remaining*3/2))
}

// Guards against a frozen agent that still responds, or that loses the bytes that
// arrived while it was frozen.
func TestForwarderKeepsBytesWhileFrozen(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	got := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 8)
		n, _ := c.Read(buf)
		got <- string(buf[:n])
	}()
	fr := newFreezer()
	fr.setFrozen(true)
	f, err := forward("127.0.0.1:0", ln.Addr().String(), fr)
	is.NoErr(err)
	defer f.Close()
	c, err := net.Dial("tcp", f.ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("order"))
	is.NoErr(err)
	select {
	case <-got:
		t.Fatal("bytes passed a frozen forwarder")
	case <-time.After(100 * time.Millisecond):
	}
	fr.setFrozen(false)
	is.Equal(<-got, "order")
}
