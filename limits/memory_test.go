package limits

import (
	"bytes"
	"errors"
	"io"
	"math"
	"runtime"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const kib = 1 << 10

// peer is a peer whose body arrives by calls of arrive.
type peer struct {
	claim   *Claim
	revoked bool
}

func newPeer(m *Memory, host string) *peer {
	p := &peer{}
	p.claim = m.Claim(host, func() { p.revoked = true })
	return p
}

// arrive lets n bytes arrive, and returns the error of the claim.
func (p *peer) arrive(n int64) error {
	err := p.claim.Grow(n)
	if err == nil {
		p.claim.Progress(n)
	}
	return err
}

// leaveWhenRevoked releases the claim once it is revoked, as the goroutine that reads from the peer does.
func (p *peer) leaveWhenRevoked(m *Memory) {
	m.mu.Lock()
	revoke := p.claim.revoke
	p.claim.revoke = func() { revoke(); go p.claim.Release() }
	m.mu.Unlock()
}

// Guards against a body that stops before its end and is kept while a neighbour's is refused.
func TestStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events []Event
		m := NewMemory(1024*kib, func(e Event) { events = append(events, e) })
		stalled, growing := newPeer(m, "a"), newPeer(m, "a")
		stalled.leaveWhenRevoked(m)
		is.NoErr(stalled.arrive(700 * kib))
		time.Sleep(time.Second)
		is.NoErr(growing.arrive(700 * kib))
		is.True(stalled.revoked)
		is.True(errors.Is(stalled.claim.Grow(1), ErrRevoked))
		is.Equal(m.Held(), int64(700*kib))
		is.Equal(len(events), 1)
		is.Equal(events[0].Bytes, int64(700*kib))
	})
}

// Guards against a crowd from one address that costs a caller at another its request.
func TestBodyOfTheAddressThatHoldsMostGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		var crowd []*peer
		for range 6 {
			p := newPeer(m, "crowd")
			p.leaveWhenRevoked(m)
			is.NoErr(p.arrive(100 * kib))
			crowd = append(crowd, p)
		}
		single := newPeer(m, "single")
		is.NoErr(single.arrive(100 * kib))
		time.Sleep(time.Second)
		// The single one has waited as long, but its address holds less.
		is.NoErr(crowd[0].arrive(100 * kib))
		is.True(!single.revoked)
		is.NoErr(single.arrive(200 * kib))
		is.True(!single.revoked)
	})
}

// Guards against many bodies that arrive at once and displace each other, so that none is
// ever complete.
func TestBodiesThatProgressAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		const size = 256 * kib
		complete, refused := 0, 0
		var peers []*peer
		for range 20 {
			p := newPeer(m, "a")
			p.leaveWhenRevoked(m)
			peers = append(peers, p)
		}
		for len(peers) > 0 {
			var open []*peer
			for _, p := range peers {
				err := p.arrive(32 * kib)
				switch {
				case err != nil:
					p.claim.Release()
					refused++
				case p.claim.Bytes() >= size:
					p.claim.Release()
					complete++
				default:
					open = append(open, p)
				}
				time.Sleep(time.Millisecond)
			}
			peers = open
		}
		is.True(complete >= 3) // as many as fit into the part for large bodies
		is.Equal(complete+refused, 20)
	})
}

// Guards against a peer that keeps a large body by sending single bytes.
func TestTricklingBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		trickling := newPeer(m, "a")
		trickling.leaveWhenRevoked(m)
		is.NoErr(trickling.arrive(700 * kib))
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			trickling.claim.Progress(1 * kib)
		}
		is.NoErr(newPeer(m, "a").arrive(100 * kib))
		is.True(trickling.revoked)
	})
}

// Guards against large requests that leave ordinary ones no room, and against a claim that
// is revoked although its peer has sent everything.
func TestCompleteBodiesLeaveRoomForOrdinaryRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		large := newPeer(m, "a")
		is.NoErr(large.arrive(768 * kib))
		large.claim.EndWait()
		time.Sleep(time.Minute)
		is.True(errors.Is(newPeer(m, "b").arrive(100*kib), ErrSpent))
		is.True(!large.revoked)
		// The address that holds most leaves others the last part.
		is.NoErr(newPeer(m, "a").arrive(32 * kib))
		is.NoErr(newPeer(m, "a").arrive(64 * kib))
		is.NoErr(newPeer(m, "a").arrive(32 * kib))
		is.True(errors.Is(newPeer(m, "a").arrive(32*kib), ErrSpent))
		is.NoErr(newPeer(m, "b").arrive(32 * kib))
	})
}

// Guards against a response that is ended in the middle although its caller reads it.
func TestResponseThatIsReadStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		read, unread := newPeer(m, "a"), newPeer(m, "a")
		is.NoErr(unread.arrive(300 * kib))
		is.NoErr(read.arrive(300 * kib))
		read.claim.EndWait()
		unread.claim.EndWait()
		unread.claim.Wait()
		unread.leaveWhenRevoked(m)
		time.Sleep(time.Second)
		read.claim.Wait() // it is written just now
		other := newPeer(m, "a")
		is.NoErr(other.arrive(100 * kib))
		other.claim.EndWait()
		is.True(!unread.revoked) // there was room
		is.NoErr(newPeer(m, "a").arrive(200 * kib))
		is.True(unread.revoked)
		time.Sleep(stallTime / 2)
		is.True(errors.Is(newPeer(m, "a").arrive(400*kib), ErrSpent))
		is.True(!read.revoked)
	})
}

// Guards against bytes of a revoked claim that count as free while they are still held.
func TestGrowWaitsForRevokedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		stalled, growing := newPeer(m, "a"), newPeer(m, "a")
		is.NoErr(stalled.arrive(700 * kib))
		time.Sleep(time.Second)
		done := make(chan error, 1)
		go func() { done <- growing.arrive(700 * kib) }()
		synctest.Wait()
		is.True(stalled.revoked)
		is.Equal(len(done), 0)
		stalled.claim.Release()
		synctest.Wait()
		is.NoErr(<-done)
		growing.claim.Release()
		is.Equal(m.Held(), int64(0))
		is.Equal(len(m.hosts), 0)
	})
}

// Guards against a Memory without a size that refuses or revokes anything.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	m := NewMemory(0, nil)
	for range 10 {
		is.NoErr(newPeer(m, "a").arrive(1 << 40))
	}
}

// Guards against a body that is read with more memory than it claims: announced but not
// arrived, or copied while it grows.
func TestReadBodyClaimsWhatItAllocates(t *testing.T) {
	is := is.New(t)
	for _, length := range []int64{1000, 5000, 1 << 20, -1} {
		size := length
		if size < 0 {
			size = 1 << 20
		}
		m := NewMemory(0, nil)
		c := m.Claim("a", func() {})
		content := bytes.Repeat([]byte("0123456789"), int(size)/10+1)[:size]
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		b, err := ReadBody(iotest.OneByteReader(bytes.NewReader(content)), length, 2<<20, c)
		runtime.ReadMemStats(&after)
		is.NoErr(err)
		is.True(int64(after.TotalAlloc-before.TotalAlloc) <= c.Bytes()+c.Bytes()/4+64*kib) // the rest are size classes and this test's own
		got, err := io.ReadAll(b.Reader())
		is.NoErr(err)
		is.True(bytes.Equal(got, content))
		is.True(c.Bytes() <= 2*size+minSegmentBytes)
	}
	c := NewMemory(0, nil).Claim("a", func() {})
	_, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 1<<30, 0, c)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(c.Bytes() <= minSegmentBytes)
}

// Guards against a body over the limit that is accepted, or read to its end.
func TestReadBodyLimit(t *testing.T) {
	is := is.New(t)
	c := NewMemory(0, nil).Claim("a", func() {})
	_, err := ReadBody(bytes.NewReader(nil), 101, 100, c)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = ReadBody(bytes.NewReader(make([]byte, 101)), -1, 100, c)
	is.True(errors.Is(err, ErrTooLarge))
	b, err := ReadBody(bytes.NewReader(make([]byte, 100)), -1, 100, c)
	is.NoErr(err)
	is.Equal(b.Len(), int64(100))
	_, err = ReadBody(io.MultiReader(bytes.NewReader(make([]byte, 10)), neverEnding{}), -1, 1<<20, c)
	is.True(errors.Is(err, ErrTooLarge))
}

type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an announced length whose sum with a byte overflows.
func TestReadBodyOfGreatestLength(t *testing.T) {
	is := is.New(t)
	m := NewMemory(0, nil)
	c := m.Claim("a", func() {})
	_, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), math.MaxInt64, 0, c)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(m.Held(), int64(minSegmentBytes))
	c.Release()
	c = m.Claim("a", func() {})
	_, err = ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), -1, math.MaxInt64, c)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(m.Held(), int64(minSegmentBytes))
}

// Guards against a request that waits for the bytes of a revoked claim for as long as its
// holder runs, which may be a call that continues without its caller.
func TestGrowGivesUpOnRevokedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		stays, growing := newPeer(m, "a"), newPeer(m, "a")
		is.NoErr(stays.arrive(700 * kib))
		time.Sleep(time.Second)
		done := make(chan error, 1)
		go func() { done <- growing.arrive(700 * kib) }()
		synctest.Wait()
		is.True(stays.revoked)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(done), 1)
		stays.claim.Release()
		is.True(errors.Is(<-done, ErrSpent))
		is.NoErr(growing.arrive(700 * kib))
	})
}
