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
	// AgentEpochLength is the interval at which an agent's epoch counter advances.
	AgentEpochLength = 10 * time.Minute
	// OpenAgentEpochs is the number of epochs by which an identity may lag and still
	// be accepted.
	OpenAgentEpochs = 6

	// defaultTableBytes bounds records and reservations. It leaves more than half of
	// a node's memory budget of 64 MB to the rest of the agent.
	defaultTableBytes = 24 << 20
	// refusedReserveBytes is capacity beyond MaxBytes that only records of refused
	// orders use, so that refusals by a full table can still be reported as not run.
	refusedReserveBytes = 4 << 20
	// maxResponseBytes bounds a recorded response. A larger one is returned to the
	// requests that wait for it; after that, only the fact that the order ran is
	// kept.
	maxResponseBytes = 32 << 10
	// recordOverheadBytes is the memory of one record without identity and response.
	// In total, an order with a 49-byte key, a response of 100 bytes and three
	// headers takes 1,160 bytes.
	recordOverheadBytes = 768
)

// TableConfig configures a Table.
type TableConfig struct {
	Self  Binding
	Clock clockwork.Clock
	Log   logr.Logger
	// MaxBytes bounds the memory of recorded orders; 0 means 24 MiB.
	MaxBytes int
}

// Table runs each order at most once within one agent process. When MaxBytes is
// reached, it refuses new orders; it never removes a record before the record's
// epoch closes.
type Table struct {
	cfg       TableConfig
	startedAt time.Time

	mu                  sync.Mutex
	incarnations        map[uint64]bool   // incarnations of this process
	orders              map[string]*Order // by scoped key
	imported            map[importedKey]*importedOutcome
	complete            map[uint64]wire.WholeOutcomes // by incarnation of the agent that handed over its outcomes
	usedBytes           int                           // bytes of records and reservations
	importedBytes       int                           // bytes of imported outcomes
	prunedEpoch         uint64                        // agent epoch of the last pruning
	highestJournalEpoch uint64                        // highest journal epoch of a recorded caller-chosen key
}

// NewTable returns an empty table for the incarnation cfg.Self.
func NewTable(cfg TableConfig) *Table {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultTableBytes
	}
	return &Table{
		cfg:          cfg,
		startedAt:    cfg.Clock.Now(),
		incarnations: map[uint64]bool{cfg.Self.Incarnation: true},
		orders:       make(map[string]*Order),
		imported:     make(map[importedKey]*importedOutcome),
		complete:     make(map[uint64]wire.WholeOutcomes),
	}
}

// AgentEpoch returns the current agent epoch. It counts from 1 at the creation of
// the table, on the monotonic clock.
func (t *Table) AgentEpoch() uint64 {
	return uint64(t.cfg.Clock.Since(t.startedAt)/AgentEpochLength) + 1
}

// Claim is a request to run one order, or to join it if it is already recorded.
type Claim struct {
	Identity Identity
	// ExpectIncarnation is the incarnation to which the sender knows the order to be
	// bound; 0 if the sender does not state it.
	ExpectIncarnation uint64
	// Fingerprint identifies the content, so that the use of one identity for two
	// different orders is detected.
	Fingerprint uint64
}

// Begin looks up the order of a claim and creates it if it is new. If first is true,
// the caller must bring the returned order to an end; otherwise it waits for
// Finished. A refusal with outcome not_run means that the identity is closed
// permanently.
func (t *Table) Begin(c Claim) (o *Order, first bool, refusal *api.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneOrders()
	if !t.isBoundHere(c) {
		o, refusal = t.fromImported(c)
		return o, false, refusal
	}
	if o := t.orders[c.Identity.ScopedKey()]; o != nil {
		if o.fingerprint != c.Fingerprint {
			return nil, false, contentConflictRefusal()
		}
		o.holders++
		return o, false, nil
	}
	if r := t.checkEpoch(c.Identity); r != nil {
		return nil, false, r
	}
	return t.addOrder(c)
}

// AddIncarnation adds an incarnation that this process generated after its start.
// The orders of all its incarnations share the table.
func (t *Table) AddIncarnation(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnations[incarnation] = true
}

// isBoundHere reports whether the claimed order is bound to an incarnation of this
// process.
func (t *Table) isBoundHere(c Claim) bool {
	if !c.Identity.Issued {
		return t.incarnations[c.ExpectIncarnation]
	}
	if c.ExpectIncarnation != 0 && c.ExpectIncarnation != c.Identity.Binding.Incarnation {
		return false
	}
	return c.Identity.Binding.AgentID == t.cfg.Self.AgentID && t.incarnations[c.Identity.Binding.Incarnation]
}

// incarnation returns the incarnation to which the order is bound according to the
// claim.
func (c Claim) incarnation() uint64 {
	if c.Identity.Issued {
		return c.Identity.Binding.Incarnation
	}
	return c.ExpectIncarnation
}

// checkEpoch refuses identities of closed epochs. Their records may have been
// removed, so the outcome is unknown.
func (t *Table) checkEpoch(id Identity) *api.Refusal {
	if id.Issued {
		current := t.AgentEpoch()
		if id.AgentEpoch > current || id.AgentEpoch+OpenAgentEpochs < current {
			return closedEpochRefusal("agent epoch", id.AgentEpoch, current)
		}
		return nil
	}
	if id.JournalEpoch+1 < t.highestJournalEpoch {
		return closedEpochRefusal("journal epoch", id.JournalEpoch, t.highestJournalEpoch)
	}
	return nil
}

func (t *Table) addOrder(c Claim) (*Order, bool, *api.Refusal) {
	o := &Order{
		table:       t,
		id:          c.Identity,
		incarnation: c.incarnation(),
		holders:     1,
		fingerprint: c.Fingerprint,
		started:     make(chan struct{}),
		finished:    make(chan struct{}),
	}
	o.reservedBytes = recordOverheadBytes + len(c.Identity.ScopedKey()) + maxResponseBytes
	if t.usedBytes+o.reservedBytes > t.cfg.MaxBytes {
		return nil, false, t.refuseTableFull(o)
	}
	if !c.Identity.Issued && c.Identity.JournalEpoch > t.highestJournalEpoch {
		t.highestJournalEpoch = c.Identity.JournalEpoch
	}
	t.usedBytes += o.reservedBytes
	t.orders[c.Identity.ScopedKey()] = o
	return o, true, nil
}

// refuseTableFull refuses a new order because the table is full, and records the
// refusal. If there is no capacity even for that record, the outcome is unknown,
// since a late duplicate could run.
func (t *Table) refuseTableFull(o *Order) *api.Refusal {
	const remedy = "use another agent: ask /v1/resolve for a new order_identity"
	message := fmt.Sprintf("the order table holds %d of %d bytes", t.usedBytes, t.cfg.MaxBytes)
	o.reservedBytes = recordOverheadBytes + len(o.id.ScopedKey())
	if t.usedBytes+o.reservedBytes > t.cfg.MaxBytes+refusedReserveBytes {
		return api.Unknown(api.KindOverloaded, message, remedy)
	}
	o.state = StateRefused
	o.refusal = api.NotRun(api.KindOverloaded, message, remedy)
	close(o.started)
	close(o.finished)
	t.usedBytes += o.reservedBytes
	t.orders[o.id.ScopedKey()] = o
	r := *o.refusal
	return &r
}

// releaseReservation replaces the reservation of an ended order by the size of its
// record.
func (t *Table) releaseReservation(o *Order) {
	size := recordOverheadBytes + len(o.id.ScopedKey())
	if o.response != nil {
		responseBytes := o.response.size()
		if responseBytes > maxResponseBytes {
			o.oversize = true
			responseBytes = 0
		}
		size += responseBytes
	}
	t.usedBytes += size - o.reservedBytes
	o.reservedBytes = size
}

// pruneOrders removes the ended orders of closed epochs and the expired imported
// outcomes. checkEpoch refuses the identities of closed epochs from then on.
func (t *Table) pruneOrders() {
	current := t.AgentEpoch()
	if current == t.prunedEpoch {
		return
	}
	t.prunedEpoch = current
	for key, o := range t.orders {
		if o.isActive() || t.checkEpoch(o.id) == nil {
			continue
		}
		t.usedBytes -= o.reservedBytes
		delete(t.orders, key)
	}
	t.pruneImported()
}

// ActiveOrders returns the number of orders that are queued or running.
func (t *Table) ActiveOrders() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.orders {
		if o.isActive() {
			n++
		}
	}
	return n
}

func contentConflictRefusal() *api.Refusal {
	return api.Unknown(api.KindConflict, "the identity was used for another order with different content", "give each order an identity of its own")
}

func closedEpochRefusal(name string, epoch, current uint64) *api.Refusal {
	message := fmt.Sprintf("%s %d of the identity is closed; the current one is %d", name, epoch, current)
	return api.Unknown(api.KindIdentityClosed, message, "check with the service whether the order took effect; a new order needs a new identity from /v1/resolve")
}
