package limits

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// smallClaimBytes is the size up to which a claim may use the whole budget. Ordinary
	// requests are smaller; larger claims leave them room.
	smallClaimBytes = 64 << 10
	// largePart is the part of the budget that larger claims may fill together.
	largePart = 0.75
	// commonPart is the part of the budget that addresses over ownPart may fill; the rest
	// is left to others, so that a crowd from few addresses can't take all.
	commonPart = 0.875
	ownPart    = 0.125
	// progressBytes, or progressPart of the bytes held if that is more, must arrive within
	// stallTime, otherwise the claim is stalled. Single bytes now and then are no progress.
	progressBytes = 4 << 10
	progressPart  = 1.0 / 16
	stallTime     = 500 * time.Millisecond
	// releaseTime is how long Grow waits for the bytes of revoked claims. Their holders
	// release them at once, except for calls that continue without their caller.
	releaseTime = time.Second
)

// Errors of Claim.Grow. In both cases the claimed bytes have not been added.
var (
	// ErrSpent means that the budget has no room and that nothing may be revoked for it.
	ErrSpent = errors.New("the memory for peers' requests is spent; send the request again later, or raise memory_mb")
	// ErrRevoked means that the claim was revoked to make room for others.
	ErrRevoked = errors.New("the request made least progress while the memory for peers' requests was spent; send it again, without pauses")
)

// Memory is the budget of the bytes that a process holds for its peers. It answers the
// load of many bodies, or responses, that stop before their end and stay. When the budget
// is spent, the claims whose bytes make least progress are revoked, those of the address
// that holds most first; a slow body costs its sender, not its neighbour. Claims without
// anything to wait for from their peer are never revoked. A Memory is safe for concurrent
// use.
type Memory struct {
	size   int64
	report func(Event)
	now    func() time.Time

	mu     sync.Mutex
	freed  sync.Cond // signalled when bytes are released or a claim is revoked
	held   int64
	leave  int64 // bytes of revoked claims that aren't released yet
	claims map[*Claim]struct{}
	hosts  map[string]int64 // bytes by address
}

// NewMemory returns a budget of size bytes; 0 for no bound. report is called for each
// refused and revoked claim, if not nil. It must not block or use the Memory.
func NewMemory(size int64, report func(Event)) *Memory {
	m := &Memory{size: size, report: report, now: time.Now, claims: make(map[*Claim]struct{}), hosts: make(map[string]int64)}
	m.freed.L = &m.mu
	return m
}

// Size returns the size of the budget in bytes, 0 for no bound.
func (m *Memory) Size() int64 { return m.size }

// Held returns the bytes of all claims.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Claim is the part of a Memory that one request, or the head of one, holds.
type Claim struct {
	memory *Memory
	host   string
	revoke func()

	// The fields below are guarded by memory.mu.
	bytes int64
	// waits is set while the peer can be waited for: its body is incomplete, or it
	// doesn't read. Only such a claim may be revoked.
	waits bool
	// complete is set once the peer has sent everything; it can wait to be read then.
	complete bool
	// marked is when the wait began or the claim last progressed, fresh what has arrived
	// since.
	marked  time.Time
	fresh   int64
	revoked bool
}

// Claim returns a claim without bytes of the peer at an address (see Host). It waits for
// its peer, as if Wait had been called. revoke is called at most once, from another
// goroutine, if the claim is revoked; it must not block or use the Memory, and must make
// the goroutine that waits for the peer return, which then calls Release.
func (m *Memory) Claim(host string, revoke func()) *Claim {
	c := &Claim{memory: m, host: host, revoke: revoke, waits: true, marked: m.now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims[c] = struct{}{}
	return c
}

// Grow adds n bytes that are about to be held. If they don't fit, claims with less
// progress are revoked, and Grow waits up to releaseTime until these have released their
// bytes. The error is ErrSpent or ErrRevoked.
func (c *Claim) Grow(n int64) error {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	var giveUp time.Time // zero before the first wait
	for {
		if c.revoked {
			return ErrRevoked
		}
		room := m.room(c, n)
		if m.held+n <= room {
			break
		}
		if m.held-m.leave+n > room {
			victim := m.victim(c)
			if victim == nil {
				m.tell(Event{Limit: LimitMemory, Host: c.host, Refused: true, Held: m.held, Size: m.size})
				return ErrSpent
			}
			m.revokeClaim(victim)
			continue
		}
		switch now := m.now(); {
		case giveUp.IsZero():
			giveUp = now.Add(releaseTime)
			defer time.AfterFunc(releaseTime, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.freed.Broadcast()
			}).Stop()
		case !now.Before(giveUp):
			m.tell(Event{Limit: LimitMemory, Host: c.host, Refused: true, Held: m.held, Size: m.size})
			return ErrSpent
		}
		m.freed.Wait()
	}
	c.add(n)
	return nil
}

// Shrink returns n bytes that are held no longer.
func (c *Claim) Shrink(n int64) {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.add(-n)
	c.memory.freed.Broadcast()
}

// Progress records that n bytes arrived from the peer, or were read by it.
func (c *Claim) Progress(n int64) {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.fresh += n; c.fresh >= max(progressBytes, int64(progressPart*float64(c.bytes))) {
		c.fresh, c.marked = 0, c.memory.now()
	}
}

// Wait begins a wait for the peer, in which the claim may be revoked.
func (c *Claim) Wait() { c.setWaits(true) }

// EndWait ends the wait: the body is complete, or the peer has read.
func (c *Claim) EndWait() { c.setWaits(false) }

func (c *Claim) setWaits(waits bool) {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if waits && !c.waits {
		c.marked, c.fresh = c.memory.now(), 0
	}
	c.waits, c.complete = waits, c.complete || !waits
}

// Revoked reports whether the claim was revoked.
func (c *Claim) Revoked() bool {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.revoked
}

// Bytes returns the bytes that the claim holds.
func (c *Claim) Bytes() int64 {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.bytes
}

// Release ends the claim. Further calls have no effect.
func (c *Claim) Release() {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, held := m.claims[c]; !held {
		return
	}
	c.add(-c.bytes)
	delete(m.claims, c)
	m.freed.Broadcast()
}

// add adds n bytes to the claim and the sums that it is part of. m.mu is held.
func (c *Claim) add(n int64) {
	m := c.memory
	c.bytes += n
	m.held += n
	if c.revoked {
		m.leave += n
	}
	if m.hosts[c.host] += n; m.hosts[c.host] <= 0 {
		delete(m.hosts, c.host)
	}
}

// room returns up to which sum of all bytes a claim may grow by n. m.mu is held.
func (m *Memory) room(c *Claim, n int64) int64 {
	switch size := float64(m.size); {
	case m.size <= 0:
		return m.held + n
	case c.bytes+n > smallClaimBytes:
		return int64(size * largePart)
	case float64(m.hosts[c.host]+n) > size*ownPart:
		return int64(size * commonPart)
	}
	return m.size
}

// victim returns the claim to revoke so that another can grow, nil if there is none. It is
// one of the address that holds most, among those that hold at least as much as the
// address of the growing claim: of the stalled claims the one whose bytes have waited
// longest, weighed by their number. If none is stalled, the incomplete large claim with the
// fewest bytes gives way, which may be the growing one, so that the others can be completed.
// m.mu is held.
func (m *Memory) victim(growing *Claim) *Claim {
	now := m.now()
	var stalled, least *Claim
	var worst float64
	for c := range m.claims {
		if c == growing || c.revoked || !c.waits || c.bytes == 0 || m.hosts[c.host] < m.hosts[growing.host] {
			continue
		}
		waited := now.Sub(c.marked)
		switch {
		case waited >= stallTime:
			cost := float64(c.bytes) * waited.Seconds()
			if stalled == nil || m.hosts[c.host] > m.hosts[stalled.host] || m.hosts[c.host] == m.hosts[stalled.host] && cost > worst {
				stalled, worst = c, cost
			}
		case c.complete || c.bytes <= smallClaimBytes:
		case least == nil || m.hosts[c.host] > m.hosts[least.host] || m.hosts[c.host] == m.hosts[least.host] && c.bytes < least.bytes:
			least = c
		}
	}
	switch {
	case stalled != nil:
		return stalled
	case least != nil && (growing.bytes <= smallClaimBytes || m.hosts[least.host] > m.hosts[growing.host] || least.bytes < growing.bytes):
		return least
	}
	return nil
}

// revokeClaim revokes a claim. m.mu is held.
func (m *Memory) revokeClaim(c *Claim) {
	c.revoked = true
	m.leave += c.bytes
	m.tell(Event{Limit: LimitMemory, Host: c.host, Held: m.held, Size: m.size, Bytes: c.bytes, Waited: m.now().Sub(c.marked)})
	c.revoke()
	m.freed.Broadcast() // it may wait in Grow itself
}

func (m *Memory) tell(e Event) {
	if m.report != nil {
		m.report(e)
	}
}

// Names of limits in events.
const (
	LimitMemory      = "memory"
	LimitConnections = "connections"
	LimitWrite       = "write"
	LimitHead        = "head"
)

// Event is a decision of a Memory or a Connections against a peer.
type Event struct {
	// Limit is one of LimitMemory, LimitConnections, LimitWrite and LimitHead.
	Limit string
	// Host is the peer's address.
	Host string
	// Refused is set if something new was refused, otherwise something was ended.
	Refused bool
	// Held is what was in use, Size the limit: bytes or connections.
	Held, Size int64
	// Bytes is what a revoked claim held, Waited how long it made no progress.
	Bytes  int64
	Waited time.Duration
}

// Action returns "refused" or "ended".
func (e *Event) Action() string {
	if e.Refused {
		return "refused"
	}
	return "ended"
}

// String implements fmt.Stringer.
func (e *Event) String() string {
	return fmt.Sprintf("%s of %s: %d of %d in use", e.Limit, e.Host, e.Held, e.Size)
}
