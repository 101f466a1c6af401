package order

import (
	"github.com/wasabinotch/wasabinotch/api"
)

// State is the state of one order in an agent's table.
type State int

// The states of an order. An identity that is not in the table is new.
const (
	StateQueued  State = iota // admitted by the table, not yet handed to the endpoint
	StateRunning              // handed to the endpoint, no whole answer yet
	StateDone                 // answered; the answer is recorded
	StateUnknown              // handed to the endpoint, answer lost
	StateRefused              // refused; it did not run and never will
)

// Response is the recorded first answer of an order.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// headerBytes is the memory of one header besides its name and values.
const headerBytes = 64

func (a *Response) size() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		n += headerBytes + len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Order is one identity in the table. The request that created it drives it
// through its states; requests with the same identity wait for Finished.
type Order struct {
	table       *Table
	id          Identity
	incarnation uint64
	fingerprint uint64
	started     chan struct{}
	finished    chan struct{}

	// The fields below are guarded by table.mu.
	state    State
	answer   *Response
	oversize bool // the answer is dropped with the last holder
	refusal  *api.Refusal
	reserved int // bytes counted in table.used
	holders  int // requests that have got the order from Begin
}

// Started is closed when the order has been handed to the endpoint or has ended.
func (o *Order) Started() <-chan struct{} { return o.started }

// Finished is closed when the order is done, unknown or closed.
func (o *Order) Finished() <-chan struct{} { return o.finished }

// Start moves a queued order to running. It returns false in any other state;
// the order must then not be handed to the endpoint.
func (o *Order) Start() bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateQueued {
		return false
	}
	o.state = StateRunning
	close(o.started)
	return true
}

// RecordResponse records the answer of a running order.
func (o *Order) RecordResponse(a Response) bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateRunning {
		return false
	}
	o.state = StateDone
	o.answer = &a
	o.table.settle(o)
	close(o.finished)
	return true
}

// RecordUnknown records that a running order has no known answer.
func (o *Order) RecordUnknown(reason string) bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateRunning {
		return false
	}
	o.state = StateUnknown
	o.refusal = api.Unknown(api.KindEndpointFailed, reason, "check with the service whether the order took effect; a new order needs a new identity")
	o.table.settle(o)
	close(o.finished)
	return true
}

// Refuse refuses the order for good. It is valid for a queued order, and for a
// running one only if the caller knows that no byte of it was handed over.
func (o *Order) Refuse(r *api.Refusal) bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	switch o.state {
	case StateQueued:
		close(o.started)
	case StateRunning:
	default:
		return false
	}
	o.state = StateRefused
	o.refusal = r
	o.table.settle(o)
	close(o.finished)
	return true
}

// Result returns the recorded answer, or the refusal to give instead. It must
// be called after Finished is closed.
func (o *Order) Result() (Response, *api.Refusal) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateDone {
		r := *o.refusal
		return Response{}, &r
	}
	if o.answer == nil {
		return Response{}, oversizeRefusal()
	}
	return *o.answer, nil
}

// Release gives the order back. Each order returned by Begin is released once.
func (o *Order) Release() {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	o.holders--
	if o.oversize && o.holders <= 0 {
		o.answer = nil
	}
}

func (o *Order) busy() bool {
	return o.state == StateQueued || o.state == StateRunning
}

func oversizeRefusal() *api.Refusal {
	r := api.Unknown(api.KindConflict, "the order ran, but its answer was too large to keep", "ask the service for the order's state")
	r.Outcome = api.OutcomeRan
	return r
}
