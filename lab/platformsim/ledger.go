package platformsim

import (
	"sync"
	"time"
)

// Run is one run of a request at an endpoint.
type Run struct {
	RequestID, EndpointID, Zone string
	// Organisation is the one that the entry named.
	Organisation string
	// SourceIP is the IP number of the sender.
	SourceIP string
	At       time.Time
}

// Arrival is a request that reached an endpoint, run or not.
type Arrival struct {
	Run
	Service string
	// Cold and Draining say what the endpoint had told of itself.
	Cold, Draining bool
	// ID is the endpoint that the sender meant.
	Target string
}

// Ledger notes what endpoints got and ran. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	arrivals []Arrival
	runs     map[string][]Run
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string][]Run)} }

func (l *Ledger) arrive(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *Ledger) run(r Run) {
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

// Arrivals returns all arrivals in order of time.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}
