package forward

import (
	"bytes"
	"errors"
	"strconv"
)

// errNotContinuation is the cause if an endpoint sends bytes that can't follow the
// events that the caller has: text of another kind, or an event that it already has.
var errNotContinuation = errors.New("the endpoint sent bytes that are not the next event of the stream")

// nextEvent returns the first complete event of b with the blank line that ends it, and
// the rest; event is nil if there is none.
func nextEvent(b []byte) (event, rest []byte) {
	end := -1
	if lf := bytes.Index(b, []byte("\n\n")); lf >= 0 {
		end = lf + 2
	}
	if crlf := bytes.Index(b, []byte("\n\r\n")); crlf >= 0 && (end < 0 || crlf+3 < end) {
		end = crlf + 3
	}
	if end < 0 {
		return nil, b
	}
	return b[:end], b[end:]
}

// eventID returns the ID of an event; ok is false if the bytes are not an event. An
// event consists of comments and of fields with lower-case names, and has one ID. One
// that consists of comments only has none. An endpoint that fails may write the head of
// an error response, or a half event and that head, into the body of its stream.
func eventID(event []byte) (id string, ok bool) {
	ids, fields := 0, 0
	crlf := bytes.HasSuffix(event, []byte("\r\n"))
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(line, []byte("\n"))
		if bytes.HasSuffix(line, []byte("\r")) != crlf {
			return "", false
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		fields++
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) {
			return "", false
		}
		if string(name) == "id" {
			ids++
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, fields == 0 || ids == 1 && id != ""
}

func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// follows reports whether an event ID may come after the last one of a stream, "" for
// none. IDs that are numbers increase.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > before
}
