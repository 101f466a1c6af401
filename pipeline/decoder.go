package pipeline

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/wire"
)

// maxFrameBytes bounds one frame. Agents send data in smaller pieces.
const maxFrameBytes = 4 << 20

// errTruncated means that the stream ended before the end frame.
var errTruncated = errors.New("the answer is truncated")

// decoder reads the frames of one attempt. It drops frames of other requests
// and attempts, and duplicate frames. A missing frame is an error.
type decoder struct {
	r       *bufio.Reader
	wireID  string
	attempt int
	next    int
	// buffer holds a line that is longer than r's buffer, until the next one is
	// read. It is kept up to keptLineBytes, since data frames are all of one length.
	buffer []byte
}

const keptLineBytes = 64 << 10

func newDecoder(r io.Reader, wireID string, attempt int) *decoder {
	return &decoder{r: bufio.NewReader(r), wireID: wireID, attempt: attempt}
}

// Next returns the next frame of the attempt.
func (d *decoder) Next() (*wire.Frame, error) {
	for {
		line, err := d.readLine()
		if err != nil {
			return nil, err
		}
		var f wire.Frame
		if err := json.Unmarshal(line, &f); err != nil {
			return nil, trace.BadParameter("a frame is not valid JSON: %v", err)
		}
		if f.RequestID != d.wireID || f.Attempt != d.attempt || f.Seq < d.next {
			droppedFrames.Add(1)
			continue
		}
		if f.Seq > d.next {
			return nil, trace.BadParameter("frame %d is missing", d.next)
		}
		d.next++
		return &f, nil
	}
}

// readLine returns the next line with its newline, which is valid until the next
// call. A line without a newline is truncated, even if it is valid JSON.
func (d *decoder) readLine() ([]byte, error) {
	buffered := d.buffer[:0]
	defer func() {
		if d.buffer = buffered; cap(buffered) > keptLineBytes {
			d.buffer = nil
		}
	}()
	for {
		part, err := d.r.ReadSlice('\n')
		if len(buffered)+len(part) > maxFrameBytes {
			return nil, trace.LimitExceeded("a frame exceeds %d bytes", maxFrameBytes)
		}
		if err == nil && len(buffered) == 0 {
			return part, nil
		}
		buffered = append(buffered, part...)
		switch {
		case err == nil:
			return buffered, nil
		case errors.Is(err, io.EOF):
			return nil, errTruncated
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
