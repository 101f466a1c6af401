package pipeline

import (
	"bytes"
	"context"
	"encoding/base64"
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
	// agentTimeout is the time without frames and reports from the agent after
	// which an attempt is stopped. It exceeds the liveness timeout of 2 s, so
	// that one late report does not end a stream.
	agentTimeout = 3 * time.Second
	// agentCheckInterval is the time between two checks for agentTimeout.
	agentCheckInterval = 500 * time.Millisecond
	// deadlineMargin is the time by which the deadline sent to an agent is
	// shorter than that of the call; at most half of the remaining time is taken.
	// If a request waits too long at the agent, the agent's refusal then arrives
	// in time to be reported as not run.
	deadlineMargin = 100 * time.Millisecond
	// maxErrorBytes bounds the body of an agent's response that carries no
	// frames.
	maxErrorBytes = 64 << 10
)

var errAgentTimeout = errors.New("the agent is silent")

const remedyRetry = "send the request again"

// dispatch sends the call to the agent of the chosen endpoint.
func (p *Pipeline) dispatch(next handler) handler {
	return func(c *call) *failure {
		if f := p.checkDispatch(c); f != nil {
			return f
		}
		ctx, stop := context.WithCancelCause(c.ctx)
		defer stop(nil)
		defer p.watchAgent(c, stop)()
		connected := &atomic.Bool{}
		// In the first attempt the room for the envelope is part of the body's.
		c.held.request, c.held.envelope = c.requestBytes(), c.envelopeBytes()
		if err := c.claimHeld(); err != nil {
			c.held.envelope = 0
			return noMemory()
		}
		defer c.release(&c.held.envelope, 0)
		req, err := p.newExecuteRequest(ctx, c, connected)
		if err != nil {
			return notStarted(api.KindInternal, err.Error(), remedyRetry)
		}
		addr := c.pick.Endpoint.Node.HTTPAddr
		c.agentAddr.Store(&addr)
		resp, err := p.client.Do(req)
		if err != nil {
			return p.cancelIfUncertain(c, c.requestFailure(ctx, err, connected.Load()))
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return p.cancelIfUncertain(c, unframedRefusal(resp))
		}
		c.decoder = newDecoder(resp.Body, c.wireID, c.attempt)
		c.attemptCtx = ctx
		return p.cancelIfUncertain(c, next(c))
	}
}

// checkDispatch makes the checks that must hold when the call is sent. A
// process that was suspended must not act on an outdated view.
func (p *Pipeline) checkDispatch(c *call) *failure {
	if c.ctx.Err() != nil {
		return c.contextFailure()
	}
	if c.cancelRequested.Load() && !c.mayHaveRun {
		return notStarted(api.KindCancelled, errCancelled.Error(), remedyRetry)
	}
	if !p.View.Snapshot().Confirmed(p.Clock.Now()) {
		return unconfirmedView()
	}
	return nil
}

// newExecuteRequest returns the HTTP request of one attempt. It carries no
// Idempotency-Key header, so that Go's HTTP client does not retry it. connected
// is set once there is a connection on which bytes may be written.
func (p *Pipeline) newExecuteRequest(ctx context.Context, c *call, connected *atomic.Bool) (*http.Request, error) {
	body, err := encodeEnvelope(p.executeRequest(c))
	if err != nil {
		return nil, err
	}
	c.release(&c.held.envelope, int64(len(body)))
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.pick.Endpoint.Node.HTTPAddr+wire.PathExecute, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+p.ExecuteToken)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// encodeEnvelope encodes a request for an agent. Other than json.Marshal it doesn't
// replace '<', '>' and '&' by six bytes each.
func encodeEnvelope(req *wire.ExecuteRequest) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(req); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// requestBytes returns the memory of the decoded request.
func (c *call) requestBytes() int64 {
	if c.generateCall != nil {
		return int64(len(c.generateCall.Prompt))
	}
	return int64(len(c.plainCall.Body))
}

// envelopeBytes returns the memory that encoding the request for an agent takes.
func (c *call) envelopeBytes() int64 {
	n := 0
	if c.plainCall != nil {
		n += base64.StdEncoding.EncodedLen(len(c.plainCall.Body))
	}
	if c.generateCall != nil {
		n += len(c.generateCall.Prompt) + c.stream.text.Len()
	}
	return encodeFactor * int64(n)
}

func (p *Pipeline) executeRequest(c *call) *wire.ExecuteRequest {
	req := &wire.ExecuteRequest{
		RequestID:         c.wireID,
		Attempt:           c.attempt,
		EntryID:           p.EntryID,
		Organisation:      c.organisation,
		Service:           c.service.Name,
		Priority:          c.priority,
		Cost:              c.cost,
		NonIdempotent:     c.isOrder,
		Identity:          c.identity.Raw,
		ExpectIncarnation: c.expectIncarnation,
		Call:              c.plainCall,
	}
	if deadline, ok := c.ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		req.DeadlineMS = max(1, max(remaining/2, remaining-deadlineMargin).Milliseconds())
	}
	if c.generateCall != nil {
		g := *c.generateCall
		g.ResumeFrom = c.stream.position
		g.Prefix = c.stream.text.String()
		req.Generate = &g
	}
	return req
}

// requestFailure returns the failure of an attempt that got no HTTP response.
func (c *call) requestFailure(ctx context.Context, err error, connected bool) *failure {
	if !connected {
		if c.ctx.Err() != nil {
			return c.contextFailure()
		}
		return notStarted(api.KindEndpointFailed, "no connection to the agent: "+err.Error(), remedyRetry)
	}
	return c.interruptedFailure(ctx, err)
}

// interruptedFailure returns the failure of an attempt after bytes were sent,
// and records that the call may have run.
func (c *call) interruptedFailure(ctx context.Context, err error) *failure {
	c.mayHaveRun = true
	if c.ctx.Err() != nil {
		return c.contextFailure()
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return uncertain(api.KindEndpointFailed, "the answer broke off: "+err.Error(), remedyRetry)
}

// unframedRefusal reads a refusal that an agent sent without frames. Such a
// refusal does not rule out that the order runs later under its identity, since
// the agent may not have checked the identity.
func unframedRefusal(resp *http.Response) *failure {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var r api.Refusal
	if json.Unmarshal(data, &r) != nil || r.Kind == "" {
		return uncertain(api.KindEndpointFailed, "the agent answered "+resp.Status, remedyRetry)
	}
	if r.Outcome == api.OutcomeNotRun {
		return &failure{refusal: &r, execution: executionNotStarted}
	}
	return &failure{refusal: &r, execution: executionReported}
}

// cancelIfUncertain cancels an attempt at its agent if it may still run and
// nobody awaits the response. Orders continue, so that a later attempt gets the
// response. It returns f.
func (p *Pipeline) cancelIfUncertain(c *call, f *failure) *failure {
	if f != nil && f.execution == executionUncertain && !c.isOrder {
		go p.cancelAtAgent(c.pick.Endpoint.Node.HTTPAddr, c.wireID)
	}
	return f
}

// watchAgent stops an attempt once its agent has timed out. The returned
// function ends the checks.
func (p *Pipeline) watchAgent(c *call, stop context.CancelCauseFunc) func() {
	p.recordFrame(c)
	done := make(chan struct{})
	ticker := p.Clock.NewTicker(agentCheckInterval)
	ep := c.pick.Endpoint
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.Chan():
			}
			if p.agentTimedOut(c, ep) {
				stop(errAgentTimeout)
				return
			}
		}
	}()
	return func() { close(done) }
}

// recordFrame records the arrival time of a frame from the agent.
func (p *Pipeline) recordFrame(c *call) {
	c.lastFrameOffset.Store(int64(p.Clock.Since(c.started)))
}

// agentTimedOut reports whether neither frames nor reports came from the agent
// for longer than agentTimeout. It returns false while this entry's view is not
// confirmed, since missing reports then say nothing about the agent.
func (p *Pipeline) agentTimedOut(c *call, ep *control.Endpoint) bool {
	now := p.Clock.Now()
	if now.Sub(c.started)-time.Duration(c.lastFrameOffset.Load()) <= agentTimeout {
		return false
	}
	snap := p.View.Snapshot()
	if !snap.Confirmed(now) {
		return false
	}
	current := snap.AgentByID[ep.Node.ID]
	return current == nil || current.Node.Incarnation != ep.Node.Incarnation || now.Sub(current.LastSeen) > agentTimeout
}
