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

// Engine is one model engine.
type Engine struct {
	opt  Options
	http *simhttp.Server
	done chan struct{}

	mu        sync.Mutex
	wake      *sync.Cond // signals the batch loop
	bootID    string
	dead      bool
	frozen    bool
	closed    bool
	warmth    float64 // capacity gained above ColdCapacity
	graceEnd  time.Time
	running   []*request
	waiting   []*request
	tokens    int64
	cache     *prefixCache
	log       loadLog
	runs      []Run
	crashes   []Crash
	overload  int
	lastWork  time.Time
	restarter *time.Timer
}

// Run is one execution of a request.
type Run struct {
	RequestID   string    `json:"request_id"`
	ResumeFrom  int       `json:"resume_from"`
	Incarnation string    `json:"boot_id"`
	StartedAt   time.Time `json:"at"`
	// ReceivedAt is when the request reached the engine; it may then have waited.
	ReceivedAt time.Time `json:"handed"`
}

// Crash is one crash by overload.
type Crash struct {
	At          time.Time `json:"at"`
	Incarnation string    `json:"boot_id"`
	Requests    int       `json:"requests"` // given to the engine, including the one too many
	Capacity    int       `json:"capacity"` // sustained at that time
}

// Record is what an engine has seen since it was created.
type Record struct {
	Runs    []Run   `json:"runs"`
	Crashes []Crash `json:"crashes"`
	// MaxOverload is the highest number of requests beyond the capacity while the
	// engine was not warm.
	MaxOverload int `json:"overload"`
}

// Listen starts a cold engine on addr (IP:port).
func Listen(addr string, opt Options) (*Engine, error) {
	e := &Engine{opt: opt.withDefaults(), done: make(chan struct{})}
	e.wake = sync.NewCond(&e.mu)
	e.boot()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /cancel", e.cancel)
	// Requests may arrive before Listen returns; they wait for mu.
	e.mu.Lock()
	defer e.mu.Unlock()
	h, err := simhttp.Listen(addr, mux)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e.http = h
	go e.batch()
	return e, nil
}

// Addr returns the IP:port of the engine.
func (e *Engine) Addr() string { return e.http.Addr() }

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopRestarter()
	e.dropAll()
	e.wake.Broadcast()
	e.mu.Unlock()
	e.http.Close()
	<-e.done
}

// Record returns what the engine has seen.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs:        append([]Run{}, e.runs...),
		Crashes:     append([]Crash{}, e.crashes...),
		MaxOverload: e.overload,
	}
}

// LastRequestTime returns when the engine last got new work; zero if never.
func (e *Engine) LastRequestTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastWork
}

// boot resets the state to that of a cold start.
func (e *Engine) boot() {
	e.bootID = uuid.NewString()
	e.warmth = 0
	e.tokens = 0
	e.dead = false
	e.cache = newPrefixCache(e.opt.PrefixCacheBytes)
	e.log = loadLog{}
	e.record()
}

// capacity returns the number of requests that the engine sustains now. The
// caller holds mu.
func (e *Engine) capacity() int {
	return min(e.opt.ColdCapacity+int(math.Floor(e.warmth)), e.opt.WarmCapacity)
}

func (e *Engine) cold() bool { return e.capacity() < e.opt.WarmCapacity }

// slowdown returns the factor on all times. The caller holds mu.
func (e *Engine) slowdown() float64 {
	span := float64(e.opt.WarmCapacity - e.opt.ColdCapacity)
	if span <= 0 {
		return 1
	}
	missing := 1 - min(e.warmth/span, 1)
	return 1 + (e.opt.ColdSlowdown-1)*missing
}

// dropAll ends every request without an answer. The caller holds mu.
func (e *Engine) dropAll() {
	for _, r := range append(e.running, e.waiting...) {
		r.drop()
	}
	e.running, e.waiting = nil, nil
}
