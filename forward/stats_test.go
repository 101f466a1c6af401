package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
)

// Guards against a log line that names the closed connection as the cause, and
// not why this entry closed it.
func TestLogNamesWhyAStreamWasLeft(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	s := newSystem(t, draft, func(c net.Conn, r *http.Request, n int) {
		raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n")(c, r, n)
		raw("c\r\nid: 1\ndata\n\n\r\n")(c, r, n)
		close(begun)
		time.Sleep(time.Second)
	})
	go func() {
		<-begun
		time.Sleep(50 * time.Millisecond)
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
	}()
	_, _, err := s.do(t, nil)
	is.True(err != nil) // a cut stream doesn't look whole
	is.True(strings.Contains(s.log.String(), errStandsStill.Error()))
}

// Guards against refusals of an ending entry that read like those of a busy one.
func TestLogTellsEndingFromBusyEntries(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, lookup, ok(""))
	s.handler.RefuseRequests()
	_, _, err := s.do(t, nil)
	is.NoErr(err)
	is.True(strings.Contains(s.log.String(), errLeaving.Error()))
}
