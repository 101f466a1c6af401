package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

const (
	// deadlyPart is the prompt part that crashes simulated engines.
	deadlyPart = "dead"
	// firstEventTime is how long a simulated engine takes to begin a stream, and
	// restartTime how long it is down after a crash.
	firstEventTime = 30 * time.Millisecond
	restartTime    = 400 * time.Millisecond
)

// crashLog records the requests with the deadly part that reach engines.
type crashLog struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// after returns the arrivals later than a delay after the n-th crash, counted from 1.
func (l *crashLog) after(n int, delay time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.arrivals {
		if len(l.crashes) >= n && at.After(l.crashes[n-1].Add(delay)) {
			count++
		}
	}
	return count
}

func (l *crashLog) crashCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)
}

// crashingEngine is an endpoint that crashes when it begins to answer a prompt with
// the deadly part, and restarts.
type crashingEngine struct {
	name   string
	sim    *platformsim.Store
	log    *crashLog
	server *simhttp.Server
	starts int
}

// startCrashingEngines starts a simulated store with a configuration and n engines.
func startCrashingEngines(t *testing.T, n int) (*platformsim.Store, *crashLog) {
	t.Helper()
	sim, err := platformsim.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sim.Close)
	sim.Put("op/config", []byte(streamConfig))
	log := &crashLog{}
	for i := range n {
		e := &crashingEngine{name: fmt.Sprint("i", i), sim: sim, log: log}
		if e.server, err = simhttp.Listen("127.0.0.1:0", e); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.server.Close)
		e.register()
	}
	return sim, log
}

// register writes the record of a new incarnation.
func (e *crashingEngine) register() {
	e.starts++
	e.sim.Put(fmt.Sprintf("servers/%s-%d", e.name, e.starts), []byte(fmt.Sprintf(
		`{"service":"s","address":%q,"zone":"z1","slots":8,"state":"ready","cold_remaining_ms":0,"born":%d}`, e.server.Addr(), e.starts)))
}

func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadly := strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart+":")
	if deadly {
		e.log.mu.Lock()
		e.log.arrivals = append(e.log.arrivals, time.Now())
		e.log.mu.Unlock()
	}
	select {
	case <-time.After(firstEventTime):
	case <-r.Context().Done():
		return
	}
	if deadly {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "sig")
	for i := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

func (e *crashingEngine) crash() {
	e.log.mu.Lock()
	e.log.crashes = append(e.log.crashes, time.Now())
	e.log.mu.Unlock()
	e.server.Stop() // the listener closes no later than the connection, as in a crash
	go func() {
		time.Sleep(restartTime)
		e.sim.Remove(fmt.Sprintf("servers/%s-%d", e.name, e.starts))
		if e.server.Start() == nil {
			e.register()
		}
	}()
}

const streamConfig = `{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"streaming","resumable":true,` +
	`"timeout_ms":2000,"target_latency_ms":400,"service":"s","max_attempts":2}],"services":[{"name":"s"}]}`

// sendPrompt sends a request with the given prompt parts and reports whether its
// stream begins, and the status.
func (e *testEntry) sendPrompt(t *testing.T, id, parts string) (began bool, status int) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallersAddr+"/x/1", strings.NewReader("b"))
	if err != nil {
		t.Error(err)
		return false, 0
	}
	r.Host = "h.example"
	r.Header = http.Header{"Request-Id": {id}, "Prompt-Prefix": {parts}, "Deadline-Ms": {"2000"}}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false, 0
	}
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	_, _ = io.Copy(io.Discard, resp.Body) // a stream that breaks off later has begun
	return err == nil && strings.HasPrefix(line, "id:"), resp.StatusCode
}

// The users' platform allows at most lateBound requests with a deadly part to reach
// endpoints later than noticeTime after crash number crashBound.
const (
	crashBound = 5
	noticeTime = 3 * time.Second
	lateBound  = 3
)

// Guards against entries that send prompts with a part on which endpoints crash to one endpoint after the other.
func TestDeadlyPromptPartIsKeptFromEndpoints(t *testing.T) {
	is := is.New(t)
	sim, log := startCrashingEngines(t, 4)
	var entries []*testEntry
	for _, id := range []string{"a", "b", "c"} {
		entries = append(entries, startEntry(t, id, sim.Addr()))
	}
	for i, e := range entries {
		eventually(t, "a stream is served", func() bool { began, _ := e.sendPrompt(t, fmt.Sprint("warm", i), "shared:40,own:100"); return began })
		eventually(t, "all entries are known", func() bool { return len(e.resolve(t)) == len(entries) })
	}

	const duration = 9 * time.Second
	var senders sync.WaitGroup
	end := time.Now().Add(duration)
	senders.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			entries[i%len(entries)].sendPrompt(t, fmt.Sprint("deadly", i), fmt.Sprintf("shared:40,%s:30,own%d:100", deadlyPart, i))
			time.Sleep(100 * time.Millisecond)
		}
	})
	sound, begun := 0, 0
	for i := 0; time.Now().Before(end); i++ {
		began, _ := entries[(i+1)%len(entries)].sendPrompt(t, fmt.Sprint("sound", i), fmt.Sprintf("shared:40,own%d:100", i))
		if time.Now().After(end.Add(-2 * time.Second)) {
			if sound++; began {
				begun++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	senders.Wait()
	t.Logf("%d crashes, %d requests with the part later than %v after crash %d; %d of %d sound requests begun at the end",
		log.crashCount(), log.after(crashBound, noticeTime), noticeTime, crashBound, begun, sound)
	is.True(log.after(crashBound, noticeTime) <= lateBound)
	is.True(2*begun >= sound) // sound requests with the same first part are served
}

// Guards against entries that forget the held parts when all of them restart.
func TestHeldPartsSurviveARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	sim, log := startCrashingEngines(t, 2)
	a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
	for _, e := range []*testEntry{a, b} {
		eventually(t, "a stream is served", func() bool { began, _ := e.sendPrompt(t, "warm", "shared:40,own:100"); return began })
	}
	a.sendPrompt(t, "deadly1", "shared:40,"+deadlyPart+":30,own:100")
	is.Equal(log.crashCount(), 1)
	time.Sleep(3 * holdCheckInterval) // the hold is in the store
	a.stop()
	b.stop()
	is.NoErr(<-a.done)
	is.NoErr(<-b.done)

	c := startEntry(t, "c", sim.Addr())
	eventually(t, "a stream is served again", func() bool { began, _ := c.sendPrompt(t, "sound", "shared:40,own:100"); return began })
	_, status := c.sendPrompt(t, "deadly2", "shared:40,"+deadlyPart+":30,own:100")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(log.crashCount(), 1)
}

// Guards against entries that forget, when all of them restart, which of two parts may have
// crashed an endpoint, and send a prompt with both to a second one.
func TestSuspectsSurviveARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	sim, log := startCrashingEngines(t, 2)
	a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
	for _, e := range []*testEntry{a, b} {
		eventually(t, "a stream is served", func() bool { began, _ := e.sendPrompt(t, "warm", "shared:40,own:100"); return began })
	}
	prompt := "sound:20," + deadlyPart + ":30,own:100"
	a.sendPrompt(t, "deadly1", prompt)
	is.Equal(log.crashCount(), 1)
	time.Sleep(3 * holdCheckInterval)
	a.stop()
	b.stop()
	is.NoErr(<-a.done)
	is.NoErr(<-b.done)

	c := startEntry(t, "c", sim.Addr())
	eventually(t, "a stream is served again", func() bool { began, _ := c.sendPrompt(t, "other", "shared:40,own:100"); return began })
	_, status := c.sendPrompt(t, "deadly2", prompt)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(log.crashCount(), 1)
	eventually(t, "the sound one is tried and served", func() bool { began, _ := c.sendPrompt(t, "sound", "sound:20,own:100"); return began })
	_, status = c.sendPrompt(t, "deadly3", prompt)
	is.Equal(status, http.StatusServiceUnavailable) // the other one is the only suspect left
	is.Equal(log.crashCount(), 1)
	eventually(t, "the record is gone, and the deadly part is held", func() bool {
		return !sim.Has(holdKey("s", "i0-1@1")) && !sim.Has(holdKey("s", "i1-1@1")) && sim.Has(holdKey("s", deadlyPart))
	})
}
