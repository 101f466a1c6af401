package ownform

import (
	// The tests build the daemons with a command, whose inputs the test cache
	// doesn't track. With these imports a change to the daemons invalidates cached
	// results.
	_ "github.com/wasabinotch/wasabinotch/agent"
	_ "github.com/wasabinotch/wasabinotch/entry"

	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
)

// Limits of the VM of each process. Every case sends more than they allow.
const (
	memoryMB       = 128
	maxDescriptors = 256
	// ownDescriptors is the part of maxDescriptors that clients must leave to the
	// process for its own files and connections.
	ownDescriptors = 16
	// maxBodyBytes is the setting of the entries.
	maxBodyBytes = 4 << 20
)

// readyTimeout and answerTimeout end a test in which a process hangs.
const (
	readyTimeout  = 30 * time.Second
	answerTimeout = 90 * time.Second
)

const (
	modelService = "knots"
	plainService = "desk"
)

var daemons struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if daemons.dir != "" {
		_ = os.RemoveAll(daemons.dir)
	}
	os.Exit(code)
}

// daemonPath builds the daemons on its first call and returns the path of one.
func daemonPath(t *testing.T, name string) string {
	t.Helper()
	daemons.once.Do(func() {
		if daemons.dir, daemons.err = os.MkdirTemp("", "wasabinotch-ownform"); daemons.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", daemons.dir, "../../cmd/wasabinotch-entry", "../../cmd/wasabinotch-agent")
		if out, err := build.CombinedOutput(); err != nil {
			daemons.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if daemons.err != nil {
		t.Fatal(daemons.err)
	}
	return filepath.Join(daemons.dir, name)
}

// process is one daemon. peakDescriptors is the highest number of open file
// descriptors seen.
type process struct {
	name            string
	cmd             *exec.Cmd
	log             string
	exited          chan struct{}
	peakDescriptors int
}

// deployment is an entry, an agent of a model service and one of a plain service, with
// their store and endpoints.
type deployment struct {
	t                    *testing.T
	dir                  string
	config               *deploy.Deployment
	entry, model, plain  *process
	entryHTTP, entryRPC  string
	modelHTTP, modelRPC  string
	plainHTTP, plainRPC  string
	authKey              []byte
	apiKey               string
	samplerStop, sampled chan struct{}
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), samplerStop: make(chan struct{}), sampled: make(chan struct{})}
	config, err := deploy.Plan{
		Name: "crowd", Zones: []string{"z1"}, Entries: 1, ModelAgents: 1, OrderAgents: 1, Organisations: []string{"one"},
		Members: []string{"member"}, Threshold: 1, Operators: []string{"operator"},
		ModelService: modelService, PlainService: plainService, NextAddr: deploy.FreeAddrs(ownAddress()),
	}.Build()
	d.must(err)
	// The endpoints take the whole crowd at a time, so that it is the processes before
	// them that have to bear it.
	for i := range config.Bundle.Services {
		config.Bundle.Services[i].ColdLimit, config.Bundle.Services[i].WarmLimit = 2*bodyCrowd, 2*bodyCrowd
	}
	d.config, d.apiKey = config, config.Organisations[0].APIKey
	d.authKey, err = base64.StdEncoding.DecodeString(config.Entries[0].AuthKey)
	d.must(err)
	store, err := kvsim.Listen(config.Simulators.Store.Addr)
	d.must(err)
	t.Cleanup(store.Close)

	e := config.Entries[0]
	e.VMListAddr, e.MaxBodyBytes, e.MemoryMB = "", maxBodyBytes, memoryMB
	d.entryHTTP, d.entryRPC = e.HTTPAddr, e.RPCAddr
	d.entry = d.startProcess("wasabinotch-entry", e.ID, e)
	for _, a := range config.Agents {
		a.MemoryMB = memoryMB
		startEndpoint(t, a.EndpointAddr)
		p := d.startProcess("wasabinotch-agent", a.ID, a)
		if a.Service == modelService {
			d.model, d.modelHTTP, d.modelRPC = p, a.HTTPAddr, a.RPCAddr
		} else {
			d.plain, d.plainHTTP, d.plainRPC = p, a.HTTPAddr, a.RPCAddr
		}
	}
	d.rollOut()
	d.awaitAnswers(readyTimeout)
	go d.sampleDescriptors()
	return d
}

// ownAddress returns a loopback address that outgoing connections don't use, so that none
// takes a port between the time it was found free and the start of a process.
func ownAddress() string {
	return fmt.Sprintf("127.0.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254))
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// startProcess starts a daemon with at most maxDescriptors file descriptors.
func (d *deployment) startProcess(program, id string, v any) *process {
	d.t.Helper()
	path := filepath.Join(d.dir, id+".json")
	data, err := json.Marshal(v)
	d.must(err)
	d.must(os.WriteFile(path, data, 0o600))
	p := &process{name: id, log: filepath.Join(d.dir, id+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	d.must(err)
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, maxDescriptors), "sh", daemonPath(d.t, program), "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	d.must(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// lastLines returns the end of the process's log.
func (p *process) lastLines() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4<<10):])
}

func (d *deployment) processes() []*process { return []*process{d.entry, d.model, d.plain} }

func (d *deployment) rollOut() {
	d.t.Helper()
	member := d.config.Members[0]
	signature, err := d.config.Bundle.Sign(member.Name, member.Private())
	d.must(err)
	body, err := json.Marshal(&bundle.Signed{Bundle: d.config.Bundle, Signatures: []bundle.Signature{signature}})
	d.must(err)
	d.eventually(readyTimeout, func() error {
		resp, err := http.Post("http://"+d.entryHTTP+api.PathAdminBundle, "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("bundle: %s", resp.Status)
		}
		return nil
	})
}

// eventually repeats f until it returns nil, and ends the test if a process ends first
// or f still fails after within.
func (d *deployment) eventually(within time.Duration, f func() error) {
	d.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil {
			return
		}
		for _, p := range d.processes() {
			if p == nil {
				continue
			}
			select {
			case <-p.exited:
				d.t.Fatalf("%s has ended: %v\n%s", p.name, p.cmd.ProcessState, p.lastLines())
			default:
			}
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("not within %v: %v", within, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ordinaryClient returns a client with an address outside the crowd, which opens a new
// connection for each request.
func ordinaryClient() *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}, Timeout: 5 * time.Second}
	return &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// awaitAnswers sends an ordinary request to each service, as often as a caller would who
// is refused, until each has been answered.
func (d *deployment) awaitAnswers(within time.Duration) {
	d.t.Helper()
	client := ordinaryClient()
	prompt := []byte(`{"prompt":"ordinary","max_tokens":3}`)
	d.eventually(within, func() error { return d.request(client, api.PathGenerate+modelService, prompt, "event: end") })
	d.eventually(within, func() error {
		return d.request(client, api.PathCall+plainService+"/echo", []byte("ordinary"), "8 bytes")
	})
}

// request sends one request and checks that the response is complete.
func (d *deployment) request(client *http.Client, path string, body []byte, want string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.entryHTTP+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+d.apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), want) {
		return fmt.Errorf("%s answered %s: %.200s", path, resp.Status, data)
	}
	return nil
}

// sampleDescriptors records the highest number of open descriptors of each process.
func (d *deployment) sampleDescriptors() {
	defer close(d.sampled)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, p := range d.processes() {
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			if err == nil {
				p.peakDescriptors = max(p.peakDescriptors, len(open))
			}
		}
		select {
		case <-d.samplerStop:
			return
		case <-ticker.C:
		}
	}
}

// checkWithinLimits checks that every process lives and has stayed within its VM.
func (d *deployment) checkWithinLimits() {
	d.t.Helper()
	close(d.samplerStop)
	<-d.sampled
	for _, p := range d.processes() {
		select {
		case <-p.exited:
			d.t.Errorf("%s has ended: %v\n%s", p.name, p.cmd.ProcessState, p.lastLines())
			continue
		default:
		}
		peak, err := peakMemoryMB(p.cmd.Process.Pid)
		d.must(err)
		d.t.Logf("%s: peak memory %d MB of %d, peak descriptors %d of %d", p.name, peak, memoryMB, p.peakDescriptors, maxDescriptors)
		if peak > memoryMB {
			d.t.Errorf("%s took %d MB of a VM with %d MB", p.name, peak, memoryMB)
		}
		if p.peakDescriptors > maxDescriptors-ownDescriptors {
			d.t.Errorf("%s had %d open descriptors of %d, of which clients must leave %d", p.name, p.peakDescriptors, maxDescriptors, ownDescriptors)
		}
	}
}

// peakMemoryMB returns the peak resident memory of a process in megabytes (2^20 bytes),
// rounded up.
func peakMemoryMB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kilobytes, _, found := strings.Cut(rest, "kB")
	if !found {
		return 0, fmt.Errorf("no VmHWM of process %d", pid)
	}
	n, err := strconv.Atoi(strings.TrimSpace(kilobytes))
	return (n + 1023) / 1024, err
}

// startEndpoint starts an endpoint without load reports, for both kinds of services. It
// discards what it receives, so that a large request costs the test no memory.
func startEndpoint(t *testing.T, addr string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/echo", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%d bytes", n)
	})
	mux.HandleFunc("/large", func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for range 1024 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	mux.HandleFunc("/v1/completions", completions)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(mux)
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

// completions streams as many tokens as the request asks for. The fields after the
// prompt are few, so it reads them from the end of the body.
func completions(w http.ResponseWriter, r *http.Request) {
	tail := &tailWriter{}
	_, _ = io.Copy(tail, r.Body)
	_, after, _ := strings.Cut(string(tail.last), `"max_tokens":`)
	digits, _, _ := strings.Cut(after, ",")
	tokens, _ := strconv.Atoi(digits)
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("t", 64)
	for i := range tokens {
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q,\"position\":%d}]}\n\n", text, i); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// tailWriter keeps the last bytes written to it.
type tailWriter struct{ last []byte }

func (w *tailWriter) Write(p []byte) (int, error) {
	const kept = 512
	w.last = append(w.last, p[max(0, len(p)-kept):]...)
	w.last = append([]byte(nil), w.last[max(0, len(w.last)-kept):]...)
	return len(p), nil
}
