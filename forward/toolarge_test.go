package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
)

// Guards against callers that return again and again with a prompt that no endpoint can
// ever hold, since the refusal names a time to come back.
func TestPromptBeyondAllMemoryIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, idempotentRoute, respondOK("a"), respondOK("b"))
	s.handler.cfg.ParseWork = func(string, string, string) fleet.Work { return fleet.Work{PromptTokens: 100_000} }
	for i := range s.endpoints {
		s.handler.cfg.Fleet.RecordLoad(fmt.Sprint("e", i), fleet.Load{MemoryTotal: 100_000})
	}
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "")
	is.True(strings.Contains(body, "exceeds the memory of every endpoint"))
	is.True(strings.Contains(body, "shorter prompt"))
	is.Equal(s.requestCount(), 0)
	is.True(strings.Contains(s.log.String(), "exceeds the memory of every endpoint"))
}
