package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/quarantine"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

var testHeaders = Headers{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Target: "Target-Instance", Organisation: "Tenant",
	Signature: "Response-Signature", NotRun: "Not-Executed", Load: "Server-Load", RateLimit: "Server-Limit", Leaving: "Server-Leaving", FailedRank: "At-Server",
	Priority: "Request-Priority", TokenUsage: "Token-Usage", PromptParts: "Prompt-Prefix", LastEventID: "Last-Event-Id",
	Model: "Model", ExpectVersion: "Expected-Version",
}

// fakeEndpoint is an endpoint whose responses a test writes byte by byte.
type fakeEndpoint struct {
	mu           sync.Mutex
	requests     []*http.Request
	disconnected chan struct{}
	listener     net.Listener
}

func (e *fakeEndpoint) received() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// testEntry is a server with a Handler and the endpoints e0, e1 and so on.
type testEntry struct {
	*httptest.Server
	handler   *Handler
	endpoints []*fakeEndpoint
	log       *logBuffer
}

// logBuffer is a buffer that is safe for concurrent writes.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// responder responds to the n-th request (from 1) that an endpoint receives.
type responder func(c net.Conn, r *http.Request, n int)

func newTestEntry(t *testing.T, route routing.Route, responders ...responder) *testEntry {
	t.Helper()
	f := fleet.New("z1", nil)
	f.SetEntries(1, 0)
	log := &logBuffer{}
	s := &testEntry{log: log, handler: New(Config{
		Headers: testHeaders, ParseLoad: func(string) (fleet.Load, bool) { return fleet.Load{}, false },
		ParseRateLimit: parseTestRateLimit, TellRateLimit: func(string, fleet.RateLimit) {},
		ParseLeaving: func(v string) bool { return v == "1" }, TellLeaving: func(fleet.Run) {}, ParsePause: parseTestPause,
		SharedParts:    func(v string) []string { return strings.Split(v, ",") },
		FormatPriority: formatTestPriority,
		ParseWork:      func(string, string, string) fleet.Work { return fleet.Work{} }, Quarantine: quarantine.New(func(wire.QuarantineReport) {}),
		Fleet: f, Client: upstream.NewClient(time.Second), Log: logs.New(log), Stats: NewStats(metrics.NewSet()),
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	})}
	for i, respond := range responders {
		e := &fakeEndpoint{disconnected: make(chan struct{}, 10)}
		s.endpoints = append(s.endpoints, e)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		e.listener = ln
		go e.serve(ln, respond)
		f.Update(fleet.Record{ID: fmt.Sprint("e", i), Service: "s", Address: ln.Addr().String(), Zone: "z1", Slots: 4})
	}
	route.Name, route.Host, route.Prefix = "r", "host", "/a/"
	route.Targets = []routing.Target{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	if route.TargetLatency == 0 {
		route.TargetLatency = time.Second
	}
	c, err := routing.New(1, []*routing.Route{&route}, []*routing.Service{{Name: "s"}},
		[]*routing.Organisation{{Name: "menders", Keys: []string{"key"}}}, routing.Limits{BodyBytes: 1000})
	if err != nil {
		t.Fatal(err)
	}
	s.handler.SetConfig(c)
	s.Server = httptest.NewServer(s.handler)
	t.Cleanup(s.Close)
	return s
}

func (e *fakeEndpoint) serve(ln net.Listener, respond responder) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					e.disconnected <- struct{}{}
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				e.mu.Lock()
				e.requests = append(e.requests, r)
				n := len(e.requests)
				e.mu.Unlock()
				respond(c, r, n)
			}
		}()
	}
}

func respondOK(body string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
	}
}

// respondRaw writes text, with the request's ID in place of {id}.
func respondRaw(text string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get("Request-Id")))
	}
}

// respondAndReset writes text and resets the connection.
func respondAndReset(text string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		respondRaw(text)(c, r, n)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// send sends a request to the entry; change may be nil.
func (s *testEntry) send(t *testing.T, change func(*http.Request)) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/a/b", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "host"
	r.Header.Set("Request-Id", "id-1")
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	if change != nil {
		change(r)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

var orderRoute = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 3}
var idempotentRoute = routing.Route{Kind: routing.Idempotent, MaxAttempts: 3}
var streamingRoute = routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 3}

const notRunResponse = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (s *testEntry) requestCount() int {
	n := 0
	for _, e := range s.endpoints {
		n += len(e.received())
	}
	return n
}

func parseTestRateLimit(v string) (fleet.RateLimit, bool) {
	perSecond, err := strconv.ParseFloat(v, 64)
	return fleet.RateLimit{PerSecond: perSecond, Named: v != ""}, v == "" || err == nil
}

func parseTestPause(v string) (time.Duration, bool) {
	d, err := time.ParseDuration(v + "s")
	return d, v == "" || err == nil
}

func formatTestPriority(place, priorities int, late bool) string {
	if late {
		return strconv.Itoa(place) + " late"
	}
	return strconv.Itoa(place)
}
