package limits

import (
	"bytes"
	"errors"
	"io"
)

const (
	// minSegmentBytes and maxSegmentBytes are the sizes of a Body's segments. A segment is
	// allocated when the one before is full, so that a body holds at most twice what
	// arrived.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)

// ErrTooLarge means that a body is longer than its limit.
var ErrTooLarge = errors.New("the body is over the limit; send a smaller one")

// Body is a body in memory, in segments: it is never copied while it grows.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int64 {
	var n int64
	for _, s := range b {
		n += int64(len(s))
	}
	return n
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, s := range b {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}

// ReadBody reads r to its end, in memory that c claims before it is allocated. length is
// the announced length, -1 if unknown; it limits the last segment and reserves nothing.
// limit is the greatest length, 0 for none. The error is ErrTooLarge, ErrSpent,
// ErrRevoked, or that of r. c continues to hold what was read.
func ReadBody(r io.Reader, length, limit int64, c *Claim) (Body, error) {
	if limit > 0 && length > limit {
		return nil, ErrTooLarge
	}
	var b Body
	var total int64
	for size := int64(minSegmentBytes); ; size = min(2*size, maxSegmentBytes) {
		// One byte more than may arrive, so that the end is found without a new segment.
		switch {
		case length >= 0:
			size = min(size-1, length-total) + 1
		case limit > 0:
			size = min(size-1, limit-total) + 1
		}
		if err := c.Grow(size); err != nil {
			return b, err
		}
		segment := make([]byte, size)
		n, err := readFull(r, segment, c)
		total += int64(n)
		if n > 0 {
			b = append(b, segment[:n])
		}
		switch {
		case limit > 0 && total > limit:
			return b, ErrTooLarge
		case err == io.EOF:
			return b, nil
		case c.Revoked():
			return b, ErrRevoked
		case err != nil:
			return b, err
		}
	}
}

// readFull fills p, and returns early only with an error.
func readFull(r io.Reader, p []byte, c *Claim) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
		c.Progress(int64(m))
	}
	return n, nil
}
