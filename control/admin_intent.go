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
	now, refusal := l.current(ctx)
	if refusal == nil {
		refusal = l.checkIntent(in, now)
	}
	if refusal != nil {
		return api.AdminResult{}, refusal
	}
	record, inStore, refusal := l.writeIntent(ctx, in)
	if refusal != nil {
		l.log.Info("intent refused", "target", in.Key(), "out", in.Out, "operator", in.Operator, "reason", refusal.Message)
		return api.AdminResult{}, refusal
	}
	l.accept(ctx, configAccepted{intents: &record, source: "operator"})
	result := api.AdminResult{Accepted: true, Revision: record.Targets[in.Key()].Revision, InStore: inStore}
	result.ConfirmedZones = l.confirmedZones(ctx, confirmQuery{})
	return result, nil
}

func (l *Loop) checkIntent(in bundle.Intent, now configState) *api.Refusal {
	if l.cfg.Store == nil {
		return api.NotRun(api.KindBadRequest, "agents take no commands", "send the command to an entry")
	}
	if now.signed == nil {
		return api.NotRun(api.KindNoBundle, "this entry has no bundle yet, so it knows no operators", "roll out a bundle first, or wait")
	}
	if err := in.Validate(); err != nil {
		return api.NotRun(api.KindBadRequest, err.Error(), "correct the command")
	}
	if err := in.Verify(now.signed.Bundle.Operators); err != nil {
		return api.NotRun(api.KindUnsigned, err.Error(), "sign the command as an operator of the bundle in force")
	}
	zones := now.signed.Bundle.Zones
	if in.Kind == bundle.TargetZone && !slices.Contains(zones, in.Target) {
		return api.NotRun(api.KindBadRequest, fmt.Sprintf("zone %q is not in the bundle", in.Target), fmt.Sprintf("use one of %v", zones))
	}
	return nil
}

// writeIntent merges the intent into the record in the store and returns the
// record. While the store is down, an out is accepted without it.
func (l *Loop) writeIntent(ctx context.Context, in bundle.Intent) (record bundle.Intents, inStore bool, refusal *api.Refusal) {
	unknown := false
	for i := range writeAttempts {
		now, refusal := l.current(ctx)
		if refusal != nil {
			return record, false, refusal
		}
		watched := now.seen && i == 0
		entry, err := l.readEntry(ctx, store.KeyIntents, now.record, watched)
		if err != nil {
			return l.withoutStore(in, now, err, unknown)
		}
		stored, err := decodeRecord(entry)
		if err != nil {
			l.log.Info("store has a malformed intents record; replacing it", "reason", err.Error())
		}
		known := bundle.Merge(stored, now.intents)
		next, refusal := decide(in, known, now.signed.Bundle.Zones)
		if refusal != nil && watched {
			continue // the watched record may be old; decide on the current one
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
		err = l.cfg.Store.CompareAndSwap(ctx, store.KeyIntents, raw, entry.Revision)
		switch {
		case err == nil:
			return next, true, nil
		case errors.Is(err, store.ErrResultUnknown):
			unknown = true
		case !errors.Is(err, store.ErrConflict):
			return l.withoutStore(in, now, err, unknown)
		}
		l.sleep(ctx, retryDelay)
	}
	now, refusal := l.current(ctx)
	if refusal != nil {
		return record, false, refusal
	}
	return l.withoutStore(in, now, store.ErrResultUnknown, unknown)
}

func decodeRecord(entry store.KeyValue) (bundle.Intents, error) {
	if entry.Revision == 0 {
		return bundle.Intents{}, nil
	}
	return bundle.DecodeIntents(entry.Value)
}

// withoutStore accepts an out without the store; the nodes spread it and write
// it to the store later.
func (l *Loop) withoutStore(in bundle.Intent, now configState, err error, unknown bool) (bundle.Intents, bool, *api.Refusal) {
	if !in.Out {
		return bundle.Intents{}, false, storeRefusal(err, unknown)
	}
	next, refusal := decide(in, now.intents, now.signed.Bundle.Zones)
	return next, false, refusal
}

// decide returns the record with the intent, or a refusal if the intent comes
// too late or would take out the last zone.
func decide(in bundle.Intent, known bundle.Intents, zones []string) (bundle.Intents, *api.Refusal) {
	old, found := known.Targets[in.Key()]
	late := found && (in.Revision < old.Revision || (in.Revision == old.Revision && old.Out && !in.Out))
	switch {
	case late:
		return known, api.NotRun(api.KindConflict,
			fmt.Sprintf("%s has revision %d (out: %v, by %s), the command has %d", in.Key(), old.Revision, old.Out, old.Operator, in.Revision),
			"look at the status and repeat the command with a higher revision")
	case found && in.Revision == old.Revision && in.Out == old.Out:
		return known, nil // it took effect already
	}
	next := known.With(in)
	if in.Kind == bundle.TargetZone && in.Out && next.AllOut(zones) {
		return known, api.NotRun(api.KindLastZone,
			fmt.Sprintf("%s is the last zone that is in", in.Target), "bring another zone back in first")
	}
	return next, nil
}
