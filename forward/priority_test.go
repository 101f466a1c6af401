package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/routing"
)

// Guards against an endpoint's queue in which urgent requests wait behind bulk, against
// callers that choose their own priority, and against a header where all requests of a
// service are alike.
func TestEndpointLearnsTheRank(t *testing.T) {
	urgent := 0
	for name, x := range map[string]struct {
		others       []*routing.Route
		organisation routing.Organisation
		want         string
	}{
		"one priority":                      {want: ""},
		"less urgent route":                 {others: []*routing.Route{{Priority: 0}}, want: "1"},
		"more urgent route":                 {others: []*routing.Route{{Priority: 7}}, want: "0"},
		"other service":                     {others: []*routing.Route{{Priority: 0, Targets: []routing.Target{{Service: "u", Weight: 1}}}}, want: ""},
		"urgent organisation":               {others: []*routing.Route{{Priority: 0}}, organisation: routing.Organisation{Priority: &urgent}, want: "1"},
		"urgent organisation, one priority": {organisation: routing.Organisation{Priority: &urgent}, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, orderRoute, respondOK("here"))
			own := orderRoute
			own.Name, own.Host, own.Prefix, own.Priority, own.Timeout, own.TargetLatency = "r", "host", "/a/", 2, 5*time.Second, time.Second
			routes := append([]*routing.Route{&own}, x.others...)
			for i, r := range routes {
				if i > 0 {
					r.Host = "other"
				}
				if r.Targets == nil {
					r.Targets = []routing.Target{{Service: "s", Weight: 1}}
				}
			}
			x.organisation.Name, x.organisation.Keys = "menders", []string{"key"}
			c, err := routing.New(2, routes, []*routing.Service{{Name: "s"}, {Name: "u"}}, []*routing.Organisation{&x.organisation}, routing.Limits{})
			is.NoErr(err)
			is.True(s.handler.SetConfig(c))
			_, _, err = s.send(t, func(r *http.Request) { r.Header.Set("Request-Priority", "0 claimed") })
			is.NoErr(err)
			is.Equal(s.endpoints[0].received()[0].Header.Get("Request-Priority"), x.want)
		})
	}
}

// Guards against a refusal that names no reason in the log, and against a Retry-After
// beyond the time that the caller waits.
func TestRefusalForLackOfRoom(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	defer close(block)
	s := newTestEntry(t, orderRoute, func(net.Conn, *http.Request, int) { <-block })
	for range 4 {
		go func() { _, _, _ = s.send(t, nil) }()
	}
	for s.requestCount() < 4 {
		time.Sleep(time.Millisecond)
	}
	resp, _, err := s.send(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", "400") })
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	is.NoErr(err)
	is.True(wait > 0 && wait <= 120*time.Millisecond)
	is.True(strings.Contains(s.log.String(), "endpoints: 0 out of service, 1 full, 0 limited, 0 backed off, 0 unclaimed, 0 free"))
}
