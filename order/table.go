package order

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// AgentEpochLength is the time after which an agent's epoch counter advances.
	AgentEpochLength = 10 * time.Minute
	// OpenAgentEpochs is how many epochs an identity may be behind and still be served.
	OpenAgentEpochs = 6

	// defaultMaxBytes bounds records and reservations; it leaves more than
	// half of a node's 64 MB budget to the rest of the agent.
	defaultMaxBytes = 24 << 20
	// closedReserve is room beyond MaxBytes that only closed records use, so
	// that refusals in a full table can still be reported as not run.
	closedReserve = 4 << 20
	// maxAnswerBytes bounds a recorded answer. A larger one goes to the
	// requests that wait for it, and only its status is kept.
	maxAnswerBytes = 32 << 10
	// recordBytes is the memory of one record without identity and answer.
	// Measured: 1,160 bytes for an order with a 49-byte key, an answer of 100
	// bytes and three headers.
	recordBytes = 768
)

// TableConfig configures a Table.
type TableConfig struct {
	Self  Binding
	Clock clockwork.Clock
	Log   logr.Logger
	// MaxBytes bounds the memory of recorded orders. Default 24 MiB.
	MaxBytes int
}

// Table runs each order at most once within one agent process. When
// MaxBytes is reached it refuses new orders; it never forgets a recorded one
// before its epoch closes.
type Table struct {
	cfg     TableConfig
	started time.Time

	mu        sync.Mutex
	own       map[uint64]bool   // incarnations drawn by this process
	orders    map[string]*Order // by scoped identity
	inherited map[inheritedKey]*inheritedOutcome
	whole     map[uint64]wire.WholeOutcomes // by incarnation
	used      int                           // bytes of records and reservations
	heirBytes int                           // bytes of inherited outcomes
	pruned    uint64                        // agent epoch of the last prune
	highest   uint64                        // highest journal epoch seen in a bound key
}

// NewTable returns an empty table of the incarnation cfg.Self.
func NewTable(cfg TableConfig) *Table {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Table{
		cfg:       cfg,
		started:   cfg.Clock.Now(),
		own:       map[uint64]bool{cfg.Self.Incarnation: true},
		orders:    make(map[string]*Order),
		inherited: make(map[inheritedKey]*inheritedOutcome),
		whole:     make(map[uint64]wire.WholeOutcomes),
	}
}

// AgentEpoch returns the agent epoch, which counts from 1 at the start of the
// incarnation on the monotonic clock.
func (t *Table) AgentEpoch() uint64 {
	return uint64(t.cfg.Clock.Since(t.started)/AgentEpochLength) + 1
}

// Claim asks to run, or to join, one order.
type Claim struct {
	Identity Identity
	// ExpectIncarnation is the incarnation to which the sender knows the order to be bound.
	ExpectIncarnation uint64
	// Fingerprint identifies the content, so that one identity stands for one order.
	Fingerprint uint64
}

// Begin looks up the order of a claim. If first is true, the caller must drive
// the returned order to an end; otherwise it waits for Finished. A refusal
// with outcome not_run means that the identity is closed for good.
func (t *Table) Begin(c Claim) (o *Order, first bool, refusal *api.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	if !t.boundHere(c) {
		o, refusal = t.fromInherited(c)
		return o, false, refusal
	}
	if o := t.orders[c.Identity.ScopedKey()]; o != nil {
		if o.fingerprint != c.Fingerprint {
			return nil, false, otherContent()
		}
		o.holders++
		return o, false, nil
	}
	if r := t.checkEpoch(c.Identity); r != nil {
		return nil, false, r
	}
	return t.add(c)
}

// AddIncarnation adds an incarnation that this process drew after its start. Orders
// bound to any of its incarnations share the one table.
func (t *Table) AddIncarnation(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[incarnation] = true
}

// boundHere reports whether the claim may run in this process.
func (t *Table) boundHere(c Claim) bool {
	if !c.Identity.Issued {
		return t.own[c.ExpectIncarnation]
	}
	if c.ExpectIncarnation != 0 && c.ExpectIncarnation != c.Identity.Binding.Incarnation {
		return false
	}
	return c.Identity.Binding.AgentID == t.cfg.Self.AgentID && t.own[c.Identity.Binding.Incarnation]
}

// incarnation is the incarnation to which the claim says the order is bound.
func (c Claim) incarnation() uint64 {
	if c.Identity.Issued {
		return c.Identity.Binding.Incarnation
	}
	return c.ExpectIncarnation
}

// checkEpoch refuses identities of closed epochs. Their records may be
// gone, so the outcome is unknown.
func (t *Table) checkEpoch(id Identity) *api.Refusal {
	if id.Issued {
		current := t.AgentEpoch()
		if id.AgentEpoch > current || id.AgentEpoch+OpenAgentEpochs < current {
			return closedEpoch("agent epoch", id.AgentEpoch, current)
		}
		return nil
	}
	if id.JournalEpoch+1 < t.highest {
		return closedEpoch("journal epoch", id.JournalEpoch, t.highest)
	}
	return nil
}

func (t *Table) add(c Claim) (*Order, bool, *api.Refusal) {
	o := &Order{
		table:       t,
		id:          c.Identity,
		incarnation: c.incarnation(),
		holders:     1,
		fingerprint: c.Fingerprint,
		started:     make(chan struct{}),
		finished:    make(chan struct{}),
	}
	o.reserved = recordBytes + len(c.Identity.ScopedKey()) + maxAnswerBytes
	if t.used+o.reserved > t.cfg.MaxBytes {
		return nil, false, t.refuseFull(o)
	}
	if !c.Identity.Issued && c.Identity.JournalEpoch > t.highest {
		t.highest = c.Identity.JournalEpoch
	}
	t.used += o.reserved
	t.orders[c.Identity.ScopedKey()] = o
	return o, true, nil
}

// refuseFull closes a new order because the table is full. If not even the
// closed record fits, the outcome is unknown, since a late duplicate could run.
func (t *Table) refuseFull(o *Order) *api.Refusal {
	const remedy = "use another agent: ask /v1/resolve for a new order_identity"
	message := fmt.Sprintf("the order table holds %d of %d bytes", t.used, t.cfg.MaxBytes)
	o.reserved = recordBytes + len(o.id.ScopedKey())
	if t.used+o.reserved > t.cfg.MaxBytes+closedReserve {
		return api.Unknown(api.KindOverloaded, message, remedy)
	}
	o.state = StateRefused
	o.refusal = api.NotRun(api.KindOverloaded, message, remedy)
	close(o.started)
	close(o.finished)
	t.used += o.reserved
	t.orders[o.id.ScopedKey()] = o
	r := *o.refusal
	return &r
}

// settle replaces the reservation of an ended order by its real size.
func (t *Table) settle(o *Order) {
	size := recordBytes + len(o.id.ScopedKey())
	if o.answer != nil {
		answer := o.answer.size()
		if answer > maxAnswerBytes {
			o.oversize = true
			answer = 0
		}
		size += answer
	}
	t.used += size - o.reserved
	o.reserved = size
}

// prune removes ended orders of closed epochs. Their identities are refused
// by checkEpoch from then on.
func (t *Table) prune() {
	current := t.AgentEpoch()
	if current == t.pruned {
		return
	}
	t.pruned = current
	for key, o := range t.orders {
		if o.busy() || t.checkEpoch(o.id) == nil {
			continue
		}
		t.used -= o.reserved
		delete(t.orders, key)
	}
	t.pruneInherited()
}

// ActiveOrders returns the number of orders that are queued or running.
func (t *Table) ActiveOrders() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.orders {
		if o.busy() {
			n++
		}
	}
	return n
}

func otherContent() *api.Refusal {
	return api.Unknown(api.KindConflict, "the identity was used for another order with different content", "give each order an identity of its own")
}

func closedEpoch(name string, epoch, current uint64) *api.Refusal {
	message := fmt.Sprintf("%s %d of the identity is closed; the current one is %d", name, epoch, current)
	return api.Unknown(api.KindIdentityClosed, message, "check with the service whether the order took effect; a new order needs a new identity from /v1/resolve")
}
