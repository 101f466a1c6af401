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

// EndpointConfig configures an endpoint.
type EndpointConfig struct {
	ID, Service, Zone string
	// Addr is where the endpoint listens, AnnouncedAddr what it writes in the store.
	Addr, AnnouncedAddr string
	Slots               int
	// MeanRunTime is the usual time of a run.
	MeanRunTime time.Duration
	// ColdTime is how long the endpoint bears little load after a start.
	ColdTime time.Duration
	Store    *Store
	Ledger   *Ledger
	Seed     uint64
}

const (
	// queueFactor times the slots may wait at an endpoint.
	queueFactor = 2
	// recordDelay is when the record of an endpoint that died leaves the store.
	recordDelay = 800 * time.Millisecond
	// streamBase and streamSpread give the number of events of a stream.
	streamBase, streamSpread = 4, 14
)

// Endpoint is a stand-in for an endpoint. Answers follow from the request's ID,
// so that a caller can check them.
type Endpoint struct {
	cfg  EndpointConfig
	http *simhttp.Server

	mu       sync.Mutex
	rng      *rand.Rand
	id       string
	starts   int
	born     int64
	coldEnds time.Time
	running  int
	waiting  int
	draining bool
	dead     bool
	faults   Faults
	// model is set for a rank of a group.
	model *Group
	rank  int
	// freed is closed and replaced as a slot gets free.
	freed chan struct{}
}

// Faults are the probabilities of what an endpoint does wrong, per request.
type Faults struct {
	// Hang never answers, Truncate breaks an answer off, Fail answers 500, WrongRequestID
	// answers with another request's ID, and Reject turns the request away.
	Hang, Truncate, Fail, WrongRequestID, Reject float64
}

// StartEndpoint starts an endpoint and writes its record.
func StartEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	e := newEndpoint(cfg)
	return e, e.listen(http.HandlerFunc(e.serve))
}

func newEndpoint(cfg EndpointConfig) *Endpoint {
	return &Endpoint{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), freed: make(chan struct{})}
}

func (e *Endpoint) listen(h http.Handler) error {
	s, err := simhttp.Listen(e.cfg.Addr, h)
	if err != nil {
		return err
	}
	e.http = s
	e.begin()
	return nil
}

// begin makes a new incarnation with an ID of its own.
func (e *Endpoint) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("%s-%d", e.cfg.ID, e.starts)
	e.born = time.Now().UnixMicro()
	e.coldEnds = time.Now().Add(e.cfg.ColdTime)
	e.dead, e.draining = false, false
	e.write()
}

func (e *Endpoint) write() {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	record, err := json.Marshal(map[string]any{"service": e.cfg.Service, "address": e.cfg.AnnouncedAddr, "zone": e.cfg.Zone,
		"slots": e.cfg.Slots, "state": state, "cold_remaining_ms": e.cold().Milliseconds(), "born": e.born})
	if err == nil { // strings and numbers always encode
		e.cfg.Store.Put("servers/"+e.id, record)
	}
}

func (e *Endpoint) cold() time.Duration { return max(0, time.Until(e.coldEnds)) }

// ID returns the ID of the present incarnation.
func (e *Endpoint) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// SetFaults sets what goes wrong from now on.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Drain announces that the endpoint leaves; it still serves.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.write()
}

// Crash ends the endpoint; its record lapses later.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	e.dead = true
	id, model := e.id, e.model
	e.mu.Unlock()
	e.http.Stop()
	time.AfterFunc(recordDelay, func() { e.cfg.Store.Remove("servers/" + id) })
	if model != nil {
		model.lose(e.rank)
	}
}

// Restart brings the endpoint up again, under a new ID at the same address.
func (e *Endpoint) Restart() error {
	if err := e.http.Start(); err != nil {
		return err
	}
	e.begin()
	if e.model != nil {
		e.model.regain(e.rank)
	}
	return nil
}

// Close stops the endpoint for good.
func (e *Endpoint) Close() { e.http.Close() }

func (e *Endpoint) chance(p float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < p
}

// admit notes an arrival and takes a slot. It returns false if the request was
// answered already.
func (e *Endpoint) admit(w http.ResponseWriter, r *http.Request) bool {
	source, _, _ := net.SplitHostPort(r.RemoteAddr) // the server sets a valid one
	e.mu.Lock()
	run := Run{RequestID: r.Header.Get("Request-Id"), EndpointID: e.id, Zone: e.cfg.Zone, Organisation: r.Header.Get("Tenant"), SourceIP: source, At: time.Now()}
	target := r.Header.Get("Target-Instance")
	e.cfg.Ledger.arrive(Arrival{Run: run, Service: e.cfg.Service, Cold: e.cold() > 0, Draining: e.draining, Target: target})
	switch {
	case target != "" && target != e.id:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case e.running+e.waiting >= (1+queueFactor)*e.cfg.Slots || e.rng.Float64() < e.faults.Reject:
		e.mu.Unlock()
		reject(w, "")
		return false
	}
	e.waiting++
	for e.running >= e.cfg.Slots {
		freed := e.freed
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
	e.cfg.Ledger.run(run)
	return true
}

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
	close(e.freed)
	e.freed = make(chan struct{})
}

// header sets the headers of the endpoint's own answers.
func (e *Endpoint) header(w http.ResponseWriter, request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Request-Id", request)
	w.Header().Set("Response-Signature", "signed by "+e.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.cfg.Slots))
}

// serve answers requests that aren't streams.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admit(w, r) {
		return
	}
	defer e.release()
	work := time.Duration((0.5 + rand.Float64()) * float64(e.cfg.MeanRunTime))
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	f := e.wrong()
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
		e.header(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.header(w, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.chance(f.Truncate) {
		_, _ = io.WriteString(w, body[:len(body)/2]) // cut on purpose
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // the sender is gone if this fails
}

func (e *Endpoint) wrong() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ResponseBody is the body of the answer to a request.
func ResponseBody(request string) string { return "answer to " + request + "\n" }

// EventCount returns the number of events in the stream that answers a request.
func EventCount(request string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, request) // a hash never fails
	return streamBase + int(h.Sum32()%streamSpread)
}

// EventData is the data of one event of a stream.
func EventData(request string, n int) string { return fmt.Sprintf("part %d for %s", n, request) }
