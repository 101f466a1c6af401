package upstream

import (
	"fmt"

	"github.com/wasabinotch/wasabinotch/httpguard"
)

// errContinuationLine means that a line of the head continues the one before it. Package
// net/http joins the two, so a value would not be the one that the server named. RFC 9112,
// section 5.2, lets a proxy refuse such a response.
var errContinuationLine = fmt.Errorf("%w: a line begins with a blank", httpguard.ErrMalformedHead)

// statusColumn is the first column in which the status may begin.
const statusColumn = len("HTTP/1.1 ")

// continuationScanner looks for continuation lines in the heads of one call: those of the
// interim responses and of the final one.
type continuationScanner struct {
	found bool
	// ended is set once the final head has ended; bytes of the body follow.
	ended bool
	// column counts the bytes of the current line, inFields is set after the status line.
	column   int
	inFields bool
	// statusRead is set once the status has begun, interim if it begins with 1, so that
	// another head follows.
	statusRead, interim bool
}

// scan looks through the next bytes that the server sent.
func (s *continuationScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\r':
		case b == '\n' && s.inFields && s.column == 0:
			*s = continuationScanner{found: s.found, ended: !s.interim}
		case b == '\n':
			s.column, s.inFields = 0, true
		default:
			if s.inFields && s.column == 0 && (b == ' ' || b == '\t') {
				s.found = true
			}
			if !s.inFields && !s.statusRead && s.column >= statusColumn && b != ' ' {
				s.statusRead, s.interim = true, b == '1'
			}
			s.column++
		}
	}
}
