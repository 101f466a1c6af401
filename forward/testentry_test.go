package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

var testHeaders = Headers{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Target: "Target-Instance", Organisation: "Tenant",
	Signature: "Response-Signature", NotRun: "Not-Executed", Load: "Server-Load", FailedRank: "At-Server",
	Priority: "Request-Priority", TokenUsage: "Token-Usage", PromptParts: "Prompt-Prefix", LastEventID: "Last-Event-Id",
	Model: "Model", ExpectVersion: "Expected-Version",
}

// endpoint is a fake endpoint whose answers a test writes byte by byte.
type endpoint struct {
	mu       sync.Mutex
	requests []*http.Request
	gone     chan struct{}
}

func (e *endpoint) seen() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// system is a handler with endpoints e0, e1 and so on.
type system struct {
	*httptest.Server
	handler   *Handler
	endpoints []*endpoint
	// log holds the handler's log lines.
	log *logBuffer
}

// logBuffer is a buffer that several goroutines may write.
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

type answer func(c net.Conn, r *http.Request, n int)

func newSystem(t *testing.T, route routing.Route, answers ...answer) *system {
	t.Helper()
	f := fleet.New("z1", nil)
	f.SetEntries(1)
	log := &logBuffer{}
	s := &system{log: log, handler: New(Config{
		Headers: testHeaders, ParseLoad: func(string) (fleet.Load, bool) { return fleet.Load{}, false },
		Fleet: f, Client: upstream.NewClient(time.Second), Log: logs.New(log), Stats: NewStats(metrics.NewSet()),
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	})}
	for i, a := range answers {
		e := &endpoint{gone: make(chan struct{}, 10)}
		s.endpoints = append(s.endpoints, e)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go e.serve(ln, a)
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

func (e *endpoint) serve(ln net.Listener, a answer) {
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
					e.gone <- struct{}{}
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				e.mu.Lock()
				e.requests = append(e.requests, r)
				n := len(e.requests)
				e.mu.Unlock()
				a(c, r, n)
			}
		}()
	}
}

func ok(body string) answer {
	return func(c net.Conn, r *http.Request, n int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
	}
}

func raw(text string) answer {
	return func(c net.Conn, r *http.Request, n int) {
		io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get("Request-Id")))
	}
}

// cut writes text and breaks the connection.
func cut(text string) answer {
	return func(c net.Conn, r *http.Request, n int) {
		raw(text)(c, r, n)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// do sends a request; change may be nil.
func (s *system) do(t *testing.T, change func(*http.Request)) (*http.Response, string, error) {
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

var order = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 3}
var lookup = routing.Route{Kind: routing.Idempotent, MaxAttempts: 3}
var draft = routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 3}

const notRun = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (s *system) runs() int {
	n := 0
	for _, e := range s.endpoints {
		n += len(e.seen())
	}
	return n
}
