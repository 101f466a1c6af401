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
	// orderTimeout bounds a running order when the bundle names no time-out.
	orderTimeout = 30 * time.Second
	// maxOrderAnswer bounds the answer of an order, which is buffered whole.
	maxOrderAnswer = 4 << 20
)

// executeOrder runs an order through the order table, or joins the request
// that runs it. The order does not end with the caller's connection, so that
// its outcome is recorded.
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
		g.cfg.Log.Info("joined order", "request_id", req.RequestID, "organisation", req.Organisation, "reason", "its identity is known")
	}
	g.awaitOrder(ctx, o, s)
}

// awaitOrder sends the answer of the order once it has ended, which its
// deadline and time-out ensure.
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
		_ = s.accepted(g.occupancy()) // the order runs on if the entry is gone
	}
	select {
	case <-o.Finished():
	case <-ctx.Done():
		g.refuse(s, endedWhileRunning(ctx))
		return
	}
	answer, r := o.Result()
	if r != nil {
		g.refuse(s, r)
		return
	}
	g.sendAnswer(s, answer)
}

func (g *Gate) sendAnswer(s *stream, a order.Answer) {
	if s.sent() == 0 {
		if err := s.accepted(g.occupancy()); err != nil {
			return
		}
	}
	if err := s.head(a.Status, a.Header); err != nil {
		return
	}
	for body := a.Body; len(body) > 0; {
		n := min(len(body), chunkBytes)
		if err := s.data(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
	_ = s.end("stop") // the answer is recorded if the entry is gone
}

// runOrder drives a new order to its end. It is the only path of an order to
// the endpoint: Start allows it once per identity.
func (g *Gate) runOrder(ctx context.Context, req *wire.ExecuteRequest, o *order.Order) {
	queueCtx, cancel := g.withDeadline(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	defer cancel()
	queueCtx, done, r := g.activate(queueCtx, req)
	if r != nil {
		o.Close(api.NotRun(api.KindConflict, r.Message, r.Remedy))
		return
	}
	defer done()
	sl, r := g.admit(queueCtx, req)
	if r != nil {
		o.Close(r)
		return
	}
	if r := g.checkHandOver(queueCtx); r != nil {
		g.release(sl, result{unsent: true})
		o.Close(r)
		return
	}
	if !o.Start() {
		g.release(sl, result{unsent: true})
		return
	}
	g.logAdmitted(req)
	g.release(sl, g.callOrder(ctx, req, o, sl))
}

// callOrder calls the endpoint and records the outcome.
func (g *Gate) callOrder(ctx context.Context, req *wire.ExecuteRequest, o *order.Order, sl *slot) result {
	ctx, cancel := g.withDeadline(ctx, g.timeout())
	defer cancel()
	var refused atomic.Pointer[api.Refusal] // set by the transport's dial
	ctx = context.WithValue(ctx, lastCheckKey{}, func() error {
		r := g.checkView(g.cfg.View.Snapshot())
		if r == nil {
			return nil
		}
		refused.Store(r)
		return r
	})
	rec := &recorder{}
	res := g.runPlain(ctx, g.orders, req, rec, sl)
	switch {
	case res.unsent && refused.Load() != nil:
		o.Close(refused.Load())
	case res.unsent:
		o.Close(res.refusal)
	case res.refusal != nil:
		o.Lost(res.refusal.Message)
	default:
		o.Done(rec.answer)
	}
	return res
}

// timeout bounds a request at the endpoint.
func (g *Gate) timeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil || g.service.TimeoutMS <= 0 {
		return orderTimeout
	}
	return time.Duration(g.service.TimeoutMS) * time.Millisecond
}

// recorder buffers the answer of an order.
type recorder struct{ answer order.Answer }

func (r *recorder) head(status int, header map[string][]string) error {
	r.answer.Status, r.answer.Header = status, header
	return nil
}

func (r *recorder) data(p []byte) error {
	if len(r.answer.Body)+len(p) > maxOrderAnswer {
		return errors.New("the answer is larger than 4 MiB")
	}
	r.answer.Body = append(r.answer.Body, p...)
	return nil
}

// fingerprint identifies the content of an order: method, path and body.
// Headers differ between attempts and are left out.
func fingerprint(call *wire.PlainCall) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{call.Method, call.Path, ""}, "\x00")) // a hash does not fail
	_, _ = d.Write(call.Body)
	return d.Sum64()
}
