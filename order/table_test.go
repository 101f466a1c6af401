package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/api"
)

var selfBinding = Binding{AgentID: "a1", Incarnation: 7}

func newTestTable(maxBytes int) (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return NewTable(TableConfig{Self: selfBinding, Clock: clock, Log: logr.Discard(), MaxBytes: maxBytes}), clock
}

func claim(t interface{ Fatalf(string, ...any) }, raw string, expect uint64) Claim {
	id, err := ParseIdentity(raw)
	if err != nil {
		t.Fatalf("%v", err)
	}
	id.Organisation = "org"
	return Claim{Identity: id, ExpectIncarnation: expect, Fingerprint: 1}
}

// Guards against a second execution, a changed response, a not_run outcome of an
// order that ran, and unbounded memory, under any sequence of operations.
func TestTableRunsEachIdentityAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 6 * (maxResponseBytes + 2*recordOverheadBytes)
		table, clock := newTestTable(maxBytes)
		runs, responses := map[string]int{}, map[string]string{}
		notRun := map[string]bool{}
		open := map[string]*Order{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			raw := rapid.SampledFrom([]string{
				"o1.a1.7.1.x", "o1.a1.7.2.x", "o1.a1.7.9.x", "o1.a1.6.1.x", "o1.a2.7.1.x", "e1.k", "e2.k", "e3.k", "e4.k", "e4.l", "e4.m", "e4.n",
			}).Draw(t, "identity")
			if rapid.IntRange(0, 5).Draw(t, "advance") == 0 {
				clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
			}
			if o := open[raw]; o != nil && rapid.Bool().Draw(t, "finish") {
				finish(t, o, raw, i, runs, responses, notRun)
				delete(open, raw)
				continue
			}
			o, first, r := table.Begin(claim(t, raw, rapid.SampledFrom([]uint64{0, 6, 7}).Draw(t, "expect")))
			switch {
			case r != nil:
				if r.Outcome == api.OutcomeNotRun {
					notRun[raw] = true
				}
			case first:
				open[raw] = o
			case open[raw] == nil:
				checkRetry(t, o, raw, responses, notRun)
			}
			if notRun[raw] && runs[raw] > 0 {
				t.Fatalf("%s ran and was reported as not run", raw)
			}
			if table.usedBytes > maxBytes+refusedReserveBytes {
				t.Fatalf("%d bytes are used", table.usedBytes)
			}
		}
	})
}

func finish(t *rapid.T, o *Order, raw string, step int, runs map[string]int, responses map[string]string, notRun map[string]bool) {
	defer o.Release()
	if rapid.Bool().Draw(t, "close") {
		o.Refuse(api.NotRun(api.KindOverloaded, "queue full", "retry"))
		notRun[raw] = true
	}
	if o.Start() {
		runs[raw]++
	}
	if runs[raw] > 1 {
		t.Fatalf("%s ran %d times", raw, runs[raw])
	}
	if rapid.Bool().Draw(t, "lost") {
		o.RecordUnknown("connection reset")
		return
	}
	body := fmt.Sprint(step)
	if o.RecordResponse(Response{Status: 201, Body: []byte(body)}) {
		responses[raw] = body
	}
}

func checkRetry(t *rapid.T, o *Order, raw string, responses map[string]string, notRun map[string]bool) {
	defer o.Release()
	<-o.Finished()
	response, r := o.Result()
	if r == nil && string(response.Body) != responses[raw] {
		t.Fatalf("%s got the response %q, first %q", raw, response.Body, responses[raw])
	}
	if r != nil && (r.Outcome == api.OutcomeNotRun) != notRun[raw] {
		t.Fatalf("%s has outcome %s", raw, r.Outcome)
	}
}

// Guards against orders that are lost or run again after the planned stop of their
// agent, and against responses that are sent to another organisation.
func TestHeirAnswersFromHandedOverOutcomes(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(0)
	for _, raw := range []string{"o1.a1.7.1.done", "o1.a1.7.1.lost", "o1.a1.7.1.closed", "e1.own", "o1.a1.7.1.large"} {
		o, first, _ := table.Begin(claim(t, raw, 7))
		is.True(first)
		switch raw {
		case "o1.a1.7.1.closed":
			is.True(o.Refuse(api.NotRun(api.KindLeaving, "leaving", "none")))
		case "o1.a1.7.1.lost":
			is.True(o.Start() && o.RecordUnknown("reset"))
		case "o1.a1.7.1.large":
			is.True(o.Start() && o.RecordResponse(Response{Status: 201, Body: make([]byte, maxResponseBytes+1)}))
			response, r := o.Result()
			is.Equal(r, nil)
			is.Equal(len(response.Body), maxResponseBytes+1) // the first caller gets the complete response
		default:
			is.True(o.Start() && o.RecordResponse(Response{Status: 201, Body: []byte(raw)}))
		}
		o.Release()
	}
	clock := clockwork.NewFakeClock()
	successor := NewTable(TableConfig{Self: Binding{AgentID: "a2", Incarnation: 9}, Clock: clock, Log: logr.Discard()})
	is.Equal(successor.ImportOutcomes(table.Outcomes()), 5)
	want := map[string]api.Outcome{"o1.a1.7.1.lost": api.OutcomeUnknown, "o1.a1.7.1.closed": api.OutcomeNotRun, "o1.a1.7.1.large": api.OutcomeRan, "o1.a1.7.1.other": api.OutcomeUnknown}
	for raw, outcome := range want {
		_, first, r := successor.Begin(claim(t, raw, 7))
		is.True(!first)
		is.Equal(r.Outcome, outcome)
	}
	for _, raw := range []string{"o1.a1.7.1.done", "e1.own"} {
		o, first, r := successor.Begin(claim(t, raw, 7))
		is.True(!first && r == nil)
		response, _ := o.Result()
		is.Equal(string(response.Body), raw)
	}
	successor.ImportCompleteness(table.Completeness())
	for raw, outcome := range map[string]api.Outcome{"o1.a1.7.1.other": api.OutcomeNotRun, "o1.a3.7.1.other": api.OutcomeUnknown, "o1.a1.7.1.lost": api.OutcomeUnknown, "e1.new": api.OutcomeNotRun} {
		_, _, r := successor.Begin(claim(t, raw, 7))
		is.Equal(r.Outcome, outcome)
	}
	foreign := claim(t, "o1.a1.7.1.done", 7)
	foreign.Identity.Organisation = "another"
	_, _, r := successor.Begin(foreign)
	is.Equal(r.Outcome, api.OutcomeNotRun) // the other organisation's order did not run
	changed := claim(t, "o1.a1.7.1.done", 7)
	changed.Fingerprint = 2
	_, _, r = successor.Begin(changed)
	is.Equal(r.Kind, api.KindConflict)
	clock.Advance(importedRetention + time.Minute)
	_, _, r = successor.Begin(claim(t, "o1.a1.7.1.done", 7))
	is.Equal(r.Outcome, api.OutcomeUnknown) // the outcome has expired; it is not reported as not_run
}

// Guards against keys that are parsed into an identity other than the formatted one,
// and against accepted keys that JSON encoding would change.
func FuzzParseIdentity(f *testing.F) {
	for _, seed := range []string{"o1.a1.7.1.x", "e1.k", "e01.k", "o1.a.b.c.d", "e1.\xff", "e18446744073709551616.k", "e1."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		id, err := ParseIdentity(raw)
		if err != nil {
			return
		}
		if id.Raw != raw || len(raw) > MaxIdentityBytes {
			t.Fatalf("%q was parsed as %q", raw, id.Raw)
		}
		for _, c := range []byte(raw) {
			if c <= ' ' || c > '~' {
				t.Fatalf("%q was accepted", raw)
			}
		}
		written := fmt.Sprintf("e%d.", id.JournalEpoch)
		if id.Issued {
			written = FormatIssued(id.Binding, id.AgentEpoch, "")
		}
		if raw[:len(written)] != written {
			t.Fatalf("%q was parsed as %q", raw, written)
		}
	})
}
