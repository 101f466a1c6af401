package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against calls to engines over the network, which are billed, while their agents are
// merely slow, and against a held group that waits for a silent agent for long.
func TestAgentSilence(t *testing.T) {
	is := is.New(t)
	allow, deny := func() bool { return true }, func() bool { return false }
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	m := &agentMonitor{}
	m.replied(now)
	is.True(!m.failed(after(150*time.Millisecond), false, agentSilence, allow))   // one lost call
	is.True(m.attempt(after(150 * time.Millisecond)))                             // it is called again
	is.True(!m.failed(after(400*time.Millisecond), false, agentSilence, allow))   // no group waits
	is.True(m.failed(after(400*time.Millisecond), false, commandSilence, allow))  // a held group waits
	is.True(!m.failed(after(410*time.Millisecond), false, commandSilence, allow)) // found already
	is.True(!m.attempt(after(800 * time.Millisecond)))
	is.True(m.attempt(after(910 * time.Millisecond)))  // it is tried again now and then
	is.True(m.replied(after(920 * time.Millisecond)))  // the silence ends
	is.True(!m.replied(after(930 * time.Millisecond))) // once
	is.True(m.failed(after(940*time.Millisecond), true, agentSilence, allow))

	unknown := &agentMonitor{}
	is.True(unknown.failed(now, false, agentSilence, allow)) // it never replied
	storm := &agentMonitor{}
	is.True(!storm.failed(now, false, agentSilence, deny)) // too many at once: this VM is at fault
}

// Guards against a takeover of a standing group that waits as long as one of a group that
// runs, and against one while its coordinator may still be at work.
func TestStandingGroupIsTakenOverSooner(t *testing.T) {
	is := is.New(t)
	l := &leadership{hasBeenCalled: true}
	standing := rankState{rank: 1, standing: true}
	is.Equal(l.takeoverWait(standing), 550*time.Millisecond)
	is.Equal(l.takeoverWait(rankState{rank: 1}), takeoverTimeout+takeoverStaggerPerRank)
	standing.holdsStep = true
	is.True(l.takeoverWait(standing) > heldStepDelay)
	l.hasBeenCalled = false
	is.Equal(l.takeoverWait(rankState{standing: true}), initialTakeoverTimeout) // just joined the group
}

// testRemote returns a rank whose agent is served by agent and whose engine by engine.
func testRemote(t *testing.T, agent, engine http.HandlerFunc) *remoteRank {
	t.Helper()
	serve := func(h http.HandlerFunc) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	client := upstream.NewClient(time.Second)
	return &remoteRank{agentAddr: serve(agent), group: "g", engine: platform.NewEngine(serve(engine), client), client: client, term: 1,
		limit: rate.NewLimiter(silentAgentsPerSecond, silentAgentsBurst), commands: newCommandLimit(), metrics: metrics.NewSet(), log: logr.Discard()}
}

// Guards against a rank that can't be reached because its agent is silent although its
// engine replies: its coordinator's successor waited until the agent was back.
func TestEngineIsCalledInPlaceOfASilentAgent(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	silent.Store(true)
	done := make(chan struct{})
	defer close(done)
	var reports, commands atomic.Int32
	r := testRemote(t, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-done
			return
		}
		_ = json.NewEncoder(w).Encode(wire.RankReply{Report: &rankgroup.Report{Group: "g", Rank: 3, Size: 4, Step: 9}})
	}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			commands.Add(1)
			return
		}
		reports.Add(1)
		_, _ = w.Write([]byte(`{"group":{"name":"g","rank":3,"state":"open"},"size":4,"step":7}`))
	})
	ctx, cancel := context.WithTimeout(t.Context(), discoveryTimeout)
	defer cancel()
	report, err := r.Report(ctx)
	is.NoErr(err)
	is.Equal(report.Step, uint64(7))
	is.True(r.Direct())
	began := time.Now()
	for range 20 {
		_, err := r.Report(t.Context())
		is.NoErr(err)
	}
	is.True(reports.Load() <= 2+int32(time.Since(began)/directReportInterval)) // at a bounded rate
	result, err := r.Send(t.Context(), rankgroup.Command{Operation: rankgroup.Disarm, Version: 1})
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	is.Equal(commands.Load(), int32(1))
	silent.Store(false)
	time.Sleep(agentRetryInterval)
	report, err = r.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Step, uint64(9)) // the agent's own report again
	is.True(!r.Direct())
}

// Guards against a rank without any agent that can't be reached.
func TestEngineIsCalledWhereNoAgentRuns(t *testing.T) {
	is := is.New(t)
	r := testRemote(t, nil, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"group":{"name":"g","rank":3,"state":"open"},"size":4,"step":7}`))
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r.agentAddr = ln.Addr().String()
	is.NoErr(ln.Close())
	report, err := r.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Step, uint64(7))
	is.True(r.Direct())
}

// Guards against a switch that can't be undone without its coordinator because nobody knows
// whose it is: only agents can tell.
func TestAgentReportsTheOwnerOfASwitch(t *testing.T) {
	is := is.New(t)
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"group":{"name":"g","rank":1,"state":"open"},"size":4,"step":7,"prepared":5,"armed":{"version":5,"step":9}}`))
	})
	report, err := l.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Armed.Owner, 0)
	l.relayPrepare(&rankgroup.Command{Version: 5, Owner: 3})
	l.relayArm(&rankgroup.Command{Version: 5, Step: 9, Owner: 3})
	report, err = l.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Armed.Owner, 3)
	is.Equal(report.PreparedOwner, 3)
	l.relayArm(&rankgroup.Command{Version: 5, Step: 8, Owner: 2}) // another step
	report, err = l.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Armed.Owner, 0)
}

// Guards against a group of two ranks that waits for its frozen coordinator: the other agent
// took the hold at its own rank, which that coordinator's call had placed, for one from before
// its own restart, and waited heldStepDelay longer.
func TestHoldsOfOtherCoordinatorsAreAccountedFor(t *testing.T) {
	is := is.New(t)
	step, later := uint64(7), uint64(9)
	m := &holdMonitor{}
	is.True(!m.unaccounted(nil))
	is.True(!m.unaccounted(&step)) // held after the agent started
	restarted := &holdMonitor{}
	is.True(restarted.unaccounted(&step))
	is.True(restarted.unaccounted(&step))
	is.True(!restarted.unaccounted(&later)) // another hold
	is.True(!restarted.unaccounted(&step))
}

// Guards against commands without a pause to an engine on another VM that doesn't accept
// connections or doesn't reply: these calls are billed, and a Prepare carries a whole map.
func TestCommandsToEnginesOfOtherVMsAreBoundedInRate(t *testing.T) {
	for _, refused := range []bool{true, false} {
		is := is.New(t)
		var calls atomic.Int32
		r := testRemote(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		if refused {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			r.engine, r.agentAddr = platform.NewEngine(ln.Addr().String(), r.client), ln.Addr().String()
			is.NoErr(ln.Close())
		}
		began := time.Now()
		for time.Since(began) < time.Second { // as a switch retries a command
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			_, _ = r.SendDirect(ctx, rankgroup.Command{Operation: rankgroup.Hold, Step: 5})
			cancel()
			time.Sleep(5 * time.Millisecond)
		}
		counted := int(r.metrics.GetOrCreateCounter(`wasabinotch_engine_calls_total{call="hold"}`).Get())
		is.True(counted >= int(calls.Load()))
		is.True(counted > directCommandsBurst) // it is tried again
		is.True(float64(counted) <= directCommandsBurst+directCommandsPerSecond*time.Since(began).Seconds()+1)
	}
}
