package intake

import (
	"net/http"
	"sync/atomic"

	"github.com/wasabinotch/wasabinotch/limits"
)

// Claim is the memory that one request holds. Its methods are called by the goroutine that
// serves the request.
type Claim struct {
	*limits.Claim
	// writing is set while the peer is waited for to read, not to send.
	writing atomic.Bool
}

// NewClaim returns the claim of a request. If it is revoked while the body arrives, reading
// it fails, so that the peer still gets a response; if it is revoked while the peer doesn't
// read, the connection is closed.
func NewClaim(m *limits.Memory, w http.ResponseWriter, r *http.Request) *Claim {
	c := &Claim{}
	controller := http.NewResponseController(w)
	ctx := r.Context()
	c.Claim = m.Claim(limits.Host(r.RemoteAddr), func() {
		if c.writing.Load() {
			limits.Abort(ctx)
			return
		}
		_ = controller.SetReadDeadline(past) // httptest.ResponseRecorder does not support deadlines
	})
	return c
}

// ReadBody reads the request's body of at most limit bytes, which the claim holds after it.
func (c *Claim) ReadBody(r *http.Request, limit int64) ([]byte, error) {
	segments, err := limits.ReadBody(r.Body, r.ContentLength, limit, c.Claim)
	c.EndWait()
	if err != nil {
		return nil, err
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	n, held := segments.Len(), c.Bytes()
	if err := c.Grow(n); err != nil {
		return nil, err
	}
	body := make([]byte, 0, n)
	for _, s := range segments {
		body = append(body, s...)
	}
	c.Shrink(held)
	return body, nil
}

// Resize makes the claim hold n bytes. After an error it holds what it held before.
func (c *Claim) Resize(n int64) error {
	switch change := n - c.Bytes(); {
	case change > 0:
		return c.Grow(change)
	case change < 0:
		c.Shrink(-change)
	}
	return nil
}

// Write calls write, in which the peer is waited for to read n bytes.
func (c *Claim) Write(n int, write func() error) error {
	c.writing.Store(true)
	c.Wait()
	err := write()
	c.EndWait()
	c.writing.Store(false)
	if err == nil {
		c.Progress(int64(n))
	}
	return err
}
