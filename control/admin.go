package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Timing of operator commands.
const (
	// confirmWait bounds the wait for other zones to confirm a command.
	confirmWait = 2 * time.Second
	confirmPoll = 20 * time.Millisecond
	// writeAttempts bounds the attempts to write against racing operators and
	// lost answers.
	writeAttempts = 6
	retryDelay    = 100 * time.Millisecond
)

// configState is the configuration as the loop holds it.
type configState struct {
	signed  *bundle.Signed
	raw     []byte
	digest  string
	intents bundle.Intents
	// head and record are the store's entries as last watched, if seen is set.
	head, record store.Entry
	seen         bool
}

type configQuery struct{ answer chan configState }

func (q configQuery) apply(l *Loop) {
	seen := l.stores.seen && l.stores.watching.Load()
	q.answer <- configState{l.signed, l.signedRaw, l.digest, l.intents, l.stores.head, l.stores.record, seen}
}

func (l *Loop) current(ctx context.Context) (configState, *api.Refusal) {
	q := configQuery{make(chan configState, 1)}
	c, err := ask(ctx, l, q, q.answer)
	if err != nil {
		return c, api.NotRun(api.KindInternal, err.Error(), "send the command to another entry")
	}
	return c, nil
}

// configAccepted puts content that is in the store, or an out during an
// outage, in force on this node.
type configAccepted struct {
	candidate *candidate
	intents   *bundle.Intents
	source    string
	done      chan struct{}
}

func (c configAccepted) apply(l *Loop) {
	l.applyBundle(c.candidate, c.source)
	l.mergeIntents(c.intents, c.source)
	close(c.done)
}

func (l *Loop) accept(ctx context.Context, c configAccepted) {
	c.done = make(chan struct{})
	_, _ = ask(ctx, l, c, c.done)
}

// RollOutBundle implements Admin.
func (l *Loop) RollOutBundle(ctx context.Context, s *bundle.Signed) (api.AdminResult, error) {
	c, refusal := l.checkRoll(s)
	if refusal != nil {
		return api.AdminResult{}, refusal
	}
	if refusal := l.writeBundle(ctx, c); refusal != nil {
		l.log.Info("bundle refused", "version", s.Bundle.Version, "reason", refusal.Message)
		return api.AdminResult{}, refusal
	}
	l.accept(ctx, configAccepted{candidate: c, source: "operator"})
	result := api.AdminResult{Accepted: true, Revision: s.Bundle.Version, Digest: c.digest, InStore: true}
	result.ConfirmedZones = l.confirmedZones(ctx, confirmQuery{version: s.Bundle.Version})
	return result, nil
}

func (l *Loop) checkRoll(s *bundle.Signed) (*candidate, *api.Refusal) {
	if l.cfg.Store == nil {
		return nil, api.NotRun(api.KindBadRequest, "agents take no commands", "send the command to an entry")
	}
	if err := s.Bundle.Validate(); err != nil {
		return nil, api.NotRun(api.KindBadRequest, err.Error(), "correct the bundle and have it signed again")
	}
	digest, err := s.Verify(l.cfg.Members, l.cfg.Threshold)
	if err != nil {
		return nil, api.NotRun(api.KindUnsigned, err.Error(), "have enough members sign the bundle")
	}
	raw, err := s.Encode()
	if err != nil || len(raw) > bundle.MaxBytes {
		return nil, api.NotRun(api.KindTooLarge, "the signed bundle exceeds 1 MB", "make it smaller")
	}
	return &candidate{signed: s, raw: raw, digest: digest}, nil
}

// writeBundle writes the bundle as the successor of the one in force.
func (l *Loop) writeBundle(ctx context.Context, c *candidate) *api.Refusal {
	now, refusal := l.current(ctx)
	if refusal != nil || now.digest == c.digest {
		return refusal // already in force; the nodes restore it if the store lost it
	}
	unknown := false
	for i := range writeAttempts {
		entry, err := l.readEntry(ctx, store.KeyBundle, now.head, now.seen && i == 0)
		if err != nil {
			return storeRefusal(err, unknown)
		}
		done, refusal := l.checkHead(ctx, c, entry)
		if refusal != nil && now.seen && i == 0 {
			continue // the watched entry may be old; decide on the current one
		}
		if done || refusal != nil {
			return refusal
		}
		err = l.cfg.Store.CompareAndSwap(ctx, store.KeyBundle, c.raw, entry.Revision)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrUnknown):
			unknown = true
		case !errors.Is(err, store.ErrConflict):
			return storeRefusal(err, unknown)
		}
		l.sleep(ctx, retryDelay)
	}
	return storeRefusal(store.ErrUnknown, unknown)
}

// readEntry returns the entry as last watched if it may be used, which saves a
// call of the node's budget, or else reads it. Compare-and-swap on an old entry
// is a conflict.
func (l *Loop) readEntry(ctx context.Context, key string, watched store.Entry, use bool) (store.Entry, error) {
	if use {
		return watched, nil
	}
	return l.cfg.Store.Get(ctx, key)
}

// checkHead compares the bundle with the head in the store and with the one in
// force here, whichever is newer. It reports true if the bundle is in the store.
func (l *Loop) checkHead(ctx context.Context, c *candidate, entry store.Entry) (bool, *api.Refusal) {
	if head := l.checkBundle(entry.Value, "store"); head != nil {
		l.accept(ctx, configAccepted{candidate: head, source: "store"})
	}
	now, refusal := l.current(ctx)
	if refusal != nil {
		return false, refusal
	}
	version := c.signed.Bundle.Version
	if head, err := bundle.Decode(entry.Value); err == nil {
		digest, _ := head.Bundle.Digest()
		if digest == c.digest {
			return true, nil
		}
		if head.Bundle.Version >= version {
			return false, conflict(version, head.Bundle.Version, digest)
		}
	}
	inForce := uint64(0)
	if now.signed != nil {
		inForce = now.signed.Bundle.Version
	}
	if version != inForce+1 || c.signed.Bundle.Previous != now.digest {
		return false, conflict(version, inForce, now.digest)
	}
	return false, checkOperators(c.signed, now.intents)
}

// checkOperators refuses a bundle under which a recorded intent would lose its
// operator: nodes that start later would ignore that intent.
func checkOperators(s *bundle.Signed, intents bundle.Intents) *api.Refusal {
	for key, in := range intents.Targets {
		if err := in.Verify(s.Bundle.Operators); err != nil {
			return api.NotRun(api.KindConflict,
				fmt.Sprintf("the bundle removes operator %s, whose command on %s is in force", in.Operator, key),
				"repeat that command as an operator who stays, then roll out the bundle")
		}
	}
	return nil
}

func conflict(version, inForce uint64, digest string) *api.Refusal {
	return api.NotRun(api.KindConflict,
		fmt.Sprintf("bundle %d does not follow bundle %d (digest %q), which is in force", version, inForce, digest),
		"base the bundle on the one in force and have it signed again")
}

// storeRefusal turns a store error into a refusal; unknown tells that an
// earlier attempt may have taken effect.
func storeRefusal(err error, unknown bool) *api.Refusal {
	if unknown || errors.Is(err, store.ErrUnknown) {
		return api.Unknown(api.KindStoreUnavailable, err.Error(), "repeat the same command; it takes effect once")
	}
	return api.NotRun(api.KindStoreUnavailable, err.Error(), "repeat the command when the store is back")
}

// confirmQuery asks which zones have confirmed a change: the bundle of a
// version, or, with version 0, the current intents.
type confirmQuery struct {
	version uint64
	answer  chan confirmState
}

type confirmState struct {
	confirmed []string
	complete  bool // all zones with a live node confirmed
}

func (q confirmQuery) apply(l *Loop) {
	confirmed := map[string]bool{l.self.Zone: true}
	live := map[string]bool{l.self.Zone: true}
	now := l.clock.Now()
	for _, r := range l.table.All() {
		if now.Sub(r.LastSeen) <= entrySilent {
			live[r.Node.Zone] = true
		}
		c, found := l.configs[r.Node.ID]
		if found && q.confirms(l, c) {
			confirmed[r.Node.Zone] = true
		}
	}
	state := confirmState{complete: true}
	for z := range live {
		state.complete = state.complete && confirmed[z]
	}
	for z := range confirmed {
		state.confirmed = append(state.confirmed, z)
	}
	slices.Sort(state.confirmed)
	q.answer <- state
}

func (q confirmQuery) confirms(l *Loop, c wire.Config) bool {
	if q.version > 0 {
		return c.BundleVersion >= q.version
	}
	return c.IntentsHash == l.intentsHash
}

// confirmedZones waits until all zones with live nodes have confirmed the
// change, confirmWait at most.
func (l *Loop) confirmedZones(ctx context.Context, q confirmQuery) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	var last confirmState
	for {
		q.answer = make(chan confirmState, 1)
		state, err := ask(ctx, l, q, q.answer)
		if err != nil {
			return last.confirmed
		}
		last = state
		if last.complete {
			return last.confirmed
		}
		l.sleep(ctx, confirmPoll)
	}
}
