package proof

import (
	// The tests build the daemons with a command, whose inputs the test cache
	// doesn't track. With these imports a change to the daemons invalidates cached
	// results.
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

var builtDaemons struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if builtDaemons.dir != "" {
		_ = os.RemoveAll(builtDaemons.dir)
	}
	os.Exit(code)
}

// daemonPath builds all daemons on its first call and returns the path of one.
func daemonPath(t *testing.T, name string) string {
	t.Helper()
	builtDaemons.once.Do(func() {
		builtDaemons.dir, builtDaemons.err = os.MkdirTemp("", "wasabinotch-proof")
		if builtDaemons.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", builtDaemons.dir, "../cmd/wasabinotch-entry", "../cmd/wasabinotch-agent", "../cmd/wasabinotch-node")
		if out, err := build.CombinedOutput(); err != nil {
			builtDaemons.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if builtDaemons.err != nil {
		t.Fatal(builtDaemons.err)
	}
	return filepath.Join(builtDaemons.dir, name)
}

// node is one daemon process.
type node struct {
	id, zone     string
	ip           netip.Addr
	program      string
	args         []string // precede --settings
	settingsPath string
	cmd          *exec.Cmd
	logFile      *os.File
	exited       chan struct{} // closed when the process has exited
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (c *cluster) startNode(id string) {
	c.t.Helper()
	n := c.nodes[id]
	log, err := os.OpenFile(filepath.Join(c.dir, id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	c.must(err)
	n.logFile = log
	n.cmd = exec.Command(daemonPath(c.t, n.program), append(slices.Clone(n.args), "--settings", n.settingsPath)...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	c.must(n.cmd.Start())
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.exited)
}

func (c *cluster) signalNode(id string, s syscall.Signal) { _ = c.nodes[id].cmd.Process.Signal(s) }

func (c *cluster) killNode(id string) {
	c.signalNode(id, syscall.SIGKILL)
	<-c.nodes[id].exited
}

func (c *cluster) freezeNode(id string) { c.signalNode(id, syscall.SIGSTOP) }
func (c *cluster) resumeNode(id string) { c.signalNode(id, syscall.SIGCONT) }

// terminateNode sends SIGTERM and waits for the exit.
func (c *cluster) terminateNode(id string, within time.Duration) {
	c.t.Helper()
	c.signalNode(id, syscall.SIGTERM)
	c.awaitExit(id, within)
}

func (c *cluster) awaitExit(id string, within time.Duration) {
	c.t.Helper()
	select {
	case <-c.nodes[id].exited:
	case <-time.After(within):
		c.t.Fatalf("%s has not exited after SIGTERM; waited %v", id, within)
	}
}
