package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// cancelTimeout bounds a cancel request to an agent.
	cancelTimeout = 2 * time.Second
	// cancelGrace is the time that an agent has to end a cancelled request.
	// After it, this entry ends the call, unless it is an order.
	cancelGrace = time.Second
)

// runningCalls holds the calls in progress by request ID. It is safe for
// concurrent use.
type runningCalls struct {
	mu    sync.Mutex
	calls map[string][]*call
	// recent and older hold the request IDs that were used recently.
	recent, older map[string]struct{}
}

// maxRecentIDs bounds each set of used request IDs. At 50 requests/s an ID is
// remembered for 10 minutes, which is also how long an agent remembers that it
// refused a request ID.
const maxRecentIDs = 30_000

func newRunningCalls() *runningCalls {
	return &runningCalls{calls: make(map[string][]*call), recent: make(map[string]struct{})}
}

// markUsed records the ID and reports whether it was used recently. r.mu must
// be held.
func (r *runningCalls) markUsed(id string) bool {
	_, inRecent := r.recent[id]
	_, inOlder := r.older[id]
	if len(r.recent) >= maxRecentIDs {
		r.recent, r.older = make(map[string]struct{}), r.recent
	}
	r.recent[id] = struct{}{}
	return inRecent || inOlder
}

// add registers the call. It returns false if another organisation uses the
// request ID, since the call's organisation could otherwise cancel that
// request. If the ID was used before, agents get a different one: an agent that
// refused a request also refuses later ones with the same ID and no higher
// attempt, and cancelling an ended attempt by its ID must not stop another one.
func (r *runningCalls) add(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.calls[c.id]
	if len(same) > 0 && same[0].organisation != c.organisation {
		return false
	}
	attempt := c.r.Header.Get(api.HeaderAttempt)
	if r.markUsed(c.id) || attempt != "" && attempt != "1" {
		c.wireID = c.id + "." + uuid.NewString()[:8]
	}
	r.calls[c.id] = append(same, c)
	return true
}

func (r *runningCalls) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := slices.DeleteFunc(r.calls[c.id], func(o *call) bool { return o == c })
	if len(rest) == 0 {
		delete(r.calls, c.id)
		return
	}
	r.calls[c.id] = rest
}

func (r *runningCalls) find(id, organisation string) []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.calls[id]
	if len(same) == 0 || same[0].organisation != organisation {
		return nil
	}
	return slices.Clone(same)
}

// serveCancel handles DELETE /v1/requests/{id}.
func (p *Pipeline) serveCancel(w http.ResponseWriter, r *http.Request, snap *control.Snapshot) {
	id := strings.TrimPrefix(r.URL.Path, api.PathRequests)
	if validID.MatchString(id) {
		w.Header().Set(api.HeaderRequestID, id)
	}
	organisation, f := authenticate(snap, r.Header)
	if f == nil && r.Method != http.MethodDelete {
		f = notStarted(api.KindBadRequest, "method is "+r.Method, "use DELETE")
	}
	if f != nil {
		f.refusal.WriteHTTP(w)
		return
	}
	found := p.running.find(id, organisation)
	if len(found) == 0 {
		notStarted(api.KindConflict, "no such request is running here", "cancel at the entry that runs the request").refusal.WriteHTTP(w)
		return
	}
	for _, c := range found {
		p.cancelCall(c)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"request_id": id, "cancelled": true})
}

// cancelCall asks the agent to stop the call. It does not end an order in this
// entry, since only the agent knows whether the order can still be stopped.
func (p *Pipeline) cancelCall(c *call) {
	c.cancelRequested.Store(true)
	p.recordDecision(c, "Cancelled by the caller.")
	if addr := c.agentAddr.Load(); addr != nil {
		go p.cancelAtAgent(*addr, c.wireID)
	}
	if !c.isOrder {
		time.AfterFunc(cancelGrace, func() { c.cancel(errCancelled) })
	}
}

// cancelAtAgent cancels a request whose response nobody awaits, which frees the
// endpoint.
func (p *Pipeline) cancelAtAgent(addr, wireID string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	body, err := json.Marshal(wire.CancelRequest{RequestID: wireID})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathCancel, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+p.ExecuteToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		p.Log.Info("Cancel request did not reach the agent.", "request", wireID, "agent", addr, "reason", err.Error())
		return
	}
	_ = resp.Body.Close()
}
