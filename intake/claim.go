package intake

import (
	"io"
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

// reserveStep is the step in which the reserve for the copies of a body grows.
const reserveStep = 4 << 10

// reservingReader claims memory for further copies of what it reads.
type reservingReader struct {
	io.Reader
	claim             *limits.Claim
	further           int64 // copies
	arrived, reserved int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.arrived += int64(n)
	if missing := r.further*r.arrived - r.reserved; missing > 0 {
		step := (missing + reserveStep - 1) / reserveStep * reserveStep
		if growErr := r.claim.Grow(step); growErr != nil {
			return n, growErr
		}
		r.reserved += step
	}
	r.claim.Progress(r.further * int64(n)) // beside that of package limits
	return n, err
}

// ReadBody reads the request's body of at most limit bytes into one piece. After it the
// claim holds room for as many copies of the body as its processing needs at a time, the
// body included; at least 2. Room that was missing only then would refuse whole bodies,
// after all had displaced each other.
func (c *Claim) ReadBody(r *http.Request, limit, copies int64) ([]byte, error) {
	reader := &reservingReader{Reader: r.Body, claim: c.Claim, further: copies - 1}
	segments, err := limits.ReadBody(reader, r.ContentLength, limit, c.Claim)
	c.EndWait()
	if err != nil {
		return nil, err
	}
	if c.Revoked() { // after the last byte had arrived
		return nil, limits.ErrRevoked
	}
	n := segments.Len()
	body := make([]byte, 0, n)
	for _, s := range segments {
		body = append(body, s...)
	}
	c.Shrink(max(0, c.Bytes()-copies*n))
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
