package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeEngine runs as many requests as it has slots and starts the most urgent one first.
type fakeEngine struct {
	mu      sync.Mutex
	id      string
	free    int
	running int
	queue   []*engineRequest
}

type engineRequest struct {
	priority int
	start    chan struct{}
}

// begin waits until a request starts.
func (e *fakeEngine) begin(priority int) {
	e.mu.Lock()
	if e.free > 0 {
		e.free--
		e.running++
		e.mu.Unlock()
		return
	}
	r := &engineRequest{priority: priority, start: make(chan struct{})}
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *engineRequest) int { return a.priority - b.priority })
	e.mu.Unlock()
	<-r.start
}

func (e *fakeEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(e.queue[0].start)
		e.queue = e.queue[1:]
		return
	}
	e.free++
	e.running--
}

func (e *fakeEngine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.running, Waiting: len(e.queue), Slots: e.free + e.running}
}

// caller is a kind of caller in a load.
type caller struct {
	request  Request
	every    time.Duration
	duration time.Duration
	aim      time.Duration
	// from and to bound the time in which requests are sent, by default all of it.
	from, to time.Duration
}

// result counts what the callers of one kind got.
type result struct {
	sent, inTime, late, refused, refusedTwice int
	// lateAtOnce counts late responses to requests that were never refused.
	lateAtOnce int
}

func (r result) served() float64 { return float64(r.inTime+r.late) / float64(max(1, r.sent)) }

func (r result) share(n int) float64 { return float64(n) / float64(max(1, r.sent)) }

// plan is the setting of a load: entries that share engines of ten slots, for a time in
// which the engines may stand still.
type plan struct {
	entries, engines int
	length           time.Duration
	haltFrom, haltTo time.Duration
}

// play sends a load and returns what each kind of caller got. Callers return once after a
// refusal. Loads are reported every 100 ms.
func play(t *testing.T, p plan, callers ...caller) []result {
	t.Helper()
	const slots = 10
	entries, engines, length := p.entries, p.engines, p.length
	results := make([]result, len(callers))
	synctest.Test(t, func(t *testing.T) {
		all := make(map[string]*fakeEngine)
		fleets := make([]*Fleet, entries)
		for i := range fleets {
			fleets[i] = New("z1", nil)
			fleets[i].SetEntries(entries, i)
			fleets[i].SetLimits(service, Limits{QueuesByPriority: true})
			for j := range engines {
				id := fmt.Sprint("e", j)
				if all[id] == nil {
					all[id] = &fakeEngine{id: id, free: slots}
				}
				r := record(id, id, 1)
				r.Slots = slots
				fleets[i].Update(r)
			}
		}
		began := time.Now()
		halted := func() bool { return time.Since(began) >= p.haltFrom && time.Since(began) < p.haltTo }
		ctx, stop := context.WithCancel(t.Context())
		var reporters, requests sync.WaitGroup
		reporters.Go(func() {
			for ctx.Err() == nil {
				for id, e := range all {
					for _, f := range fleets {
						l := e.load()
						l.Stalled = halted()
						f.RecordLoad(id, l)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		var mu sync.Mutex
		for i, c := range callers {
			requests.Go(func() {
				if c.to == 0 {
					c.to = length
				}
				time.Sleep(c.from)
				for n := 0; time.Since(began) < c.to; n++ {
					requests.Go(func() {
						sent := time.Now()
						first := true
					again:
						f := fleets[rand.N(len(fleets))]
						r := c.request
						r.Service, r.Aim, r.Deadline = service, time.Now().Add(c.aim), sent.Add(8*time.Second)
						r.MaxWait = time.Second
						pick, availability := f.Acquire(context.Background(), &r)
						if pick == nil && first {
							first = false
							time.Sleep(f.RetryAfter(&r, availability, 2500*time.Millisecond))
							mu.Lock()
							results[i].refused++
							mu.Unlock()
							goto again
						}
						if pick != nil {
							if pick.Expedited {
								r.Priority = 0
							}
							all[pick.Endpoint.ID].begin(r.Priority)
							if halted() {
								time.Sleep(time.Until(began.Add(p.haltTo)))
							}
							time.Sleep(50 * time.Millisecond) // the prompt is read
							pick.RecordBegin()
						}
						took := time.Since(sent)
						mu.Lock()
						results[i].sent++
						switch {
						case pick == nil:
							results[i].refusedTwice++
						case took <= c.aim:
							results[i].inTime++
						default:
							results[i].late++
							if first {
								results[i].lateAtOnce++
							}
						}
						mu.Unlock()
						if pick != nil {
							time.Sleep(c.duration/2 + rand.N(c.duration))
							all[pick.Endpoint.ID].end()
							pick.EndSucceeded()
						}
					})
					time.Sleep(c.every/2 + rand.N(c.every))
				}
			})
		}
		requests.Wait()
		stop()
		reporters.Wait()
	})
	for i, r := range results {
		t.Logf("priority %d, organisation %q: %+v", callers[i].request.Priority, callers[i].request.Organisation, r)
	}
	return results
}

// Guards against urgent requests that wait behind less urgent ones, at the entry or in the
// engine's queue, and against starving the latter. Bulk work bursts to more than the
// engines can run; 80 of 200 slots are enough for the urgent requests.
func TestBulkDoesNotDelayUrgentRequests(t *testing.T) {
	results := play(t, plan{entries: 20, engines: 20, length: 10 * time.Second},
		caller{request: Request{Priority: 0, Kind: "urgent"}, every: 12 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond},
		caller{request: Request{Priority: 2, Kind: "bulk"}, every: 4 * time.Millisecond, duration: time.Second, aim: time.Second},
	)
	urgent, bulk := results[0], results[1]
	if share := urgent.share(urgent.inTime); share < 0.95 {
		t.Errorf("%.3f of the urgent requests were in time", share)
	}
	all := float64(urgent.inTime+urgent.late+bulk.inTime+bulk.late) / float64(urgent.sent+bulk.sent)
	if bulk.served() < all/4 {
		t.Errorf("%.3f of bulk was served, %.3f of all", bulk.served(), all)
	}
}

// Guards against starving bulk when the urgent requests alone are more than the engines
// can run.
func TestUrgentOverloadDoesNotStarveBulk(t *testing.T) {
	results := play(t, plan{entries: 20, engines: 20, length: 10 * time.Second},
		caller{request: Request{Priority: 0, Kind: "urgent"}, every: 3 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond},
		caller{request: Request{Priority: 2, Kind: "bulk"}, every: 20 * time.Millisecond, duration: time.Second, aim: time.Second},
	)
	urgent, bulk := results[0], results[1]
	all := float64(urgent.inTime+urgent.late+bulk.inTime+bulk.late) / float64(urgent.sent+bulk.sent)
	if bulk.served() < all/4 {
		t.Errorf("%.3f of bulk was served, %.3f of all", bulk.served(), all)
	}
}

// Guards against an organisation that takes the room of others by sending more, and
// against leaving room unused that only one of them wants.
func TestLargeOrganisationLeavesOthersTheirShare(t *testing.T) {
	large := caller{request: Request{Organisation: "large"}, every: 4 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond}
	small := caller{request: Request{Organisation: "small"}, every: 100 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond}
	p := plan{entries: 4, engines: 10, length: 10 * time.Second}
	alone := play(t, p, large)
	both := play(t, p, large, small)
	if share := both[1].served(); share < 0.95 {
		t.Errorf("%.3f of the small organisation's requests were served", share)
	}
	together := both[0].inTime + both[0].late + both[1].inTime + both[1].late
	if before := alone[0].inTime + alone[0].late; float64(together) < 0.95*float64(before) {
		t.Errorf("%d requests were served for both, %d for the large one alone", together, before)
	}
}

// Guards against callers that return together or too soon and are refused once more. A
// burst of two seconds asks for twice what the engines can run.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	results := play(t, plan{entries: 20, engines: 20, length: 8 * time.Second},
		caller{request: Request{Kind: "steady"}, every: 8 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond},
		caller{request: Request{Kind: "burst"}, every: 4 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond, from: 2 * time.Second, to: 4 * time.Second},
	)
	refused, twice := results[0].refused+results[1].refused, results[0].refusedTwice+results[1].refusedTwice
	if twice*4 > refused {
		t.Errorf("%d of %d refused callers were refused again", twice, refused)
	}
}

// Guards against a backlog in which each request is served just after it has become late,
// while later ones that could be served in time become late too. Requests ask for 1.5 times
// what the engines can run. An eighth of what is granted may go to late ones, and as many
// again may become late in an engine's queue, since loads are known 100 ms late.
func TestOverloadDoesNotMakeAllRequestsLate(t *testing.T) {
	r := play(t, plan{entries: 20, engines: 20, length: 10 * time.Second},
		caller{request: Request{Kind: "all"}, every: 3300 * time.Microsecond, duration: time.Second, aim: 400 * time.Millisecond})[0]
	if served := r.inTime + r.lateAtOnce; r.lateAtOnce*4 > served {
		t.Errorf("%d of %d requests were served late at once", r.lateAtOnce, served)
	}
}

// Guards against callers that are refused during a halt, return while it lasts or all at its
// end, and make those late that come after it. The engines have room for both at once.
func TestLoadAfterAHalt(t *testing.T) {
	const from, to = 2 * time.Second, 4 * time.Second
	steady := caller{request: Request{Kind: "steady"}, every: 12 * time.Millisecond, duration: time.Second, aim: 400 * time.Millisecond}
	during, after := steady, steady
	steady.to = from
	during.from, during.to = from, to
	after.from = to + 500*time.Millisecond
	results := play(t, plan{entries: 20, engines: 20, length: 10 * time.Second, haltFrom: from, haltTo: to}, steady, during, after)
	if share := results[1].served(); share < 0.9 {
		t.Errorf("%.3f of those who came during the halt were served in the end", share)
	}
	if share := results[2].share(results[2].inTime); share < 0.9 {
		t.Errorf("%.3f of those who came after the halt were served in time", share)
	}
}
