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

// Guards against a report that passes a run although a target was missed.
func TestMissedTargets(t *testing.T) {
	is := is.New(t)
	good := func() *Result {
		return &Result{
			moves:  []*move{{zone: "zone-c", lastWork: time.Second, normal: time.Second, redirects: &redirects{}}},
			groups: []groupResult{{otherZones, loadgen.Summary{Classes: []loadgen.ClassSummary{class(phaseBefore, 10, 100), class("out", 15, 100)}}}},
		}
	}
	is.Equal(len(good().missed()), 0)
	for _, spoil := range []func(*Result){
		func(r *Result) { r.failed = 1 },
		func(r *Result) { r.crashes = 1 },
		func(r *Result) { r.overload = 1 },
		func(r *Result) { r.orders.Duplicated = 1 },
		func(r *Result) { r.orders.Lost = 1 },
		func(r *Result) { r.orders.FalseNotRun = 1 },
		func(r *Result) { r.moves[0].lastWork = maxLastWork + 1 },
		func(r *Result) { r.moves[0].normal = 0 },
		func(r *Result) { r.groups[0].summary.Classes[1].Latency.P99 = 16 },
		func(r *Result) { r.groups[0].summary.Classes[0].Truncated = 1 },
	} {
		r := good()
		spoil(r)
		is.Equal(len(r.missed()), 1)
		var out bytes.Buffer
		is.NoErr(r.write(&out))
		is.True(!strings.Contains(strings.Join(strings.Fields(out.String()), " "), "targets missed none"))
	}
}

// Guards against a load that is computed from capacity that a move takes away.
func TestRates(t *testing.T) {
	is := is.New(t)
	o := Options{ModelAgentsPerZone: 4, OrderAgentsPerZone: 1, LoadFraction: 0.75, MaxTokens: 16, StepBase: 20 * time.Millisecond, ServiceTime: 40 * time.Millisecond}
	is.Equal(o.plainCapacity(), 200.0)
	is.Equal(o.rates().stock+o.rates().order, 300.0)
	remaining := o.rates().model
	o.OfTotalCapacity = true
	is.Equal(int(o.rates().model), int(remaining*3/2))
}

// Guards against a frozen agent that still answers, or that loses the bytes
// that reached it while it was frozen.
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
	sw := newSwitchable()
	sw.set(true)
	f, err := forward("127.0.0.1:0", ln.Addr().String(), sw)
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
	sw.set(false)
	is.Equal(<-got, "order")
}
