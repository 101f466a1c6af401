package forward

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/routing"
)

var anonymousRoute = routing.Route{Kind: routing.Idempotent, MaxAttempts: 1, AllowAnonymous: true}

// Guards against requests that run although no configuration ever held their key, because
// their route allows anonymous callers.
func TestUnknownKeyRunsOnNoRoute(t *testing.T) {
	for routeName, route := range map[string]routing.Route{"anonymous": anonymousRoute, "key needed": idempotentRoute} {
		for name, test := range map[string]struct {
			authorization []string
			organisation  string // "" if the request is refused
		}{
			"known key":               {[]string{"Bearer key"}, "menders"},
			"known key, other case":   {[]string{"bearer key"}, "menders"},
			"unknown key":             {[]string{"Bearer unknown"}, ""},
			"unknown key, other case": {[]string{"BEARER unknown"}, ""},
			"longer than a known key": {[]string{"Bearer key2"}, ""},
			"other case of a key":     {[]string{"Bearer KEY"}, ""},
			"no key":                  {[]string{"Bearer"}, ""},
			"no scheme":               {[]string{"key"}, ""},
			"other scheme":            {[]string{"Basic key"}, ""},
			"known, then unknown":     {[]string{"Bearer key", "Bearer unknown"}, ""},
			"unknown, then known":     {[]string{"Bearer unknown", "Bearer key"}, ""},
		} {
			t.Run(routeName+"/"+name, func(t *testing.T) {
				is := is.New(t)
				s := newTestEntry(t, route, respondOK("a"))
				resp, _, err := s.send(t, func(r *http.Request) { r.Header["Authorization"] = test.authorization })
				is.NoErr(err)
				if test.organisation == "" {
					is.Equal(resp.StatusCode, http.StatusUnauthorized)
					is.Equal(s.requestCount(), 0)
					return
				}
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(s.endpoints[0].received()[0].Header.Get("Tenant"), test.organisation)
			})
		}
	}
}

// Guards against a removed key with which requests run on as anonymous ones.
func TestRemovedKeyIsNotAnonymous(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, anonymousRoute, respondOK("a"))
	resp, _, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	route := anonymousRoute
	route.Host, route.Prefix, route.Targets = "host", "/a/", []routing.Target{{Service: "s", Weight: 1}}
	next, err := routing.New(2, []*routing.Route{&route}, []*routing.Service{{Name: "s"}},
		[]*routing.Organisation{{Name: "menders", Keys: []string{"new key"}}}, routing.Limits{})
	is.NoErr(err)
	is.True(s.handler.SetConfig(next))
	resp, _, err = s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.Equal(s.requestCount(), 1)
}

// Guards against anonymous requests that are refused, or that pass for an organisation's.
func TestAnonymousRequestNeedsNoKey(t *testing.T) {
	for name, authorization := range map[string][]string{"none": nil, "empty": {""}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, anonymousRoute, respondOK("a"))
			resp, _, err := s.send(t, func(r *http.Request) {
				r.Header["Authorization"] = authorization
				r.Header.Set("Tenant", "menders")
			})
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(len(s.endpoints[0].received()[0].Header.Values("Tenant")), 0)
		})
	}
}
