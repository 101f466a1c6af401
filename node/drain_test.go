package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/settings"
)

// workEndpoint starts an endpoint that answers after the time in the request's header
// Work-Ms. ran reports whether it got a request with an ID.
func workEndpoint(t *testing.T) (addr net.Addr, ran func(id string) bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	ids := make(map[string]bool)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ids[id] = true
		mu.Unlock()
		ms, _ := strconv.Atoi(r.Header.Get("Work-Ms")) // other requests take no time
		time.Sleep(time.Duration(ms) * time.Millisecond)
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Signature", "sig")
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr(), func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return ids[id]
	}
}

// Guards against requests that a stopping entry accepts late and aborts when it exits, and against refusing
// those that end before.
func TestDrainAbortsNoRequestThatItAcceptedLate(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	endpoint, ran := workEndpoint(t)
	sim.Put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":6000,"service":"s","max_attempts":2}],"services":[{"name":"s"}],"tenants":[{"name":"o","api_keys":["k1"]}]}`))
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":64,"state":"ready","cold_remaining_ms":0}`, endpoint)))
	entry := startEntryWith(t, "a", sim.Addr(), func(b *settings.Bounds) { b.GracePeriodS = 8 })
	eventually(t, "an order is served", func() bool { return entry.sendOrder(t, "k1") == http.StatusOK })

	type class struct {
		name           string
		sent           time.Duration // after the stop
		work, deadline time.Duration
		mayBeRefused   bool
	}
	classes := []class{
		{"early", time.Second, 5 * time.Second, 8 * time.Second, false},
		{"late", 3200 * time.Millisecond, 5 * time.Second, 8 * time.Second, true},
		{"later", 3900 * time.Millisecond, 5 * time.Second, 8 * time.Second, true},
		{"short", 4500 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond, false},
	}
	const callers = 4                                // of each class
	running, exit := context.WithCancel(t.Context()) // a process that exits closes its connections
	entry.stop()
	go func() {
		if err := <-entry.done; err != nil {
			t.Error(err)
		}
		exit()
	}()
	var wait sync.WaitGroup
	for _, c := range classes {
		for i := range callers {
			wait.Go(func() {
				time.Sleep(c.sent)
				id := fmt.Sprint(c.name, i)
				r, _ := http.NewRequestWithContext(running, http.MethodPost, "http://"+entry.settings.CallersAddr+"/x/1", nil)
				r.Host, r.Close = "h.example", true
				r.Header = http.Header{"Request-Id": {id}, "Authorization": {"Bearer k1"}, "Work-Ms": {fmt.Sprint(c.work.Milliseconds())}, "Deadline-Ms": {fmt.Sprint(c.deadline.Milliseconds())}}
				began := time.Now()
				resp, err := http.DefaultTransport.RoundTrip(r)
				took := time.Since(began)
				if err != nil {
					t.Errorf("%s: no answer after %v: %v", id, took, err)
					return
				}
				resp.Body.Close()
				switch refused := resp.StatusCode == http.StatusServiceUnavailable; {
				case refused && c.mayBeRefused:
					if ran(id) || took > time.Second {
						t.Errorf("%s: refused after %v, ran: %v", id, took, ran(id))
					}
				case resp.StatusCode != http.StatusOK:
					t.Errorf("%s: status %d after %v", id, resp.StatusCode, took)
				}
			})
		}
	}
	wait.Wait()
	<-running.Done()
}
