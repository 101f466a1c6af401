package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/upstream"
)

// request is a caller's request and its result, as the caller saw them. An entry may
// send it to several endpoints in turn.
type request struct {
	// class is the route's name: "draft" is a stream from a rank group, "order" a
	// non-idempotent and "lookup" an idempotent request to a plain endpoint.
	id, class, entry, apiKey string
	sent, ended              time.Time
	status                   int
	// mayHaveArrived is false if the request certainly didn't reach the entry.
	mayHaveArrived bool
	// defect describes a response that no caller may get, such as one to another
	// request. It is empty for a correct response, for an error response and for a
	// lost connection.
	defect string
	// incomplete is set if the connection ended before a complete response.
	incomplete bool
}

func (a *request) served() bool { return a.status == http.StatusOK && !a.incomplete && a.defect == "" }

// callers are simulated callers: each asks an entry for an address to connect to,
// uses it for its TTL, and keeps connections open.
type callers struct {
	soak   *soak
	client *upstream.Client
	stop   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// callerInterval is the mean interval between two requests of one caller.
const callerInterval = 20 * time.Millisecond

// callerTimeout is how long a caller waits for a complete response.
const callerTimeout = 3 * time.Second

func startCallers(s *soak, n int) *callers {
	c := &callers{soak: s, client: upstream.NewClient(time.Second), stop: make(chan struct{})}
	for i := range n {
		c.wg.Go(func() { c.run(i, rand.New(rand.NewPCG(s.seed, uint64(1000+i)))) })
	}
	return c
}

// finish stops the callers and returns all their requests.
func (c *callers) finish() []*request {
	close(c.stop)
	c.wg.Wait()
	return c.requests
}

func (c *callers) run(caller int, rng *rand.Rand) {
	var address string
	var validUntil time.Time
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(callerInterval))):
		}
		if time.Now().After(validUntil) {
			found, ttl, err := c.resolve(rng)
			if err != nil {
				continue // another entry is asked after the interval
			}
			address, validUntil = found, time.Now().Add(ttl)
		}
		class := []string{"draft", "draft", "order", "lookup"}[rng.IntN(4)]
		a := c.send(fmt.Sprintf("c%d-%d", caller, n), class, address, c.randomKey(rng))
		c.mu.Lock()
		c.requests = append(c.requests, a)
		c.mu.Unlock()
		if !a.mayHaveArrived {
			validUntil = time.Time{} // the entry is unreachable; resolve again
		}
	}
}

// randomKey returns an API key of the newest configuration or, once in ten calls,
// of any, so that it may be a removed key.
func (c *callers) randomKey(rng *rand.Rand) string {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	change := c.soak.configs[len(c.soak.configs)-1]
	if rng.IntN(10) == 0 {
		change = c.soak.configs[rng.IntN(len(c.soak.configs))]
	}
	for key := range change.keys { // in random order
		return key
	}
	return ""
}

// resolve asks a random entry's directory for entry addresses, and returns the
// address of the proxy through which callers reach one of them, with its TTL.
func (c *callers) resolve(rng *rand.Rand) (string, time.Duration, error) {
	n := c.soak.entries[rng.IntN(len(c.soak.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addr := c.soak.addr(n.ip, portDirectory)
	status, body, err := c.client.Call(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: "/resolve?name=soak.example", Host: addr}, 1<<16)
	if err != nil {
		return "", 0, err
	}
	var resolved struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &resolved) != nil || len(resolved.Addresses) == 0 {
		return "", 0, fmt.Errorf("status %d", status)
	}
	// An entry and the proxy for its callers have the same last byte of the address.
	ip := netip.MustParseAddrPort(resolved.Addresses[rng.IntN(len(resolved.Addresses))]).Addr()
	return c.soak.addr(c.soak.ip(netCaller, int(ip.As4()[3])), portCallers), time.Duration(resolved.TTL * float64(time.Second)), nil
}

func (c *callers) send(id, class, address, key string) *request {
	entry := c.soak.ip(netEntry, int(netip.MustParseAddrPort(address).Addr().As4()[3]))
	a := &request{id: id, class: class, entry: c.soak.entryByIP(entry.String()), apiKey: key, sent: time.Now(), mayHaveArrived: true}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req := &upstream.Request{Method: http.MethodPost, Target: "/" + class + "/x", Host: "soak.example", Body: []byte("body of " + id), Header: http.Header{
		"Request-Id": {id}, "Authorization": {"Bearer " + key}, "Deadline-Ms": {fmt.Sprint(callerTimeout.Milliseconds())}}}
	resp, err := c.client.Do(ctx, address, req)
	defer func() { a.ended = time.Now() }()
	if err != nil {
		a.incomplete, a.mayHaveArrived = true, !upstream.NotSent(err)
		return a
	}
	defer resp.Close()
	a.status = resp.Status
	if got := resp.Header.Get("Request-Id"); got != id {
		a.defect = fmt.Sprintf("the response has the request ID %q", got)
		return a
	}
	if a.status != http.StatusOK {
		_, err := io.Copy(io.Discard, resp)
		a.incomplete = err != nil
		return a
	}
	if resp.Header.Get("Response-Signature") == "" {
		a.defect = "a successful response without an endpoint's signature"
		return a
	}
	body, err := io.ReadAll(resp)
	a.incomplete = err != nil
	if class == "draft" {
		a.defect = streamDefect(id, string(body), err)
	} else if err == nil && string(body) != platformsim.ResponseBody(id) {
		a.defect = fmt.Sprintf("the body is %q", body)
	}
	return a
}

// streamDefect describes the first wrong event of a stream; it is empty if the
// events are correct. err is the error with which the stream ended, nil for a
// regular end, at which the stream must be complete.
func streamDefect(id, body string, err error) string {
	n := 0
	events := strings.SplitAfter(body, "\n\n")
	for _, event := range events {
		if !strings.HasSuffix(event, "\n\n") {
			if event != "" && err == nil {
				return fmt.Sprintf("the stream ends within an event: %q", event)
			}
			break
		}
		n++
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, platformsim.EventData(id, n)); event != want {
			return fmt.Sprintf("event %d is %q", n, event)
		}
	}
	if err == nil && n != platformsim.EventCount(id) {
		return fmt.Sprintf("the stream ends as complete after %d of %d events", n, platformsim.EventCount(id))
	}
	return ""
}
