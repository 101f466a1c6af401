package proof

import (
	// The daemons are built by a command, which the test cache does not see.
	// These imports make a change to them invalidate cached results.
	_ "github.com/wasabinotch/wasabinotch/agent"
	_ "github.com/wasabinotch/wasabinotch/entry"
	_ "github.com/wasabinotch/wasabinotch/node"

	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// binary builds the daemons once and returns the path of one.
func binary(t *testing.T, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "wasabinotch-proof")
		if binaries.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", binaries.dir, "../cmd/wasabinotch-entry", "../cmd/wasabinotch-agent", "../cmd/wasabinotch-node")
		if out, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return filepath.Join(binaries.dir, name)
}

// node is one daemon process.
type node struct {
	id, zone string
	ip       netip.Addr
	program  string
	args     []string // before the settings
	settings string   // path
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (c *cluster) start(id string) {
	c.t.Helper()
	n := c.nodes[id]
	log, err := os.OpenFile(filepath.Join(c.dir, id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	c.must(err)
	n.log = log
	n.cmd = exec.Command(binary(c.t, n.program), append(slices.Clone(n.args), "--settings", n.settings)...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	c.must(n.cmd.Start())
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.exited)
}

func (c *cluster) signal(id string, s syscall.Signal) { _ = c.nodes[id].cmd.Process.Signal(s) }

func (c *cluster) kill(id string) {
	c.signal(id, syscall.SIGKILL)
	<-c.nodes[id].exited
}

func (c *cluster) freeze(id string) { c.signal(id, syscall.SIGSTOP) }
func (c *cluster) thaw(id string)   { c.signal(id, syscall.SIGCONT) }

// terminate asks for a graceful shutdown and waits for the exit.
func (c *cluster) terminate(id string, within time.Duration) {
	c.t.Helper()
	c.signal(id, syscall.SIGTERM)
	c.awaitExit(id, within)
}

func (c *cluster) awaitExit(id string, within time.Duration) {
	c.t.Helper()
	select {
	case <-c.nodes[id].exited:
	case <-time.After(within):
		c.t.Fatalf("%s did not stop within %v of SIGTERM", id, within)
	}
}
