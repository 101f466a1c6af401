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
	// ServiceTime is the time of one call.
	ServiceTime time.Duration
	// Capacity is the number of calls served at once; further ones wait.
	// Default 8.
	Capacity int
	// Ledger counts the orders; nil for one of its own.
	Ledger *Ledger
}

const defaultCapacity = 8

// Order is the body of POST /orders.
type Order struct {
	OrderNumber string `json:"order"` // order number
	Kit         string `json:"kit"`
}

// Confirmation is the answer of POST /orders.
type Confirmation struct {
	OrderNumber string `json:"order"`
	Code        string `json:"confirmation"`
	RunCount    int    `json:"ran"` // runs of this order number so far
}

// Stock is the answer of GET /stock/KIT.
type Stock struct {
	Kit      string `json:"kit"`
	Quantity int    `json:"quantity"`
}

// ConfirmationCode returns the confirmation of an order number.
func ConfirmationCode(order string) string {
	return fmt.Sprintf("c-%016x", xxhash.Sum64String(order))
}

// QuantityOf returns the quantity in stock of a kit.
func QuantityOf(kit string) int {
	const quantities = 500
	return int(xxhash.Sum64String(kit) % quantities)
}

// Service is one plain service.
type Service struct {
	opt   Options
	http  *simhttp.Server
	slots chan struct{}

	mu       sync.Mutex
	thawed   *sync.Cond
	frozen   bool
	life     int // counts deaths; calls of an earlier life do not run
	lastWork time.Time
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
	s.thawed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock/{kit}", s.stock)
	mux.HandleFunc("POST /orders", s.order)
	h, err := simhttp.Listen(addr, mux)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.http = h
	return s, nil
}

// Addr returns the IP:port of the service.
func (s *Service) Addr() string { return s.http.Addr() }

// Ledger returns the ledger of the service.
func (s *Service) Ledger() *Ledger { return s.opt.Ledger }

// Close stops the service for good.
func (s *Service) Close() {
	s.endLife()
	s.http.Close()
}

// Kill drops every call and refuses connections until Restart. Calls that had
// not run yet never run.
func (s *Service) Kill() {
	s.endLife()
	s.http.Stop()
}

// Restart starts a dead service.
func (s *Service) Restart() error { return s.http.Start() }

// Freeze stops all progress; connections stay open.
func (s *Service) Freeze() { s.setFrozen(true) }

// Unfreeze ends Freeze.
func (s *Service) Unfreeze() { s.setFrozen(false) }

func (s *Service) setFrozen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = on
	s.thawed.Broadcast()
}

func (s *Service) endLife() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.frozen = false
	s.thawed.Broadcast()
}

// LastRequestTime returns when the service last got a call; zero if never.
func (s *Service) LastRequestTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWork
}

// begin notes a new call and returns the current life.
func (s *Service) begin() int {
	s.mu.Lock()
	s.lastWork = time.Now()
	s.mu.Unlock()
	return s.waitThawed()
}

// waitThawed blocks while the service is frozen and returns the current life.
func (s *Service) waitThawed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.frozen {
		s.thawed.Wait()
	}
	return s.life
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	life := s.begin()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.opt.ServiceTime)
	if s.waitThawed() != life {
		return // the connection is closed
	}
	kit := r.PathValue("kit")
	simhttp.WriteJSON(w, http.StatusOK, Stock{Kit: kit, Quantity: QuantityOf(kit)})
}

// order runs an order half way through the service time, so that a death can
// fall before or after the effect. It runs even if the caller has gone.
func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	life := s.begin()
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
	if s.waitThawed() != life {
		return // died before the order ran
	}
	ran := s.opt.Ledger.add(o.OrderNumber)
	time.Sleep(s.opt.ServiceTime / 2)
	if s.waitThawed() != life {
		return // died after the order ran; the connection is closed
	}
	simhttp.WriteJSON(w, http.StatusOK, Confirmation{OrderNumber: o.OrderNumber, Code: ConfirmationCode(o.OrderNumber), RunCount: ran})
}
