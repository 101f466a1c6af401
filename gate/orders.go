package gate

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// defaultTimeout bounds a running request when the bundle sets no timeout.
	defaultTimeout = 30 * time.Second
	// maxOrderResponseBytes bounds the response to an order, which is buffered
	// completely.
	maxOrderResponseBytes = 4 << 20
)

// executeOrder runs an order through the order table, or waits for the
// request that already runs it. The order continues when the caller disconnects,
// so that its outcome is recorded.
func (g *Gate) executeOrder(ctx context.Context, req *wire.ExecuteRequest, s *stream) {
	id, err := order.ParseIdentity(req.Identity)
	if err != nil {
		g.refuse(s, api.NotRun(api.KindIdentityRequired, err.Error(), "send an Idempotency-Key from /v1/resolve"))
		return
	}
	id.Organisation = req.Organisation
	o, first, r := g.cfg.OrderTable.Begin(order.Claim{Identity: id, ExpectIncarnation: req.ExpectIncarnation, Fingerprint: fingerprint(req.Call)})
	if r != nil {
		g.refuse(s, r)
		return
	}
	defer o.Release()
	if first {
		go g.runOrder(context.WithoutCancel(ctx), req, o)
	} else {
		g.cfg.Log.Info("Waiting for an order that is already known.", "request_id", req.RequestID, "organisation", req.Organisation, "reason", "its identity is known")
	}
	g.awaitOrder(ctx, o, s)
}

// awaitOrder sends the response of the order once it has ended. The deadline and
// the timeout of the order ensure that it ends.
func (g *Gate) awaitOrder(ctx context.Context, o *order.Order, s *stream) {
	select {
	case <-o.Started():
	case <-ctx.Done():
		g.refuse(s, endedWhileRunning(ctx))
		return
	}
	select {
	case <-o.Finished():
	default:
		_ = s.accepted(g.occupancy()) // the order continues if the entry is unreachable
	}
	select {
	case <-o.Finished():
	case <-ctx.Done():
		g.refuse(s, endedWhileRunning(ctx))
		return
	}
	response, r := o.Result()
	if r != nil {
		g.refuse(s, r)
		return
	}
	g.sendResponse(s, response)
}

// sendResponse sends the recorded response of an order.
func (g *Gate) sendResponse(s *stream, response order.Response) {
	if s.framesSent() == 0 {
		if err := s.accepted(g.occupancy()); err != nil {
			return
		}
	}
	if err := s.head(response.Status, response.Header); err != nil {
		return
	}
	for body := response.Body; len(body) > 0; {
		n := min(len(body), maxChunkBytes)
		if err := s.data(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
	_ = s.end("stop") // the response stays recorded if the entry is unreachable
}

// runOrder queues a new order, runs it and records its outcome. It is the only
// way for an order to reach the endpoint: Start allows it once per identity.
func (g *Gate) runOrder(ctx context.Context, req *wire.ExecuteRequest, o *order.Order) {
	queueCtx, cancel := g.withDeadline(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	defer cancel()
	queueCtx, done, r := g.registerActive(queueCtx, req)
	if r != nil {
		o.Refuse(api.NotRun(api.KindConflict, r.Message, r.Remedy))
		return
	}
	defer done()
	sl, r := g.admit(queueCtx, req)
	if r != nil {
		o.Refuse(r)
		return
	}
	if r := g.checkBeforeSend(queueCtx); r != nil {
		g.releaseSlot(sl, requestResult{unsent: true})
		o.Refuse(r)
		return
	}
	if !o.Start() {
		g.releaseSlot(sl, requestResult{unsent: true})
		return
	}
	g.logAdmitted(req)
	g.releaseSlot(sl, g.callOrder(ctx, req, o, sl))
}

// callOrder calls the endpoint and records the outcome.
func (g *Gate) callOrder(ctx context.Context, req *wire.ExecuteRequest, o *order.Order, sl *slot) requestResult {
	ctx, cancel := g.withDeadline(ctx, g.timeout())
	defer cancel()
	var refused atomic.Pointer[api.Refusal] // set by the check before sending
	ctx = context.WithValue(ctx, preSendCheckKey{}, func() error {
		r := g.checkView(g.cfg.View.Snapshot())
		if r == nil {
			return nil
		}
		refused.Store(r)
		return r
	})
	rec := &responseRecorder{}
	res := g.runPlain(ctx, g.orderClient, req, rec, sl)
	switch {
	case res.unsent && refused.Load() != nil:
		o.Refuse(refused.Load())
	case res.unsent:
		o.Refuse(res.refusal)
	case res.refusal != nil:
		o.RecordUnknown(res.refusal.Message)
	default:
		o.RecordResponse(rec.response)
	}
	return res
}

// timeout returns the time that a request may take at the endpoint.
func (g *Gate) timeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil || g.service.TimeoutMS <= 0 {
		return defaultTimeout
	}
	return time.Duration(g.service.TimeoutMS) * time.Millisecond
}

// responseRecorder is a responseSink that buffers the response to an order.
type responseRecorder struct{ response order.Response }

func (r *responseRecorder) head(status int, header map[string][]string) error {
	r.response.Status, r.response.Header = status, header
	return nil
}

func (r *responseRecorder) data(p []byte) error {
	if len(r.response.Body)+len(p) > maxOrderResponseBytes {
		return errors.New("the response to the order is larger than 4 MiB")
	}
	r.response.Body = append(r.response.Body, p...)
	return nil
}

// fingerprint identifies the content of an order: method, path and body.
// Headers differ between attempts and are left out.
func fingerprint(call *wire.PlainCall) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{call.Method, call.Path, ""}, "\x00")) // writing to a hash does not fail
	_, _ = d.Write(call.Body)
	return d.Sum64()
}
