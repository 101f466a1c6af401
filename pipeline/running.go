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
	// cancelTimeout bounds the cancel call to an agent.
	cancelTimeout = 2 * time.Second
	// cancelGrace is the time that an agent has to end a cancelled request.
	cancelGrace = time.Second
)

// running holds the calls in progress by request ID.
type running struct {
	mu    sync.Mutex
	calls map[string][]*call
}

func newRunning() *running {
	return &running{calls: make(map[string][]*call)}
}

// add registers the call. A request ID that another organisation uses is
// refused, since it could otherwise cancel that request. A repeated ID gets
// another ID toward agents, so that the end of one attempt does not cancel
// the other.
func (r *running) add(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.calls[c.id]
	if len(same) > 0 && same[0].organisation != c.organisation {
		return false
	}
	attempt := c.r.Header.Get(api.HeaderAttempt)
	if len(same) > 0 || attempt != "" && attempt != "1" {
		c.wireID = c.id + "." + uuid.NewString()[:8]
	}
	r.calls[c.id] = append(same, c)
	return true
}

func (r *running) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := slices.DeleteFunc(r.calls[c.id], func(o *call) bool { return o == c })
	if len(rest) == 0 {
		delete(r.calls, c.id)
		return
	}
	r.calls[c.id] = rest
}

func (r *running) find(id, organisation string) []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.calls[id]
	if len(same) == 0 || same[0].organisation != organisation {
		return nil
	}
	return slices.Clone(same)
}

// serveCancel answers DELETE /v1/requests/{id}.
func (p *Pipeline) serveCancel(w http.ResponseWriter, r *http.Request, snap *control.Snapshot) {
	id := strings.TrimPrefix(r.URL.Path, api.PathRequests)
	if validID.MatchString(id) {
		w.Header().Set(api.HeaderRequestID, id)
	}
	organisation, f := authenticate(snap, r.Header)
	if f == nil && r.Method != http.MethodDelete {
		f = own(api.KindBadRequest, "method is "+r.Method, "use DELETE")
	}
	if f != nil {
		f.refusal.WriteHTTP(w)
		return
	}
	found := p.running.find(id, organisation)
	if len(found) == 0 {
		own(api.KindConflict, "no such request is running here", "cancel at the entry that runs the request").refusal.WriteHTTP(w)
		return
	}
	for _, c := range found {
		p.cancelCall(c)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"request_id": id, "cancelled": true})
}

// cancelCall asks the agent to stop the call. An order is never cut off here:
// only its agent knows whether it still can be stopped.
func (p *Pipeline) cancelCall(c *call) {
	c.cancelled.Store(true)
	p.decide(c, "cancelled by the caller")
	if addr := c.agentAddr.Load(); addr != nil {
		go p.cancelAtAgent(*addr, c.wireID)
	}
	if !c.order {
		time.AfterFunc(cancelGrace, func() { c.cancel(errCancelled) })
	}
}

// cancelAtAgent frees the endpoint from a request whose answer nobody awaits.
func (p *Pipeline) cancelAtAgent(addr, wireID string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	body, err := json.Marshal(wire.CancelRequest{RequestID: wireID})
	if err != nil {
		return
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathCancel, bytes.NewReader(body))
	if err != nil {
		return
	}
	rq.Header.Set("Authorization", "Bearer "+p.ExecuteToken)
	rq.Header.Set("Content-Type", "application/json")
	answer, err := p.client.Do(rq)
	if err != nil {
		p.Log.Info("cancel did not reach the agent", "request", wireID, "agent", addr, "reason", err.Error())
		return
	}
	_ = answer.Body.Close()
}
