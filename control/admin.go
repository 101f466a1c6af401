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
	// confirmTimeout bounds the wait until other zones confirm a command.
	confirmTimeout      = 2 * time.Second
	confirmPollInterval = 20 * time.Millisecond
	// writeAttempts bounds the attempts to write to the store. An attempt fails
	// on a conflict with another operator's write or if the reply is lost.
	writeAttempts      = 6
	writeRetryInterval = 100 * time.Millisecond
)

// configState is a copy of the loop's configuration.
type configState struct {
	signedBundle *bundle.Signed
	bundleRaw    []byte
	bundleDigest string
	intents      bundle.Intents
	// storedBundle and storedIntents are store.KeyBundle and store.KeyIntents with
	// their values, as of the last watch; they may be used only if watched is set.
	storedBundle, storedIntents store.KeyValue
	watched                     bool
}

type configQuery struct{ reply chan configState }

func (q configQuery) apply(l *Loop) {
	watched := l.storeSync.watched && l.storeSync.watching.Load()
	q.reply <- configState{l.signedBundle, l.bundleRaw, l.bundleDigest, l.intents, l.storeSync.storedBundle, l.storeSync.storedIntents, watched}
}

// currentConfig returns the configuration in force on this node.
func (l *Loop) currentConfig(ctx context.Context) (configState, *api.Refusal) {
	q := configQuery{make(chan configState, 1)}
	c, err := sendAndWait(ctx, l, q, q.reply)
	if err != nil {
		return c, api.NotRun(api.KindInternal, err.Error(), "send the command to another entry")
	}
	return c, nil
}

// configAccepted puts a bundle or intents in force on this node: content that is
// in the store, or an intent to take a target out of service that was accepted
// during an outage of the store.
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

// putInForce applies c in the loop and waits until it is applied. If that fails,
// the content reaches this node through the store or its peers.
func (l *Loop) putInForce(ctx context.Context, c configAccepted) {
	c.done = make(chan struct{})
	_, _ = sendAndWait(ctx, l, c, c.done)
}

// RollOutBundle implements Admin.
func (l *Loop) RollOutBundle(ctx context.Context, s *bundle.Signed) (api.AdminResult, error) {
	c, refusal := l.checkRollOut(s)
	if refusal != nil {
		return api.AdminResult{}, refusal
	}
	if refusal := l.writeBundle(ctx, c); refusal != nil {
		l.log.Info("Bundle refused.", "version", s.Bundle.Version, "reason", refusal.Message)
		return api.AdminResult{}, refusal
	}
	l.putInForce(ctx, configAccepted{candidate: c, source: "operator"})
	result := api.AdminResult{Accepted: true, Revision: s.Bundle.Version, Digest: c.digest, InStore: true}
	result.ConfirmedZones = l.confirmedZones(ctx, confirmQuery{version: s.Bundle.Version})
	return result, nil
}

// checkRollOut validates a bundle, its signatures and its size.
func (l *Loop) checkRollOut(s *bundle.Signed) (*candidate, *api.Refusal) {
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

// writeBundle writes the bundle to the store as the successor of the one in
// force. It returns nil if the bundle is in the store or already in force.
func (l *Loop) writeBundle(ctx context.Context, c *candidate) *api.Refusal {
	config, refusal := l.currentConfig(ctx)
	if refusal != nil || config.bundleDigest == c.digest {
		return refusal // already in force; nodes write it back if the store lost it
	}
	mayHaveWritten := false
	for i := range writeAttempts {
		kv, err := l.readKey(ctx, store.KeyBundle, config.storedBundle, config.watched && i == 0)
		if err != nil {
			return storeRefusal(err, mayHaveWritten)
		}
		done, refusal := l.checkStoredBundle(ctx, c, kv)
		if refusal != nil && config.watched && i == 0 {
			continue // the watched value may be out of date; check against the current one
		}
		if done || refusal != nil {
			return refusal
		}
		err = l.cfg.Store.CompareAndSwap(ctx, store.KeyBundle, c.raw, kv.Revision)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrResultUnknown):
			mayHaveWritten = true
		case !errors.Is(err, store.ErrConflict):
			return storeRefusal(err, mayHaveWritten)
		}
		l.sleep(ctx, writeRetryInterval)
	}
	return storeRefusal(store.ErrResultUnknown, mayHaveWritten)
}

// readKey returns the last watched value of the key if useWatched is set, which
// saves one of the node's budgeted store calls; otherwise it reads the key. If the
// watched value is out of date, the following compare-and-swap returns a conflict.
func (l *Loop) readKey(ctx context.Context, key string, watched store.KeyValue, useWatched bool) (store.KeyValue, error) {
	if useWatched {
		return watched, nil
	}
	return l.cfg.Store.Get(ctx, key)
}

// checkStoredBundle checks that the bundle directly follows the newer of the
// bundle in the store and the one in force on this node. It reports true if the
// bundle itself is already in the store.
func (l *Loop) checkStoredBundle(ctx context.Context, c *candidate, kv store.KeyValue) (bool, *api.Refusal) {
	if stored := l.checkBundle(kv.Value, "store"); stored != nil {
		l.putInForce(ctx, configAccepted{candidate: stored, source: "store"})
	}
	config, refusal := l.currentConfig(ctx)
	if refusal != nil {
		return false, refusal
	}
	version := c.signed.Bundle.Version
	if stored, err := bundle.Decode(kv.Value); err == nil {
		digest, _ := stored.Bundle.Digest()
		if digest == c.digest {
			return true, nil
		}
		if stored.Bundle.Version >= version {
			return false, bundleConflict(version, stored.Bundle.Version, digest)
		}
	}
	inForce := uint64(0)
	if config.signedBundle != nil {
		inForce = config.signedBundle.Bundle.Version
	}
	if version != inForce+1 || c.signed.Bundle.Previous != config.bundleDigest {
		return false, bundleConflict(version, inForce, config.bundleDigest)
	}
	return false, checkOperators(c.signed, config.intents)
}

// checkOperators refuses a bundle that removes the operator of a recorded intent.
// Nodes that start later could not verify that intent and would ignore it.
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

// bundleConflict returns the refusal of a bundle that does not follow the one in
// force.
func bundleConflict(version, inForce uint64, digest string) *api.Refusal {
	return api.NotRun(api.KindConflict,
		fmt.Sprintf("bundle %d does not follow bundle %d (digest %q), which is in force", version, inForce, digest),
		"base the bundle on the one in force and have it signed again")
}

// storeRefusal converts a store error into a refusal. mayHaveWritten says that an
// earlier attempt may have taken effect, in which case the outcome is unknown.
func storeRefusal(err error, mayHaveWritten bool) *api.Refusal {
	if mayHaveWritten || errors.Is(err, store.ErrResultUnknown) {
		return api.Unknown(api.KindStoreUnavailable, err.Error(), "repeat the same command; it takes effect once")
	}
	return api.NotRun(api.KindStoreUnavailable, err.Error(), "repeat the command when the store is back")
}

// confirmQuery requests the zones that have confirmed a change: the bundle with
// the given version or a later one or, if version is 0, the current intents.
type confirmQuery struct {
	version uint64
	reply   chan confirmState
}

type confirmState struct {
	confirmed []string
	allZones  bool // every zone with a recently seen node has confirmed
}

func (q confirmQuery) apply(l *Loop) {
	confirmed := map[string]bool{l.self.Zone: true}
	occupied := map[string]bool{l.self.Zone: true}
	now := l.clock.Now()
	for _, r := range l.table.All() {
		if now.Sub(r.LastSeen) <= entryTimeout {
			occupied[r.Node.Zone] = true
		}
		c, found := l.peerConfigs[r.Node.ID]
		if found && q.confirms(l, c) {
			confirmed[r.Node.Zone] = true
		}
	}
	state := confirmState{allZones: true}
	for z := range occupied {
		state.allZones = state.allZones && confirmed[z]
	}
	for z := range confirmed {
		state.confirmed = append(state.confirmed, z)
	}
	slices.Sort(state.confirmed)
	q.reply <- state
}

// confirms reports whether a node with configuration c has the change.
func (q confirmQuery) confirms(l *Loop, c wire.Config) bool {
	if q.version > 0 {
		return c.BundleVersion >= q.version
	}
	return c.IntentsHash == l.intentsHash
}

// confirmedZones waits, for confirmTimeout at most, until every zone with a
// recently seen node has confirmed the change, and returns the zones that have.
func (l *Loop) confirmedZones(ctx context.Context, q confirmQuery) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var last confirmState
	for {
		q.reply = make(chan confirmState, 1)
		state, err := sendAndWait(ctx, l, q, q.reply)
		if err != nil {
			return last.confirmed
		}
		last = state
		if last.allZones {
			return last.confirmed
		}
		l.sleep(ctx, confirmPollInterval)
	}
}
