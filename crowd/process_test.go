package crowd

import (
	// The tests build the program with a command, whose inputs the test cache doesn't
	// track. With these imports a change to the program invalidates cached results.
	_ "github.com/wasabinotch/wasabinotch/explain"
	_ "github.com/wasabinotch/wasabinotch/node"

	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/settings"
)

// The VM of the process under test, and the limits that its configuration sets for
// callers. They are lower than in use, so that a small crowd is enough.
const (
	vmMemoryMB      = 64
	vmDescriptors   = 512
	maxBodyBytes    = 1 << 20
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
	routeTimeout    = 8 * time.Second
	crowdSize       = 120 // connections
	descriptorCrowd = 600 // connections, more than the VM has descriptors
)

const (
	portStore     = 7000
	portEndpoint  = 7100
	portPeer      = 7300
	portAgent     = portPeer + 2
	portCallers   = 8000
	portReady     = 8001
	portDirectory = 8002
	portMetrics   = 8003
)

const apiKey = "key-1"

var program struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.dir != "" {
		_ = os.RemoveAll(program.dir)
	}
	os.Exit(code)
}

// programPath builds the program on its first call.
func programPath(t *testing.T) string {
	t.Helper()
	program.once.Do(func() {
		if program.dir, program.err = os.MkdirTemp("", "wasabinotch-crowd"); program.err != nil {
			return
		}
		if out, err := exec.Command("go", "build", "-o", program.dir, "../cmd/wasabinotch-node").CombinedOutput(); err != nil {
			program.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if program.err != nil {
		t.Fatal(program.err)
	}
	return filepath.Join(program.dir, "wasabinotch-node")
}

// process is a process under test with a store and an endpoint of its own.
type process struct {
	t      *testing.T
	ip     string
	store  *platformsim.Store
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
	// stop ends the watch of the descriptors; mostDescriptors is valid after stopped.
	stop, stopped   chan struct{}
	mostDescriptors int
	requests        int
}

// start starts a process in a role, and waits until it serves.
func start(t *testing.T, role string) *process {
	t.Helper()
	p := &process{t: t, exited: make(chan struct{}), stop: make(chan struct{}), stopped: make(chan struct{})}
	store := p.claimAddress()
	p.store = store
	t.Cleanup(store.Close)
	p.writeConfig(store)
	startEndpoint(t, p.addr(portEndpoint), store)
	path := p.writeSettings(store)
	p.log = filepath.Join(t.TempDir(), role+".log")
	log, err := os.Create(p.log)
	p.must(err)
	t.Cleanup(func() { _ = log.Close() })
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, vmDescriptors), "sh", programPath(t), role, "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.must(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	if role == "entry" {
		p.awaitAnswer("the entry to be ready", func() error { return p.get(portReady, platform.PathReady) })
		p.awaitAnswer("the first request", func() error { return p.lookup(100) })
	} else {
		p.awaitAnswer("the agent to serve", p.askRank)
	}
	go p.watchDescriptors()
	return p
}

// claimAddress chooses a loopback address that no other run uses, through the port of the
// simulated store.
func (p *process) claimAddress() *platformsim.Store {
	for range 200 {
		p.ip = fmt.Sprintf("127.%d.%d.1", 20+rand.IntN(60), 1+rand.IntN(250))
		if store, err := platformsim.Listen(p.addr(portStore)); err == nil {
			return store
		}
	}
	p.t.Fatal("no free loopback address; wait until other test runs have ended")
	return nil
}

func (p *process) addr(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

// largeConfigBytes is less than the longest value that the platform's store takes.
const largeConfigBytes = 700 << 10

// writeLargeConfig writes a configuration of that size, with many keys of one organisation.
func (p *process) writeLargeConfig() {
	keys := []string{apiKey}
	for n := 0; n < largeConfigBytes; n += len(filler) {
		keys = append(keys, fmt.Sprint(len(keys), filler))
	}
	p.putConfig(p.store, 2, keys)
}

func (p *process) writeConfig(store *platformsim.Store) { p.putConfig(store, 1, []string{apiKey}) }

func (p *process) putConfig(store *platformsim.Store, version int, keys []string) {
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": "crowd.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": routeTimeout.Milliseconds(),
			"target_latency_ms": 2000, "target_gap_ms": 2000, "priority": 0, "service": "desk", "max_attempts": 2}
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("lookup", "idempotent"), route("draft", "streaming")},
		"services": []any{map[string]any{"name": "desk", "max_connections": 400}},
		"tenants":  []any{map[string]any{"name": "menders", "api_keys": keys}},
		"limits": map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes,
			"header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	p.must(err)
	store.Put("op/config", b)
}

func (p *process) writeSettings(store *platformsim.Store) string {
	b, err := json.Marshal(settings.PlatformNode{ID: "node-1", Zone: "z0", IP: p.ip, SourceIP: p.ip, PeerPort: portPeer, StoreAddr: store.Addr(),
		MemoryLimitMB: vmMemoryMB, CallersAddr: p.addr(portCallers), ReadyAddr: p.addr(portReady), DirectoryAddr: p.addr(portDirectory),
		MetricsAddr: p.addr(portMetrics), EndpointAddr: p.addr(portEndpoint), Service: "desk",
		Bounds: settings.Bounds{GracePeriodS: 4, RetryRatio: 0.2, RetrySlack: 60, RetryWindowS: 10, ColdBurstFactor: 1.5, ColdBurstSlack: 5, DirectoryTTLS: 2}})
	p.must(err)
	path := filepath.Join(p.t.TempDir(), "settings.json")
	p.must(os.WriteFile(path, b, 0o600))
	return path
}

// startEndpoint starts an endpoint whose responses are as long, as slow or as incomplete
// as the headers of a request say.
func startEndpoint(t *testing.T, addr string, store *platformsim.Store) {
	t.Helper()
	server, err := listen(addr, http.HandlerFunc(serveEndpoint))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	record, err := json.Marshal(map[string]any{"service": "desk", "address": addr, "zone": "z0", "slots": 200, "state": "ready", "cold_remaining_ms": 0, "born": 1})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("servers/d1", record)
}

// Headers that tell the endpoint what to send. A filler line of a stream has 1,000 bytes.
const (
	headerAnswerBytes = "Answer-Bytes" // length of a single response
	headerEvents      = "Events"       // events of a stream, of one filler line each
	headerFillerLines = "Filler-Lines" // then sends one event of so many lines, without its end, and stays
)

var filler = strings.Repeat("x", 993)

func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	received, err := discard(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed")
	number := func(name string) int {
		n, _ := strconv.Atoi(r.Header.Get(name)) // 0 if it is missing
		return n
	}
	if !strings.HasPrefix(r.URL.Path, "/draft/") {
		if n := number(headerAnswerBytes); n > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(n))
			for ; n > 0; n -= len(filler) {
				if _, err := w.Write([]byte(filler[:min(n, len(filler))])); err != nil {
					return
				}
			}
			return
		}
		_, _ = fmt.Fprintf(w, "received %d bytes", received) // fails only if the sender disconnected
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range number(headerEvents) {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, filler); err != nil {
			return
		}
	}
	for i := range number(headerFillerLines) {
		if i == 0 {
			_, _ = fmt.Fprintf(w, "id: 1000000\n") // a write error shows in the next write
		}
		if _, err := fmt.Fprintf(w, "data: %s\n", filler); err != nil {
			return
		}
	}
	if number(headerFillerLines) > 0 {
		_ = http.NewResponseController(w).Flush() // fails only if the sender disconnected
		<-r.Context().Done()
	}
}

// watchDescriptors samples the number of open descriptors until stop is closed.
func (p *process) watchDescriptors() {
	defer close(p.stopped)
	for {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.mostDescriptors = max(p.mostDescriptors, len(open))
		}
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemoryMB returns the peak resident memory of the process.
func (p *process) peakMemoryMB() float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.must(err)
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if value, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			p.must(err)
			return float64(kb) / 1024
		}
	}
	p.t.Fatal("the process has no peak memory; it has ended")
	return 0
}

// check checks that the process lives and kept to the bounds of its VM.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process ended: %v\n%s", p.cmd.ProcessState, p.logTail())
	default:
	}
	close(p.stop)
	<-p.stopped
	peak := p.peakMemoryMB()
	p.t.Logf("peak memory %.0f of %d MB, at most %d of %d descriptors", peak, vmMemoryMB, p.mostDescriptors, vmDescriptors)
	if peak > vmMemoryMB {
		p.t.Errorf("the process had %.0f MB; its VM has %d", peak, vmMemoryMB)
	}
	if p.mostDescriptors >= vmDescriptors {
		p.t.Errorf("the process had %d open descriptors; its VM has %d", p.mostDescriptors, vmDescriptors)
	}
}

func (p *process) logTail() string {
	b, err := os.ReadFile(p.log)
	p.must(err)
	return string(b[max(0, len(b)-4000):])
}
