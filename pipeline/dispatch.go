package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// silentLimit is the time without frames and reports after which an
	// attempt is given up. It exceeds the liveness time of 2 s, so that one
	// late report does not cut a stream.
	silentLimit = 3 * time.Second
	// watchInterval is the time between two checks for silence.
	watchInterval = 500 * time.Millisecond
	// deadlineMargin is the time by which an agent's deadline is shorter, so
	// that its refusal of a request that waited too long arrives in time to
	// be reported as not run.
	deadlineMargin = 100 * time.Millisecond
	// maxErrorBytes bounds an agent's answer that carries no frames.
	maxErrorBytes = 64 << 10
)

var errSilent = errors.New("the agent is silent")

const remedyRetry = "send the request again"

// dispatch hands the call over to the agent of the chosen endpoint.
func (p *Pipeline) dispatch(next handler) handler {
	return func(c *call) *failure {
		if f := p.checkHandOver(c); f != nil {
			return f
		}
		ctx, stop := context.WithCancelCause(c.ctx)
		defer stop(nil)
		defer p.watch(c, stop)()
		sent := &atomic.Bool{}
		rq, err := p.newExecute(ctx, c, sent)
		if err != nil {
			return own(api.KindInternal, err.Error(), remedyRetry)
		}
		addr := c.pick.Endpoint.Node.HTTPAddr
		c.agentAddr.Store(&addr)
		answer, err := p.client.Do(rq)
		if err != nil {
			return p.abandon(c, c.sendFailure(ctx, err, sent.Load()))
		}
		defer func() { _ = answer.Body.Close() }()
		if answer.StatusCode != http.StatusOK {
			return p.abandon(c, plainRefusal(answer))
		}
		c.frames = newDecoder(answer.Body, c.wireID, c.attempt)
		c.attemptCtx = ctx
		return p.abandon(c, next(c))
	}
}

// checkHandOver makes the checks that hold at the moment of hand-over: a
// process that was frozen must not act on its old view.
func (p *Pipeline) checkHandOver(c *call) *failure {
	if c.ctx.Err() != nil {
		return c.ended()
	}
	if c.cancelled.Load() && !c.maybeRan {
		return own(api.KindCancelled, errCancelled.Error(), remedyRetry)
	}
	if !p.View.Snapshot().Confirmed(p.Clock.Now()) {
		return unconfirmed()
	}
	return nil
}

// newExecute returns the HTTP request of one attempt. It carries no
// Idempotency-Key header, so that Go's HTTP client does not repeat it by
// itself. sent is set once a connection exists on which bytes may be written.
func (p *Pipeline) newExecute(ctx context.Context, c *call, sent *atomic.Bool) (*http.Request, error) {
	body, err := json.Marshal(p.envelope(c))
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.pick.Endpoint.Node.HTTPAddr+wire.PathExecute, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Authorization", "Bearer "+p.ExecuteToken)
	rq.Header.Set("Content-Type", "application/json")
	return rq, nil
}

func (p *Pipeline) envelope(c *call) *wire.ExecuteRequest {
	rq := &wire.ExecuteRequest{
		RequestID:         c.wireID,
		Attempt:           c.attempt,
		EntryID:           p.EntryID,
		Organisation:      c.organisation,
		Service:           c.service.Name,
		Priority:          c.priority,
		Cost:              c.cost,
		NonIdempotent:     c.order,
		Identity:          c.identity.Raw,
		ExpectIncarnation: c.expect,
		Call:              c.plain,
	}
	if deadline, ok := c.ctx.Deadline(); ok {
		left := time.Until(deadline)
		rq.DeadlineMS = max(1, max(left/2, left-deadlineMargin).Milliseconds())
	}
	if c.generate != nil {
		g := *c.generate
		g.ResumeFrom = c.stream.position
		g.Prefix = c.stream.text.String()
		rq.Generate = &g
	}
	return rq
}

// sendFailure is the failure of an attempt without an HTTP answer.
func (c *call) sendFailure(ctx context.Context, err error, sent bool) *failure {
	if !sent {
		if c.ctx.Err() != nil {
			return c.ended()
		}
		return own(api.KindEndpointFailed, "no connection to the agent: "+err.Error(), remedyRetry)
	}
	return c.interrupted(ctx, err)
}

// interrupted is the failure of an attempt after bytes were sent.
func (c *call) interrupted(ctx context.Context, err error) *failure {
	c.maybeRan = true
	if c.ctx.Err() != nil {
		return c.ended()
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return uncertain(api.KindEndpointFailed, "the answer broke off: "+err.Error(), remedyRetry)
}

// plainRefusal reads a refusal that an agent sent without frames. Such a
// refusal closes no identity: the agent may not have looked at it.
func plainRefusal(answer *http.Response) *failure {
	data, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	var r api.Refusal
	if json.Unmarshal(data, &r) != nil || r.Kind == "" {
		return uncertain(api.KindEndpointFailed, "the agent answered "+answer.Status, remedyRetry)
	}
	if r.Outcome == api.OutcomeNotRun {
		return &failure{refusal: &r, fate: fateOwn}
	}
	return &failure{refusal: &r, fate: fateStated}
}

// abandon cancels an attempt at its agent if it may still run and nobody
// awaits the answer. Orders go on, so that a later attempt gets the answer.
func (p *Pipeline) abandon(c *call, f *failure) *failure {
	if f != nil && f.fate == fateUncertain && !c.order {
		go p.cancelAtAgent(c.pick.Endpoint.Node.HTTPAddr, c.wireID)
	}
	return f
}

// watch gives an attempt up once its agent is silent. The returned function
// ends the watch.
func (p *Pipeline) watch(c *call, stop context.CancelCauseFunc) func() {
	p.heard(c)
	done := make(chan struct{})
	ticker := p.Clock.NewTicker(watchInterval)
	ep := c.pick.Endpoint
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.Chan():
			}
			if p.silent(c, ep) {
				stop(errSilent)
				return
			}
		}
	}()
	return func() { close(done) }
}

// heard records that a frame came from the agent.
func (p *Pipeline) heard(c *call) {
	c.lastFrame.Store(int64(p.Clock.Since(c.started)))
}

// silent reports whether neither frames nor reports came from the agent for
// too long. An entry whose own view is not confirmed cannot tell.
func (p *Pipeline) silent(c *call, ep *control.Endpoint) bool {
	now := p.Clock.Now()
	if now.Sub(c.started)-time.Duration(c.lastFrame.Load()) <= silentLimit {
		return false
	}
	snap := p.View.Snapshot()
	if !snap.Confirmed(now) {
		return false
	}
	current := snap.AgentByID[ep.Node.ID]
	return current == nil || current.Node.Incarnation != ep.Node.Incarnation || now.Sub(current.LastSeen) > silentLimit
}
