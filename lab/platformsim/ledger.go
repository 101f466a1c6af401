package platformsim

import (
	"maps"
	"sync"
	"time"
)

// Run is one execution of a request by an endpoint.
type Run struct {
	RequestID, EndpointID, Zone string
	// Organisation is the organisation that the entry named in the request's Tenant
	// header.
	Organisation string
	// SourceIP is the IP address of the sender.
	SourceIP string
	At       time.Time
}

// Arrival is a request that reached an endpoint, whether or not it ran.
type Arrival struct {
	Run
	Service string
	// Cold and Draining are the state that the endpoint had announced.
	Cold, Draining bool
	// Target is the ID of the endpoint in the request's Target-Instance header;
	// empty without one.
	Target string
}

// Pause is the time for which an endpoint asked the sender of a request for no more.
type Pause struct {
	EndpointID, SourceIP string
	From, To             time.Time
}

// Ledger records the requests that endpoints received and ran. It is safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	arrivals []Arrival
	runs     map[string][]Run
	pauses   []Pause
	// leftSince holds when an endpoint first said in a response that it leaves, by ID.
	leftSince map[string]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string][]Run), leftSince: make(map[string]time.Time)}
}

func (l *Ledger) recordArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *Ledger) recordRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.RequestID] = append(l.runs[r.RequestID], r)
}

// Runs returns the runs of a request.
func (l *Ledger) Runs(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[request]...)
}

// Arrivals returns all arrivals in the order in which they were recorded.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

func (l *Ledger) recordPause(p Pause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses = append(l.pauses, p)
}

// Pauses returns the pauses that endpoints asked for.
func (l *Ledger) Pauses() []Pause {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Pause(nil), l.pauses...)
}

func (l *Ledger) recordLeaving(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.leftSince[endpoint]; !ok {
		l.leftSince[endpoint] = time.Now()
	}
}

// LeftSince returns when endpoints first said in a response that they leave, by ID.
func (l *Ledger) LeftSince() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.leftSince)
}
