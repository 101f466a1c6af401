package ordersim

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Options describe a service.
type Options struct {
	// ServiceTime is the duration of one call.
	ServiceTime time.Duration
	// Capacity is the number of concurrent calls; further ones wait. Default 8.
	Capacity int
	// Ledger counts the runs of orders; nil for a new one.
	Ledger *Ledger
}

const defaultCapacity = 8

// Order is the body of POST /orders.
type Order struct {
	OrderNumber string `json:"order"`
	Kit         string `json:"kit"`
}

// Confirmation is the response of POST /orders.
type Confirmation struct {
	OrderNumber string `json:"order"`
	Code        string `json:"confirmation"`
	RunCount    int    `json:"ran"` // runs of this order number so far, including this one
}

// Stock is the response of GET /stock/KIT.
type Stock struct {
	Kit      string `json:"kit"`
	Quantity int    `json:"quantity"`
}

// ConfirmationCode returns the confirmation code of an order number.
func ConfirmationCode(order string) string {
	return fmt.Sprintf("c-%016x", xxhash.Sum64String(order))
}

// QuantityOf returns the quantity in stock of a kit.
func QuantityOf(kit string) int {
	const quantities = 500
	return int(xxhash.Sum64String(kit) % quantities)
}

// Service is one endpoint of the simulated plain service.
type Service struct {
	opt    Options
	server *simhttp.Server
	slots  chan struct{}

	mu              sync.Mutex
	unfrozen        *sync.Cond
	frozen          bool
	incarnation     int // number of times the service was killed or closed; calls of an earlier incarnation do not run
	lastRequestTime time.Time
}

// Listen starts a service on addr (IP:port).
func Listen(addr string, opt Options) (*Service, error) {
	if opt.Capacity == 0 {
		opt.Capacity = defaultCapacity
	}
	if opt.Ledger == nil {
		opt.Ledger = NewLedger()
	}
	s := &Service{opt: opt, slots: make(chan struct{}, opt.Capacity)}
	s.unfrozen = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock/{kit}", s.handleStock)
	mux.HandleFunc("POST /orders", s.handleOrder)
	h, err := simhttp.Listen(addr, mux)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.server = h
	return s, nil
}

// Addr returns the IP:port of the service.
func (s *Service) Addr() string { return s.server.Addr() }

func (s *Service) Ledger() *Ledger { return s.opt.Ledger }

// Close stops the service; Restart has no effect afterwards.
func (s *Service) Close() {
	s.endIncarnation()
	s.server.Close()
}

// Kill simulates a killed process: it closes every connection and refuses new
// ones until Restart. Calls that had not run yet never run.
func (s *Service) Kill() {
	s.endIncarnation()
	s.server.Stop()
}

// Restart starts the service after Kill.
func (s *Service) Restart() error { return s.server.Start() }

// Freeze stops all progress; connections stay open.
func (s *Service) Freeze() { s.setFrozen(true) }

// Unfreeze ends Freeze.
func (s *Service) Unfreeze() { s.setFrozen(false) }

func (s *Service) setFrozen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = on
	s.unfrozen.Broadcast()
}

func (s *Service) endIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.frozen = false
	s.unfrozen.Broadcast()
}

// LastRequestTime returns when the service last received a call; zero if
// never.
func (s *Service) LastRequestTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequestTime
}

// beginCall records the arrival of a call and returns the current incarnation,
// after waiting while the service is frozen.
func (s *Service) beginCall() int {
	s.mu.Lock()
	s.lastRequestTime = time.Now()
	s.mu.Unlock()
	return s.waitWhileFrozen()
}

// waitWhileFrozen blocks while the service is frozen and returns the current
// incarnation.
func (s *Service) waitWhileFrozen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.frozen {
		s.unfrozen.Wait()
	}
	return s.incarnation
}

func (s *Service) handleStock(w http.ResponseWriter, r *http.Request) {
	incarnation := s.beginCall()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.opt.ServiceTime)
	if s.waitWhileFrozen() != incarnation {
		return // killed; the connection is closed
	}
	kit := r.PathValue("kit")
	simhttp.WriteJSON(w, http.StatusOK, Stock{Kit: kit, Quantity: QuantityOf(kit)})
}

// handleOrder runs the order halfway through the service time, so that a kill
// can fall before or after its effect. The order runs even if the client has
// disconnected.
func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	incarnation := s.beginCall()
	var o Order
	if !simhttp.ReadJSON(w, r, &o) {
		return
	}
	if o.OrderNumber == "" {
		http.Error(w, "order is missing", http.StatusBadRequest)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.opt.ServiceTime / 2)
	if s.waitWhileFrozen() != incarnation {
		return // killed before the order ran
	}
	runCount := s.opt.Ledger.recordRun(o.OrderNumber)
	time.Sleep(s.opt.ServiceTime / 2)
	if s.waitWhileFrozen() != incarnation {
		return // killed after the order ran; the connection is closed
	}
	simhttp.WriteJSON(w, http.StatusOK, Confirmation{OrderNumber: o.OrderNumber, Code: ConfirmationCode(o.OrderNumber), RunCount: runCount})
}
