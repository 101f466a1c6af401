package kvsim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func call(t *testing.T, method, url, body string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, strings.TrimSpace(string(data)), err
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, "http://" + s.Addr()
}

// Guards against a compare-and-swap that succeeds on a stale index.
func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, base := startServer(t)
	url := base + "/v1/kv/a/b"
	_, body, err := call(t, "PUT", url+"?cas=0", "one")
	is.NoErr(err)
	is.Equal(body, "true")
	_, body, _ = call(t, "PUT", url+"?cas=0", "two")
	is.Equal(body, "false")
	_, body, _ = call(t, "GET", url, "")
	var pairs []Pair
	is.NoErr(json.Unmarshal([]byte(body), &pairs))
	is.Equal(string(pairs[0].Value), "one")
	is.True(strings.Contains(body, `"Value":"b25l"`)) // base64
	_, body, _ = call(t, "DELETE", url+"?cas=99", "")
	is.Equal(body, "false")
	resp, _, _ := call(t, "PUT", url, strings.Repeat("x", maxValueBytes+1))
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against a watch that misses a change, or wakes on a change of another
// prefix.
func TestWatch(t *testing.T) {
	is := is.New(t)
	s, base := startServer(t)
	resp, _, err := call(t, "GET", base+"/v1/kv/p/?recurse", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	index := resp.Header.Get("X-Consul-Index")
	got := make(chan string, 1)
	go func() {
		_, body, _ := call(t, "GET", base+"/v1/kv/p/?recurse&wait=10s&index="+index, "")
		got <- body
	}()
	for s.Counters().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	_, _, err = call(t, "PUT", base+"/v1/kv/other", "x")
	is.NoErr(err)
	_, _, err = call(t, "PUT", base+"/v1/kv/p/k", "y")
	is.NoErr(err)
	is.True(strings.Contains(<-got, `"Key":"p/k"`))
	c := s.Counters()
	is.Equal(c, Counters{Reads: 1, Watches: 1, Writes: 2})
}

// Guards against a lost response whose write has no effect, and against an
// outage that loses data.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s, base := startServer(t)
	is.NoErr(s.SetFaults(Faults{LoseNextResponses: 1}))
	_, _, err := call(t, "PUT", base+"/v1/kv/k?cas=0", "v")
	is.True(err != nil)
	is.NoErr(s.SetFaults(Faults{Outage: OutageError}))
	resp, _, err := call(t, "GET", base+"/v1/kv/k", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.NoErr(s.SetFaults(Faults{Outage: OutageRefuse}))
	_, _, err = call(t, "GET", base+"/v1/kv/k", "")
	is.True(err != nil)
	is.NoErr(s.SetFaults(Faults{}))
	_, body, err := call(t, "GET", base+"/v1/kv/k?raw", "")
	is.NoErr(err)
	is.Equal(body, "v")
	is.True(s.SetFaults(Faults{Outage: "other"}) != nil)
}

// Guards against two sessions that hold one lock, and a lock that is still
// held after its session has ended.
func TestSessions(t *testing.T) {
	is := is.New(t)
	_, base := startServer(t)
	create := func() string {
		_, body, err := call(t, "PUT", base+"/v1/session/create", `{"TTL":"10s","LockDelay":"0s"}`)
		is.NoErr(err)
		var v struct{ ID string }
		is.NoErr(json.Unmarshal([]byte(body), &v))
		return v.ID
	}
	a, b := create(), create()
	_, body, _ := call(t, "PUT", base+"/v1/kv/lock?acquire="+a, "a")
	is.Equal(body, "true")
	_, body, _ = call(t, "PUT", base+"/v1/kv/lock?acquire="+b, "b")
	is.Equal(body, "false")
	_, _, err := call(t, "PUT", base+"/v1/session/destroy/"+a, "")
	is.NoErr(err)
	resp, _, _ := call(t, "PUT", base+"/v1/session/renew/"+a, "")
	is.Equal(resp.StatusCode, http.StatusNotFound)
	_, body, _ = call(t, "PUT", base+"/v1/kv/lock?acquire="+b, "b")
	is.Equal(body, "true")
}

// Guards against a throughput bound without effect, or one that stays in force
// after it was lifted.
func TestThroughputBound(t *testing.T) {
	is := is.New(t)
	s, base := startServer(t)
	is.NoErr(s.SetFaults(Faults{WritesPerSecond: 0.001}))
	call(t, "PUT", base+"/v1/kv/k", "one")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "PUT", base+"/v1/kv/k", strings.NewReader("two"))
	is.NoErr(err)
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	is.Equal(s.Counters().Writes, int64(1))
	is.NoErr(s.SetFaults(Faults{}))
	_, body, err := call(t, "PUT", base+"/v1/kv/k", "three")
	is.NoErr(err)
	is.Equal(body, "true")
}
