package enginesim

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Engine is one simulated model engine.
type Engine struct {
	opt       Options
	server    *simhttp.Server
	batchDone chan struct{}

	mu              sync.Mutex
	stateChanged    *sync.Cond // wakes the batch loop and the handlers that wait while frozen
	incarnation     string
	down            bool
	frozen          bool
	closed          bool
	capacityGain    float64 // requests added to ColdCapacity by warming up
	coldGraceEnd    time.Time
	running         []*request
	waiting         []*request
	tokens          int64
	cache           *prefixCache
	loadHistory     loadHistory
	runs            []Run
	crashes         []Crash
	maxOverload     int
	lastRequestTime time.Time
	restartTimer    *time.Timer
}

// Run is one execution of a request in the batch.
type Run struct {
	RequestID   string    `json:"request_id"`
	ResumeFrom  int       `json:"resume_from"`
	Incarnation string    `json:"boot_id"`
	StartedAt   time.Time `json:"at"`
	// ReceivedAt is when the request reached the engine; it may have waited in the
	// queue until StartedAt.
	ReceivedAt time.Time `json:"handed"`
}

// Crash is one crash caused by overload.
type Crash struct {
	At          time.Time `json:"at"`
	Incarnation string    `json:"boot_id"`
	Requests    int       `json:"requests"` // running and waiting, including the one that caused the crash
	Capacity    int       `json:"capacity"` // concurrent requests that the engine sustained at that time
}

// Record lists the executions and crashes since the engine was created, across
// all its incarnations.
type Record struct {
	Runs    []Run   `json:"runs"`
	Crashes []Crash `json:"crashes"`
	// MaxOverload is the highest number of requests beyond the capacity of the
	// engine while it was cold. Requests during the grace period of TurnCold are
	// not included.
	MaxOverload int `json:"overload"`
}

// Listen starts a cold engine on addr (IP:port).
func Listen(addr string, opt Options) (*Engine, error) {
	e := &Engine{opt: opt.withDefaults(), batchDone: make(chan struct{})}
	e.stateChanged = sync.NewCond(&e.mu)
	e.resetToColdStart()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletions)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /cancel", e.handleCancel)
	// Requests may arrive before Listen returns; they block on mu.
	e.mu.Lock()
	defer e.mu.Unlock()
	h, err := simhttp.Listen(addr, mux)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e.server = h
	go e.runBatch()
	return e, nil
}

// Addr returns the IP:port of the engine.
func (e *Engine) Addr() string { return e.server.Addr() }

// Close stops the engine; Restart has no effect afterwards.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopRestartTimer()
	e.abortAll()
	e.stateChanged.Broadcast()
	e.mu.Unlock()
	e.server.Close()
	<-e.batchDone
}

// Record returns a copy of the record of executions and crashes.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs:        append([]Run{}, e.runs...),
		Crashes:     append([]Crash{}, e.crashes...),
		MaxOverload: e.maxOverload,
	}
}

// LastRequestTime returns when the engine last received a completion request;
// zero if never.
func (e *Engine) LastRequestTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRequestTime
}

// resetToColdStart resets the state to that of a cold start with a new
// incarnation.
func (e *Engine) resetToColdStart() {
	e.incarnation = uuid.NewString()
	e.capacityGain = 0
	e.tokens = 0
	e.down = false
	e.cache = newPrefixCache(e.opt.PrefixCacheBytes)
	e.loadHistory = loadHistory{}
	e.recordLoad()
}

// capacity returns the number of concurrent requests that the engine sustains
// now. The caller holds mu.
func (e *Engine) capacity() int {
	return min(e.opt.ColdCapacity+int(math.Floor(e.capacityGain)), e.opt.WarmCapacity)
}

func (e *Engine) isCold() bool { return e.capacity() < e.opt.WarmCapacity }

// slowdown returns the factor on step and prefill times; 1 if the engine is
// warm. The caller holds mu.
func (e *Engine) slowdown() float64 {
	span := float64(e.opt.WarmCapacity - e.opt.ColdCapacity)
	if span <= 0 {
		return 1
	}
	coldFraction := 1 - min(e.capacityGain/span, 1)
	return 1 + (e.opt.ColdSlowdown-1)*coldFraction
}

// abortAll ends every request without a response. The caller holds mu.
func (e *Engine) abortAll() {
	for _, r := range append(e.running, e.waiting...) {
		r.abort()
	}
	e.running, e.waiting = nil, nil
}
