package control

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/store"
)

// ApplyIntent implements Admin.
func (l *Loop) ApplyIntent(ctx context.Context, in bundle.Intent) (api.AdminResult, error) {
	config, refusal := l.currentConfig(ctx)
	if refusal == nil {
		refusal = l.checkIntent(in, config)
	}
	if refusal != nil {
		return api.AdminResult{}, refusal
	}
	record, inStore, refusal := l.writeIntent(ctx, in)
	if refusal != nil {
		l.log.Info("Intent refused.", "target", in.Key(), "out", in.Out, "operator", in.Operator, "reason", refusal.Message)
		return api.AdminResult{}, refusal
	}
	l.putInForce(ctx, configAccepted{intents: &record, source: "operator"})
	result := api.AdminResult{Accepted: true, Revision: record.Targets[in.Key()].Revision, InStore: inStore}
	result.ConfirmedZones = l.confirmedZones(ctx, confirmQuery{})
	return result, nil
}

// checkIntent validates an intent and its signature against the bundle in force.
func (l *Loop) checkIntent(in bundle.Intent, config configState) *api.Refusal {
	if l.cfg.Store == nil {
		return api.NotRun(api.KindBadRequest, "agents take no commands", "send the command to an entry")
	}
	if config.signedBundle == nil {
		return api.NotRun(api.KindNoBundle, "this entry has no bundle yet, so it knows no operators", "roll out a bundle first, or wait")
	}
	if err := in.Validate(); err != nil {
		return api.NotRun(api.KindBadRequest, err.Error(), "correct the command")
	}
	if err := in.Verify(config.signedBundle.Bundle.Operators); err != nil {
		return api.NotRun(api.KindUnsigned, err.Error(), "sign the command as an operator of the bundle in force")
	}
	zones := config.signedBundle.Bundle.Zones
	if in.Kind == bundle.TargetZone && !slices.Contains(zones, in.Target) {
		return api.NotRun(api.KindBadRequest, fmt.Sprintf("zone %q is not in the bundle", in.Target), fmt.Sprintf("use one of %v", zones))
	}
	return nil
}

// writeIntent merges the intent into the intents record in the store and returns
// the merged record. While the store is unavailable, an intent to take a target
// out of service is accepted without it.
func (l *Loop) writeIntent(ctx context.Context, in bundle.Intent) (record bundle.Intents, inStore bool, refusal *api.Refusal) {
	mayHaveWritten := false
	for i := range writeAttempts {
		config, refusal := l.currentConfig(ctx)
		if refusal != nil {
			return record, false, refusal
		}
		watched := config.watched && i == 0
		kv, err := l.readKey(ctx, store.KeyIntents, config.storedIntents, watched)
		if err != nil {
			return l.acceptWithoutStore(in, config, err, mayHaveWritten)
		}
		stored, err := decodeStoredIntents(kv)
		if err != nil {
			l.log.Info("The store has a malformed intents record; replacing it.", "reason", err.Error())
		}
		known := bundle.Merge(stored, config.intents)
		next, refusal := addIntent(in, known, config.signedBundle.Bundle.Zones)
		if refusal != nil && watched {
			continue // the watched record may be out of date; check against the current one
		}
		if refusal != nil {
			return record, false, refusal
		}
		if next.SameTargets(stored) {
			return next, true, nil
		}
		next.Revision = max(next.Revision, stored.Revision+1)
		raw, err := next.Encode()
		if err != nil || len(raw) > bundle.MaxBytes {
			return record, false, api.NotRun(api.KindTooLarge, "the intents record exceeds 1 MB", "bring VMs that are gone back in")
		}
		err = l.cfg.Store.CompareAndSwap(ctx, store.KeyIntents, raw, kv.Revision)
		switch {
		case err == nil:
			return next, true, nil
		case errors.Is(err, store.ErrResultUnknown):
			mayHaveWritten = true
		case !errors.Is(err, store.ErrConflict):
			return l.acceptWithoutStore(in, config, err, mayHaveWritten)
		}
		l.sleep(ctx, writeRetryInterval)
	}
	config, refusal := l.currentConfig(ctx)
	if refusal != nil {
		return record, false, refusal
	}
	return l.acceptWithoutStore(in, config, store.ErrResultUnknown, mayHaveWritten)
}

// decodeStoredIntents decodes the intents record in the store; the record is empty
// if its key does not exist (revision 0).
func decodeStoredIntents(kv store.KeyValue) (bundle.Intents, error) {
	if kv.Revision == 0 {
		return bundle.Intents{}, nil
	}
	return bundle.DecodeIntents(kv.Value)
}

// acceptWithoutStore accepts an intent to take a target out of service although
// the store is unavailable. The nodes propagate it to each other and write it to
// the store later. Other intents are refused.
func (l *Loop) acceptWithoutStore(in bundle.Intent, config configState, err error, mayHaveWritten bool) (bundle.Intents, bool, *api.Refusal) {
	if !in.Out {
		return bundle.Intents{}, false, storeRefusal(err, mayHaveWritten)
	}
	next, refusal := addIntent(in, config.intents, config.signedBundle.Bundle.Zones)
	return next, false, refusal
}

// addIntent returns the known record with the intent added. It refuses an
// intent that is superseded by a recorded one, and one that would take the last
// zone out of service.
func addIntent(in bundle.Intent, known bundle.Intents, zones []string) (bundle.Intents, *api.Refusal) {
	old, found := known.Targets[in.Key()]
	superseded := found && (in.Revision < old.Revision || (in.Revision == old.Revision && old.Out && !in.Out))
	switch {
	case superseded:
		return known, api.NotRun(api.KindConflict,
			fmt.Sprintf("%s has revision %d (out: %v, by %s), the command has %d", in.Key(), old.Revision, old.Out, old.Operator, in.Revision),
			"look at the status and repeat the command with a higher revision")
	case found && in.Revision == old.Revision && in.Out == old.Out:
		return known, nil // it is already in force
	}
	next := known.WithIntent(in)
	if in.Kind == bundle.TargetZone && in.Out && next.AllZonesOut(zones) {
		return known, api.NotRun(api.KindLastZone,
			fmt.Sprintf("%s is the last zone that is in", in.Target), "bring another zone back in first")
	}
	return next, nil
}
