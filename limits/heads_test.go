package limits

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns chan net.Conn
	close func()
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { l.close(); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// headServer is an HTTP server whose limits on heads change. It answers requests with the
// length of their body.
type headServer struct {
	t      *testing.T
	conns  *Connections
	limits atomic.Pointer[HeadLimits]
	ln     *pipeListener
	mu     sync.Mutex
	events []Event
}

// startHeadServer starts a server in the current bubble.
func startHeadServer(t *testing.T, l HeadLimits) *headServer {
	t.Helper()
	s := &headServer{t: t, ln: &pipeListener{conns: make(chan net.Conn)}}
	s.ln.close = sync.OnceFunc(func() { close(s.ln.conns) })
	s.limits.Store(&l)
	s.conns = NewConnections(0, NewMemory(0, nil), func(e Event) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.events = append(s.events, e)
	})
	s.conns.HeadLimits = func() HeadLimits { return *s.limits.Load() }
	server := &http.Server{ReadHeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond, MaxHeaderBytes: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprint(w, n)
	})}
	s.conns.Server(server)
	go server.Serve(s.conns.Listener(s.ln))
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *headServer) change(l HeadLimits) {
	s.limits.Store(&l)
	s.conns.HeadLimitsChanged()
}

// headClient is a client's connection.
type headClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *headServer) connect() *headClient {
	ours, theirs := newPipe("10.0.0.1")
	s.ln.conns <- ours
	s.t.Cleanup(func() { theirs.Close() })
	return &headClient{theirs, s.t, bufio.NewReader(theirs)}
}

// send sends a request with a head of somewhat over n bytes and returns the response's status.
func (c *headClient) send(n int) int {
	c.t.Helper()
	go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nNote: %s\r\nContent-Length: 4\r\n\r\nbody", strings.Repeat("x", n))
	return c.status()
}

// status returns the status of the next response, 0 if the connection is closed.
func (c *headClient) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Error(err)
	}
	return resp.StatusCode
}

// closedAfter returns the time until the server closes the connection.
func (c *headClient) closedAfter() time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c.r)
	return time.Since(began)
}

// Guards against proper requests that are refused with 431, and longer ones that aren't,
// because the limit is that of the process's start or of the connection's opening.
func TestHeadLimitInForceOnOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startHeadServer(t, HeadLimits{Bytes: 8 * kib})
		is.Equal(s.connect().send(7*kib), http.StatusOK)
		is.Equal(s.connect().send(33*kib), http.StatusRequestHeaderFieldsTooLarge)
		kept := s.connect()
		is.Equal(kept.send(1), http.StatusOK)
		s.change(HeadLimits{Bytes: 64 * kib})
		is.Equal(s.connect().send(33*kib), http.StatusOK)
		is.Equal(kept.send(33*kib), http.StatusOK)
		is.Equal(kept.send(63*kib), http.StatusOK)
		s.change(HeadLimits{Bytes: 8 * kib})
		is.Equal(kept.send(7*kib), http.StatusOK)
		is.Equal(kept.send(33*kib), http.StatusRequestHeaderFieldsTooLarge)
		is.Equal(kept.status(), 0) // closed
		is.Equal(len(s.events), 2)
		is.Equal(s.events[1].Limit, LimitHead)
		is.Equal(s.events[1].Size, int64(8*kib))
	})
}

// Guards against a limit that changes within a head and refuses a request that both allow.
func TestHeadLimitChangesWithinAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startHeadServer(t, HeadLimits{Bytes: 64 * kib, Timeout: time.Minute})
		c := s.connect()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nNote: "+strings.Repeat("x", 6*kib))
		is.NoErr(err)
		s.change(HeadLimits{Bytes: 8 * kib, Timeout: time.Minute})
		synctest.Wait()
		go io.WriteString(c, "x\r\nContent-Length: 4\r\n\r\nbody")
		is.Equal(c.status(), http.StatusOK)
	})
}

// Guards against times that stay those of the process's start, or of the wait that began
// before they changed.
func TestHeadTimesInForceWhileWaiting(t *testing.T) {
	for name, wait := range map[string]struct {
		limits func(time.Duration) HeadLimits
		begin  func(*headClient)
	}{
		"idle": {
			func(d time.Duration) HeadLimits { return HeadLimits{Timeout: time.Hour, Idle: d} },
			func(c *headClient) { c.send(1) },
		},
		"within a head": {
			func(d time.Duration) HeadLimits { return HeadLimits{Timeout: d, Idle: time.Hour} },
			func(c *headClient) {
				c.send(1)
				if _, err := io.WriteString(c, "POST /"); err != nil {
					c.t.Error(err)
				}
			},
		},
		"before the first head": {
			func(d time.Duration) HeadLimits { return HeadLimits{Timeout: d, Idle: time.Hour} },
			func(c *headClient) {},
		},
	} {
		for change, times := range map[string]struct{ before, after, closed time.Duration }{
			"unchanged": {4 * time.Second, 4 * time.Second, 4 * time.Second},
			"raised":    {4 * time.Second, 15 * time.Second, 15 * time.Second},
			"lowered":   {15 * time.Second, 4 * time.Second, 4 * time.Second},
			"exceeded":  {15 * time.Second, time.Second, 2 * time.Second}, // at the change
			"removed":   {4 * time.Second, 0, time.Hour},                  // by the client
		} {
			t.Run(name+"/"+change, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := startHeadServer(t, wait.limits(times.before))
					c := s.connect()
					wait.begin(c)
					began := time.Now()
					time.AfterFunc(2*time.Second, func() { s.change(wait.limits(times.after)) })
					time.AfterFunc(time.Hour, func() { c.Close() })
					c.closedAfter()
					is.Equal(time.Since(began), times.closed)
				})
			})
		}
	}
}

// Guards against a change of limits that ends the read of a body, or a response.
func TestChangedHeadLimitsLeaveRequestsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startHeadServer(t, HeadLimits{Bytes: 8 * kib, Timeout: time.Second, Idle: time.Second})
		c := s.connect()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		is.NoErr(err)
		synctest.Wait()
		s.change(HeadLimits{Bytes: 16 * kib, Timeout: 2 * time.Second, Idle: 2 * time.Second})
		time.Sleep(time.Minute) // the body has no bound here
		go io.WriteString(c, "dy")
		is.Equal(c.status(), http.StatusOK)
		is.Equal(c.closedAfter(), 2*time.Second)
	})
}
