package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
)

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func (e *testEntry) connect(t *testing.T) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", e.settings.CallersAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &callerConn{c, bufio.NewReader(c)}
}

// order sends an order with a head of somewhat over n bytes and returns the response's
// status, 0 without one.
func (c *callerConn) order(t *testing.T, n int) int {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id\r\nAuthorization: Bearer k\r\nNote: %s\r\nContent-Length: 4\r\n\r\nbody", strings.Repeat("x", n)); err != nil {
		return 0
	}
	return c.status(t)
}

func (c *callerConn) status(t *testing.T) int {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// open reports whether the connection is still open after d.
func (c *callerConn) open(t *testing.T, d time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
	_, err := c.r.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func configWithLimits(version int, limits string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,"service":"s","max_attempts":2}],"services":[{"name":"s"}],"tenants":[{"name":"o","api_keys":["k"]}],"limits":%s}`, version, limits))
}

// Guards against proper requests that get 431 until the entry is started again, because
// its limits are those of the configuration at its start.
func TestRaisedHeadLimitIsInForce(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	endpoint, _ := workEndpoint(t)
	sim.Put("op/config", configWithLimits(1, `{"max_header_bytes":8192}`))
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint)))
	e := startEntry(t, "a", sim.Addr())
	eventually(t, "an order is served", func() bool { return e.sendOrder(t, "k") == http.StatusOK })
	kept := e.connect(t)
	is.Equal(kept.order(t, 4<<10), http.StatusOK)
	is.Equal(e.connect(t).order(t, 32<<10), http.StatusRequestHeaderFieldsTooLarge)

	sim.Put("op/config", configWithLimits(2, `{"max_header_bytes":65536}`))
	eventually(t, "longer heads are served", func() bool { return e.connect(t).order(t, 32<<10) == http.StatusOK })
	is.Equal(kept.order(t, 32<<10), http.StatusOK)

	sim.Put("op/config", configWithLimits(3, `{"max_header_bytes":8192}`))
	eventually(t, "longer heads are refused", func() bool {
		return e.connect(t).order(t, 32<<10) == http.StatusRequestHeaderFieldsTooLarge
	})
	is.Equal(kept.order(t, 4<<10), http.StatusOK)
	is.Equal(kept.order(t, 32<<10), http.StatusRequestHeaderFieldsTooLarge)
	_, page := get(t, "http://"+e.settings.MetricsAddr+pathMetrics)
	is.True(strings.Contains(page, `wasabinotch_limits_total{limit="head",action="refused"}`))
}

// Guards against connections that end by the times of the configuration at the entry's
// start, or that outlast those of the one in force.
func TestChangedTimesAreInForceOnOpenConnections(t *testing.T) {
	for _, field := range []string{"idle_timeout_ms", "header_timeout_ms"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			sim, err := platformsim.Listen("127.0.0.1:0")
			is.NoErr(err)
			defer sim.Close()
			endpoint, _ := workEndpoint(t)
			put := func(version, ms int) {
				sim.Put("op/config", configWithLimits(version, fmt.Sprintf(`{%q:%d}`, field, ms)))
			}
			put(1, 2000)
			sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint)))
			e := startEntry(t, "a", sim.Addr())
			eventually(t, "an order is served", func() bool { return e.sendOrder(t, "k") == http.StatusOK })
			c := e.connect(t)
			is.Equal(c.order(t, 1), http.StatusOK)
			if field == "header_timeout_ms" {
				_, err := io.WriteString(c, "POST /x/1 ")
				is.NoErr(err)
			}
			put(2, 60_000)
			is.True(c.open(t, 3*time.Second)) // longer than before the change
			put(3, 100)
			is.True(!c.open(t, 10*time.Second)) // sooner than before the change
		})
	}
}
