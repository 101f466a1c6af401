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

// Guards against a log line whose cause is the closed connection instead of the
// reason why this entry closed it.
func TestLogNamesReasonForAbandonedStream(t *testing.T) {
	is := is.New(t)
	streamStarted := make(chan struct{})
	s := newTestEntry(t, streamingRoute, func(c net.Conn, r *http.Request, n int) {
		respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n")(c, r, n)
		respondRaw("c\r\nid: 1\ndata\n\n\r\n")(c, r, n)
		close(streamStarted)
		time.Sleep(time.Second)
	})
	go func() {
		<-streamStarted
		time.Sleep(50 * time.Millisecond)
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
	}()
	_, _, err := s.send(t, nil)
	is.True(err != nil) // a truncated stream must not look complete
	is.True(strings.Contains(s.log.String(), errGroupStalled.Error()))
}

// Guards against refusals during shutdown that are logged like those of an
// overloaded entry.
func TestLogDistinguishesShutdownFromOverload(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, idempotentRoute, respondOK(""))
	s.handler.StartDrain(Drain{})
	_, _, err := s.send(t, nil)
	is.NoErr(err)
	is.True(strings.Contains(s.log.String(), errShuttingDown.Error()))
}
