package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const staleRefusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"

// Guards against a refusal of an earlier request, written once more on a kept connection,
// that is taken to mean that the next request didn't run.
func TestRepeatedRefusalIsNotTheNextRequestsAnswer(t *testing.T) {
	for name, refusal := range map[string]string{
		"503":        staleRefusal,
		"421":        strings.Replace(staleRefusal, "503 Service Unavailable", "421 Misdirected Request", 1),
		"without id": strings.Replace(staleRefusal, "Request-Id: earlier\r\n", "", 1),
		"interim":    "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + staleRefusal,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, orderRoute, respondRaw(refusal), respondRaw(refusal))
			resp, _, err := s.send(t, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway) // says nothing of whether the order ran
			is.Equal(s.requestCount(), 1)                    // and it isn't sent again
		})
	}
}

// Guards against requests that are sent again and again to an address which another
// endpoint has taken, until the store shows it.
func TestMisdirectedRequestClosesTheAddress(t *testing.T) {
	is := is.New(t)
	misdirected := respondRaw("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nAt-Server: 10.0.0.1:80\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
	s := newTestEntry(t, idempotentRoute, misdirected, respondOK("here"))
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		resp, _, err := s.send(t, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(len(s.endpoints[0].received()), 1)
}
