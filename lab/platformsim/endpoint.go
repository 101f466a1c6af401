package platformsim

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	// ID is the prefix of the IDs of the endpoint's incarnations.
	ID, Service, Zone string
	// Addr is the address on which the endpoint listens, AnnouncedAddr the one in
	// its record in the store.
	Addr, AnnouncedAddr string
	// Slots is the number of requests that run at once.
	Slots int
	// MeanRunTime is the mean duration of a run. Durations are uniform between 0.5
	// and 1.5 times the mean.
	MeanRunTime time.Duration
	// ColdTime is how long the endpoint reports itself as cold after a start.
	ColdTime time.Duration
	Store    *Store
	Ledger   *Ledger
	Seed     uint64
}

const (
	// queueFactor bounds the queue: at most queueFactor times Slots requests wait
	// while all slots are in use; further requests are rejected.
	queueFactor = 2
	// recordRemovalDelay is the time from an endpoint's crash until its record is
	// removed from the store.
	recordRemovalDelay = 800 * time.Millisecond
	// A stream has minStreamEvents to minStreamEvents+streamEventRange-1 events.
	minStreamEvents, streamEventRange = 4, 14
)

// Endpoint is a simulated endpoint. Its responses are functions of the request's
// ID, so that a caller can check them.
type Endpoint struct {
	cfg  EndpointConfig
	http *simhttp.Server

	mu          sync.Mutex
	rng         *rand.Rand
	id          string
	startCount  int
	incarnation int64
	coldEnds    time.Time
	running     int
	waiting     int
	draining    bool
	crashed     bool
	faults      Faults
	// rateLimit is the rate limit that the endpoint names in its responses, empty for none.
	rateLimit string
	// leaving is set if the endpoint says in its responses that it leaves.
	leaving bool
	// shedUntil is the end of the time in which the endpoint rejects requests, and asks
	// for a pause until then.
	shedUntil time.Time
	// group and rank are set if the endpoint is a rank of a group.
	group *Group
	rank  int
	// slotFreed is closed and replaced when a slot becomes free.
	slotFreed chan struct{}
}

// Faults are the probabilities, per request, of the faults of an endpoint.
type Faults struct {
	// Hang sends no response, Truncate closes the connection within the body, Fail
	// responds with status 500, WrongRequestID responds with the ID of another
	// request, and Reject rejects the request before it runs.
	Hang, Truncate, Fail, WrongRequestID, Reject float64
}

// StartEndpoint starts an endpoint and writes its record to the store.
func StartEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	e := newEndpoint(cfg)
	return e, e.listen(http.HandlerFunc(e.handleRequest))
}

func newEndpoint(cfg EndpointConfig) *Endpoint {
	return &Endpoint{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), slotFreed: make(chan struct{})}
}

func (e *Endpoint) listen(h http.Handler) error {
	s, err := simhttp.Listen(e.cfg.Addr, h)
	if err != nil {
		return err
	}
	e.http = s
	e.startIncarnation()
	return nil
}

// startIncarnation begins a new incarnation with a new ID and writes its record.
func (e *Endpoint) startIncarnation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCount++
	e.id = fmt.Sprintf("%s-%d", e.cfg.ID, e.startCount)
	e.incarnation = max(e.incarnation+1, time.Now().UnixMilli())
	e.coldEnds = time.Now().Add(e.cfg.ColdTime)
	e.crashed, e.draining, e.rateLimit, e.leaving, e.shedUntil = false, false, "", false, time.Time{}
	e.putRecord()
}

func (e *Endpoint) putRecord() {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	record, err := json.Marshal(map[string]any{"service": e.cfg.Service, "address": e.cfg.AnnouncedAddr, "zone": e.cfg.Zone,
		"slots": e.cfg.Slots, "state": state, "cold_remaining_ms": e.coldRemaining().Milliseconds(), "born": e.incarnation})
	if err == nil { // strings and numbers always encode
		e.cfg.Store.Put("servers/"+e.id, record)
	}
}

func (e *Endpoint) coldRemaining() time.Duration { return max(0, time.Until(e.coldEnds)) }

// ID returns the ID of the current incarnation.
func (e *Endpoint) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// SetFaults replaces the fault probabilities; it affects requests that run later.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetRateLimit makes the endpoint name a rate limit, in requests a second, in its responses
// until it restarts; it names none if the value is empty. It doesn't keep to it itself.
func (e *Endpoint) SetRateLimit(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = value
}

// Leave makes the endpoint say in its responses that it leaves until it restarts. Its
// record in the store doesn't change.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Shed makes the endpoint reject all requests for some time and ask their senders for a
// pause until its end.
func (e *Endpoint) Shed(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedUntil = time.Now().Add(d)
}

// describe sets the headers in which the endpoint says something of itself. The caller
// holds mu.
func (e *Endpoint) describe(w http.ResponseWriter) {
	if e.rateLimit != "" {
		w.Header().Set("Server-Limit", e.rateLimit)
	}
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
		e.cfg.Ledger.recordLeaving(e.id)
	}
}

// Drain writes the state "draining" to the endpoint's record. The endpoint keeps
// serving requests.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.putRecord()
}

// Crash stops the endpoint abruptly; its record is removed after
// recordRemovalDelay. A rank's group loses the rank.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	e.crashed = true
	id, group := e.id, e.group
	e.mu.Unlock()
	e.http.Stop()
	time.AfterFunc(recordRemovalDelay, func() { e.cfg.Store.Remove("servers/" + id) })
	if group != nil {
		group.loseRank(e.rank)
	}
}

// Restart starts the endpoint again after Crash, with a new ID at the same address.
func (e *Endpoint) Restart() error {
	if err := e.http.Start(); err != nil {
		return err
	}
	e.startIncarnation()
	if e.group != nil {
		e.group.restoreRank(e.rank)
	}
	return nil
}

// Close stops the endpoint for good.
func (e *Endpoint) Close() { e.http.Close() }

// chance returns true with probability p.
func (e *Endpoint) chance(p float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < p
}

// admit records an arrival and waits for a slot. It returns false if the request
// does not get one: admit has rejected it, or the sender cancelled it.
func (e *Endpoint) admit(w http.ResponseWriter, r *http.Request) bool {
	source, _, _ := net.SplitHostPort(r.RemoteAddr) // the server sets a valid one
	e.mu.Lock()
	run := Run{RequestID: r.Header.Get("Request-Id"), EndpointID: e.id, Zone: e.cfg.Zone, Organisation: r.Header.Get("Tenant"), SourceIP: source, At: time.Now()}
	w.Header().Set("Request-Id", run.RequestID)
	target := r.Header.Get("Target-Instance")
	e.cfg.Ledger.recordArrival(Arrival{Run: run, Service: e.cfg.Service, Cold: e.coldRemaining() > 0, Draining: e.draining, Target: target})
	switch shed := time.Until(e.shedUntil); {
	case target != "" && target != e.id:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case shed > 0:
		e.describe(w)
		e.cfg.Ledger.recordPause(Pause{EndpointID: e.id, SourceIP: source, From: time.Now(), To: e.shedUntil})
		e.mu.Unlock()
		w.Header().Set("Retry-After", strconv.FormatFloat(shed.Seconds(), 'f', 3, 64))
		reject(w, "")
		return false
	case e.running+e.waiting >= (1+queueFactor)*e.cfg.Slots || e.rng.Float64() < e.faults.Reject:
		e.mu.Unlock()
		reject(w, "")
		return false
	}
	e.waiting++
	for e.running >= e.cfg.Slots {
		freed := e.slotFreed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			e.mu.Lock()
			e.waiting--
			e.mu.Unlock()
			return false
		}
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	e.mu.Unlock()
	e.cfg.Ledger.recordRun(run)
	return true
}

// reject responds that the request did not run. failedAt is the ID of the endpoint
// whose loss is the reason; empty for another reason.
func reject(w http.ResponseWriter, failedAt string) {
	w.Header().Set("Not-Executed", "1")
	if failedAt != "" {
		w.Header().Set("At-Server", failedAt)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	close(e.slotFreed)
	e.slotFreed = make(chan struct{})
}

// setHeaders sets the headers of responses that come from running a request.
func (e *Endpoint) setHeaders(w http.ResponseWriter, request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Request-Id", request)
	w.Header().Set("Response-Signature", "signed by "+e.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.cfg.Slots))
	e.describe(w)
}

// handleRequest runs a request and sends a response that is not a stream.
func (e *Endpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admit(w, r) {
		return
	}
	defer e.release()
	runTime := time.Duration((0.5 + rand.Float64()) * float64(e.cfg.MeanRunTime))
	select {
	case <-time.After(runTime):
	case <-r.Context().Done():
		return
	}
	f := e.currentFaults()
	id := r.Header.Get("Request-Id")
	switch {
	case e.chance(f.Hang):
		<-r.Context().Done()
		return
	case e.chance(f.WrongRequestID):
		id = "another-request"
	}
	body := ResponseBody(id)
	if e.chance(f.Fail) {
		e.setHeaders(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.setHeaders(w, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.chance(f.Truncate) {
		_, _ = io.WriteString(w, body[:len(body)/2]) // truncated on purpose; a write error does not matter
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // fails only if the sender disconnected
}

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(request string) string { return "answer to " + request + "\n" }

// EventCount returns the number of events in the stream that responds to a request.
func EventCount(request string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, request) // a hash never fails
	return minStreamEvents + int(h.Sum32()%streamEventRange)
}

// EventData returns the data of event n of a stream; events count from 1.
func EventData(request string, n int) string { return fmt.Sprintf("part %d for %s", n, request) }
