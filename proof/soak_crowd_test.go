package proof

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// soakCrowdSize is the number of connections of a crowd, soakCrowdBodyBytes the length
	// of its bodies: together more than the memory of a process.
	soakCrowdSize      = 60
	soakCrowdBodyBytes = 4 << 20
	// soakMemoryMB is the memory of the VM of each process.
	soakMemoryMB = 100
)

// crowdKinds are what the clients of a crowd send before they stay without a further byte.
// No request of a crowd is complete, so that none may reach an endpoint.
var crowdKinds = []struct {
	name string
	send func(c net.Conn, head string) error
}{
	{"bodies one byte short", func(c net.Conn, head string) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, soakCrowdBodyBytes); err != nil {
			return err
		}
		return writeBlocks(c, strings.Repeat("x", 64<<10-1), soakCrowdBodyBytes>>16)
	}},
	{"endless chunks", func(c net.Conn, head string) error {
		if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
			return err
		}
		return writeBlocks(c, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", 2*soakCrowdBodyBytes>>16)
	}},
	{"tiny chunks", func(c net.Conn, head string) error {
		if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
			return err
		}
		return writeBlocks(c, strings.Repeat("4\r\nbody\r\n", 1<<10), 64)
	}},
	{"half heads", func(c net.Conn, head string) error {
		_, err := c.Write([]byte(head + strings.Repeat("a:\r\n", 4<<10)))
		return err
	}},
}

func writeBlocks(c net.Conn, block string, count int) error {
	for range count {
		if _, err := c.Write([]byte(block)); err != nil {
			return err
		}
	}
	return nil
}

// crowdEntry lets a crowd of clients send to an entry what it must not keep, and stay for
// some time.
func (c *chaosRunner) crowdEntry() {
	n := c.entries[c.rng.IntN(len(c.entries))]
	release, ok := c.reserve("crowd")
	if !ok {
		return
	}
	kind, d := crowdKinds[c.rng.IntN(len(crowdKinds))], c.randomDuration(time.Second, 4*time.Second)
	c.logEvent("a crowd of %d clients sends %s to %s for %v", soakCrowdSize, kind.name, n.id, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	var sending sync.WaitGroup
	conns := make(chan net.Conn, soakCrowdSize)
	for i := range soakCrowdSize {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", n.addr(portCallers), time.Second)
			if err != nil {
				return // the entry isn't up
			}
			conns <- conn
			// Ends when the entry closes the connection, or when the crowd leaves.
			_ = kind.send(conn, fmt.Sprintf("POST /draft/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: crowd-%d\r\nAuthorization: Bearer key-a-1\r\n", i))
		})
	}
	c.schedule(d, func() {
		c.recordPeak(n)
		for range len(conns) {
			_ = (<-conns).Close() // the entry may have closed it
		}
		go func() {
			sending.Wait()
			close(conns)
			for conn := range conns {
				_ = conn.Close() // it was opened while the crowd left
			}
		}()
		recordEnd()
		release()
	})
}

// recordPeak records the peak memory of a process, which a restart would hide.
func (s *soak) recordPeak(n *node) {
	if peak, running := peakMemoryMB(n.cmd.Process.Pid); running {
		s.peakMemoryMB[n.id] = max(s.peakMemoryMB[n.id], peak)
	}
}

// memoryKept checks the peak memory of the processes: since their last start, and at the
// end of each crowd.
func (o *observations) memoryKept() *checkResult {
	r := &checkResult{guarantee: "processes keep within their memory"}
	for id, n := range o.nodes {
		o.recordPeak(n)
		r.caseCount++
		if peak := o.peakMemoryMB[id]; peak > soakMemoryMB {
			r.addViolation("", "%s had %.0f MB; its VM has %d", id, peak, soakMemoryMB)
		}
	}
	return r
}

// peakMemoryMB returns the peak resident memory of a running process.
func peakMemoryMB(pid int) (float64, bool) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if value, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return float64(kb) / 1024, err == nil
		}
	}
	return 0, false
}
