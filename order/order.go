package order

import (
	"github.com/wasabinotch/wasabinotch/api"
)

// State is the state of one order in an agent's table.
type State int

// The states of an order. An identity without a record in the table is new.
const (
	StateQueued  State = iota // recorded in the table, not yet sent to the endpoint
	StateRunning              // sent to the endpoint, no complete response yet
	StateDone                 // the response is recorded
	StateUnknown              // sent to the endpoint, response lost
	StateRefused              // refused; it did not run and never will
)

// Response is the first response of the endpoint to an order, recorded for retries.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// headerOverheadBytes is the memory of one header in addition to its name and
// values.
const headerOverheadBytes = 64

func (r *Response) size() int {
	n := len(r.Body)
	for k, vs := range r.Header {
		n += headerOverheadBytes + len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Order is the record of one identity in a Table. The request that created it
// performs its state transitions; requests with the same identity wait for Finished.
type Order struct {
	table       *Table
	id          Identity
	incarnation uint64
	fingerprint uint64
	started     chan struct{}
	finished    chan struct{}

	// The fields below are guarded by table.mu.
	state         State
	response      *Response
	oversize      bool // the response is too large to keep; removed when the last holder releases the order
	refusal       *api.Refusal
	reservedBytes int // part of table.usedBytes
	holders       int // calls of Begin that returned the order and have not released it
}

// Started is closed when the order has been sent to the endpoint or has ended.
func (o *Order) Started() <-chan struct{} { return o.started }

// Finished is closed when the order is done, unknown or refused.
func (o *Order) Finished() <-chan struct{} { return o.finished }

// Start moves a queued order to running. It returns false in any other state; the
// order must then not be sent to the endpoint.
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

// RecordResponse records the response to a running order. It returns false in any
// other state.
func (o *Order) RecordResponse(r Response) bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateRunning {
		return false
	}
	o.state = StateDone
	o.response = &r
	o.table.releaseReservation(o)
	close(o.finished)
	return true
}

// RecordUnknown records that the outcome of a running order is unknown, because its
// response was lost. It returns false in any other state.
func (o *Order) RecordUnknown(reason string) bool {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateRunning {
		return false
	}
	o.state = StateUnknown
	o.refusal = api.Unknown(api.KindEndpointFailed, reason, "check with the service whether the order took effect; a new order needs a new identity")
	o.table.releaseReservation(o)
	close(o.finished)
	return true
}

// Refuse ends the order permanently as not run. It is valid for a queued order, and
// for a running one only if the caller knows that no byte of it was sent to the
// endpoint. It returns false in any other state.
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
	o.table.releaseReservation(o)
	close(o.finished)
	return true
}

// Result returns the recorded response, or the refusal to send instead. It must be
// called after Finished is closed.
func (o *Order) Result() (Response, *api.Refusal) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.state != StateDone {
		r := *o.refusal
		return Response{}, &r
	}
	if o.response == nil {
		return Response{}, oversizeRefusal()
	}
	return *o.response, nil
}

// Release ends one use of the order. It is called once for each order that Begin
// returns.
func (o *Order) Release() {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	o.holders--
	if o.oversize && o.holders <= 0 {
		o.response = nil
	}
}

func (o *Order) isActive() bool {
	return o.state == StateQueued || o.state == StateRunning
}

func oversizeRefusal() *api.Refusal {
	r := api.Unknown(api.KindConflict, "the order ran, but its answer was too large to keep", "ask the service for the order's state")
	r.Outcome = api.OutcomeRan
	return r
}
