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

// attempt is a request as its caller saw it.
type attempt struct {
	id, class, entry, key string
	sent, ended           time.Time
	status                int
	// reached is false if the entry can't have got the request.
	reached bool
	// wrong says what was wrong with the answer, which is empty for a proper
	// answer, an honest failure and a connection that broke.
	wrong string
	// broken is set if the connection ended without a whole answer.
	broken bool
}

func (a *attempt) served() bool { return a.status == http.StatusOK && !a.broken && a.wrong == "" }

// callers sends requests as callers do: they ask an entry where to connect,
// keep the answer for its lifetime, and keep connections open.
type callers struct {
	s      *soak
	client *upstream.Client
	stop   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
}

// callerPause is the usual pause of one caller between two requests.
const callerPause = 20 * time.Millisecond

// callerPatience is how long a caller waits for an answer.
const callerPatience = 3 * time.Second

func startCallers(s *soak, n int) *callers {
	c := &callers{s: s, client: upstream.NewClient(time.Second), stop: make(chan struct{})}
	for i := range n {
		c.wg.Go(func() { c.run(i, rand.New(rand.NewPCG(s.seed, uint64(1000+i)))) })
	}
	return c
}

func (c *callers) end() []*attempt {
	close(c.stop)
	c.wg.Wait()
	return c.attempts
}

func (c *callers) run(caller int, rng *rand.Rand) {
	var address string
	var validUntil time.Time
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(callerPause))):
		}
		if time.Now().After(validUntil) {
			found, ttl, err := c.resolve(rng)
			if err != nil {
				continue // another entry is asked after the pause
			}
			address, validUntil = found, time.Now().Add(ttl)
		}
		class := []string{"draft", "draft", "order", "lookup"}[rng.IntN(4)]
		a := c.send(fmt.Sprintf("c%d-%d", caller, n), class, address, c.key(rng))
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if !a.reached {
			validUntil = time.Time{}
		}
	}
}

// key is one of the newest configuration, now and then one that was taken away.
func (c *callers) key(rng *rand.Rand) string {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	change := c.s.configs[len(c.s.configs)-1]
	if rng.IntN(10) == 0 {
		change = c.s.configs[rng.IntN(len(c.s.configs))]
	}
	for key := range change.keys { // in random order
		return key
	}
	return ""
}

// resolve asks any entry for an address and returns the one through which
// callers reach it.
func (c *callers) resolve(rng *rand.Rand) (string, time.Duration, error) {
	n := c.s.entries[rng.IntN(len(c.s.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addr := c.s.addr(n.ip, portDirectory)
	status, body, err := c.client.Call(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: "/resolve?name=soak.example", Host: addr}, 1<<16)
	if err != nil {
		return "", 0, err
	}
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || len(answer.Addresses) == 0 {
		return "", 0, fmt.Errorf("status %d", status)
	}
	ip := netip.MustParseAddrPort(answer.Addresses[rng.IntN(len(answer.Addresses))]).Addr()
	return c.s.addr(c.s.ip(netCaller, int(ip.As4()[3])), portCallers), time.Duration(answer.TTL * float64(time.Second)), nil
}

func (c *callers) send(id, class, address, key string) *attempt {
	entry := c.s.ip(netEntry, int(netip.MustParseAddrPort(address).Addr().As4()[3]))
	a := &attempt{id: id, class: class, entry: c.s.entryAt(entry.String()), key: key, sent: time.Now(), reached: true}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req := &upstream.Request{Method: http.MethodPost, Target: "/" + class + "/x", Host: "soak.example", Body: []byte("body of " + id), Header: http.Header{
		"Request-Id": {id}, "Authorization": {"Bearer " + key}, "Deadline-Ms": {fmt.Sprint(callerPatience.Milliseconds())}}}
	resp, err := c.client.Do(ctx, address, req)
	defer func() { a.ended = time.Now() }()
	if err != nil {
		a.broken, a.reached = true, !upstream.NotSent(err)
		return a
	}
	defer resp.Close()
	a.status = resp.Status
	if got := resp.Header.Get("Request-Id"); got != id {
		a.wrong = fmt.Sprintf("the answer bears the request ID %q", got)
		return a
	}
	if a.status != http.StatusOK {
		_, err := io.Copy(io.Discard, resp)
		a.broken = err != nil
		return a
	}
	if resp.Header.Get("Response-Signature") == "" {
		a.wrong = "a success that no endpoint signed"
		return a
	}
	body, err := io.ReadAll(resp)
	a.broken = err != nil
	if class == "draft" {
		a.wrong = checkStream(id, string(body), err)
	} else if err == nil && string(body) != platformsim.ResponseBody(id) {
		a.wrong = fmt.Sprintf("the body is %q", body)
	}
	return a
}

// checkStream says what is wrong with the events that a caller got.
func checkStream(id, body string, err error) string {
	n := 0
	events := strings.SplitAfter(body, "\n\n")
	for _, event := range events {
		if !strings.HasSuffix(event, "\n\n") {
			if event != "" && err == nil {
				return fmt.Sprintf("a part of an event at the end: %q", event)
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
