package crowd

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/wire"
)

// outlast checks that an entry outlasts a crowd at its port for callers: an ordinary
// request is answered while the crowd stays, and one of the greatest legal size after it.
func outlast(t *testing.T, n int, send func(int, io.Writer) error) {
	t.Helper()
	p := start(t, "entry")
	c := p.gather(n, portCallers, send)
	p.awaitAnswer("an ordinary request beside the crowd", func() error { return p.lookup(100) })
	c.leave()
	p.awaitAnswer("a request of the greatest size after the crowd", func() error { return p.lookup(maxBodyBytes) })
	p.check()
}

// The tests guard against an entry that outgrows its VM, or serves nobody else, because
// of what many clients send at once.

func TestWholeBodies(t *testing.T) {
	outlast(t, crowdSize, withLength("/lookup/x", maxBodyBytes, 0, maxBodyBytes))
}

func TestBodiesOneByteShort(t *testing.T) {
	outlast(t, crowdSize, withLength("/lookup/x", maxBodyBytes, 1, maxBodyBytes))
}

func TestBodiesPieceByPiece(t *testing.T) {
	outlast(t, crowdSize, withLength("/lookup/x", maxBodyBytes, 1, 4<<10))
}

func TestLargeChunks(t *testing.T) {
	outlast(t, crowdSize, inChunks("/lookup/x", 64<<10, maxBodyBytes))
}

func TestTinyChunks(t *testing.T) {
	outlast(t, crowdSize, inChunks("/lookup/x", 8, maxBodyBytes/4))
}

func TestBodiesOverTheLimitAnnounced(t *testing.T) {
	outlast(t, crowdSize, withLength("/lookup/x", 1<<30, 1<<30-16<<20, 64<<10))
}

func TestBodiesOverTheLimitSent(t *testing.T) {
	outlast(t, crowdSize, inChunks("/lookup/x", 64<<10, 64<<20))
}

func TestUnreadStreams(t *testing.T) {
	outlast(t, crowdSize, unread(http.MethodPost, "/draft/x", 1, headerEvents+": 16000"))
}

func TestUnreadResponses(t *testing.T) {
	outlast(t, crowdSize, unread(http.MethodPost, "/lookup/x", 4, fmt.Sprintf("%s: %d", headerAnswerBytes, 16<<20)))
}

func TestUnreadShortResponses(t *testing.T) {
	outlast(t, crowdSize, unread(http.MethodPost, "/lookup/x", 200, fmt.Sprintf("%s: %d", headerAnswerBytes, 60<<10)))
}

func TestUnfinishedEvents(t *testing.T) {
	outlast(t, crowdSize, unread(http.MethodPost, "/draft/x", 1, headerFillerLines+": 1000"))
}

func TestIdleConnections(t *testing.T) {
	outlast(t, descriptorCrowd, silent)
}

func TestHalfHeads(t *testing.T) {
	outlast(t, descriptorCrowd, halfHead(http.MethodPost, "/lookup/x", maxHeaderBytes-1024))
}

// port is a port of a process besides the one for callers.
type port struct {
	role         string
	number       int
	method, path string
}

// outlastAtPort checks that a process outlasts crowds at another port, one after the
// other: the port serves while each crowd stays, and so does the one for callers.
func outlastAtPort(t *testing.T, at port) {
	t.Helper()
	p := start(t, at.role)
	ordinary := func() error { return p.get(at.number, at.path) }
	switch {
	case at.path == wire.PathQuarantine:
		ordinary = func() error {
			_, err := p.send(http.MethodPost, at.number, at.path, nil, []byte(`{"service":"desk"}`))
			return err
		}
	case at.path == wire.PathRank:
		ordinary = p.askRank
	}
	for _, kind := range []struct {
		name string
		size int
		send func(int, io.Writer) error
	}{
		{"bodies", crowdSize, withLength(at.path, 4<<20, 1, 64<<10)},
		{"endless chunks", crowdSize, inChunks(at.path, 64<<10, 16<<20)},
		{"tiny chunks", crowdSize, inChunks(at.path, 8, 256<<10)},
		{"long heads", crowdSize, halfHead(at.method, at.path, 1<<20-1024)},
		{"unread responses", crowdSize, unread(at.method, at.path, 2000)},
		{"idle connections", descriptorCrowd, silent},
	} {
		c := p.gather(kind.size, at.number, kind.send)
		p.awaitAnswer("an ordinary request at the port beside the crowd: "+kind.name, ordinary)
		if at.role == "entry" {
			p.awaitAnswer("an ordinary caller's request beside the crowd: "+kind.name, func() error { return p.lookup(100) })
		}
		c.leave()
		t.Logf("%s: peak memory %.0f MB", kind.name, p.peakMemoryMB())
	}
	if at.role == "entry" {
		p.awaitAnswer("a request of the greatest size after the crowds", func() error { return p.lookup(maxBodyBytes) })
	}
	p.check()
}

func TestReadinessPort(t *testing.T) {
	outlastAtPort(t, port{"entry", portReady, http.MethodGet, platform.PathReady})
}

func TestDirectoryPort(t *testing.T) {
	outlastAtPort(t, port{"entry", portDirectory, http.MethodGet, platform.PathDirectory + "?name=crowd.example"})
}

func TestPeerPortOperator(t *testing.T) {
	outlastAtPort(t, port{"entry", portPeer, http.MethodGet, "/operator?after=0"})
}

// Guards against large answers at the port for other entries that nobody reads.
func TestUnreadOperatorState(t *testing.T) {
	p := start(t, "entry")
	p.writeLargeConfig()
	ordinary := func() error {
		state, err := p.send(http.MethodGet, portPeer, "/operator?after=0", nil, nil)
		if err == nil && len(state) < largeConfigBytes {
			err = errors.New("the entry hasn't read the configuration")
		}
		return err
	}
	p.awaitAnswer("the operator's state", ordinary)
	c := p.gather(descriptorCrowd, portPeer, unread(http.MethodGet, "/operator?after=0", 4))
	p.awaitAnswer("the operator's state beside the crowd", ordinary)
	p.awaitAnswer("an ordinary request beside the crowd", func() error { return p.lookup(100) })
	c.leave()
	p.awaitAnswer("a request of the greatest size after the crowd", func() error { return p.lookup(maxBodyBytes) })
	p.check()
}

func TestPeerPortQuarantine(t *testing.T) {
	outlastAtPort(t, port{"entry", portPeer, http.MethodPost, wire.PathQuarantine})
}

func TestEntryMetricsPort(t *testing.T) {
	outlastAtPort(t, port{"entry", portMetrics, http.MethodGet, "/metrics"})
}

func TestAgentRankPort(t *testing.T) {
	outlastAtPort(t, port{"agent", portAgent, http.MethodPost, wire.PathRank})
}

func TestAgentMetricsPort(t *testing.T) {
	outlastAtPort(t, port{"agent", portMetrics, http.MethodGet, "/metrics"})
}
