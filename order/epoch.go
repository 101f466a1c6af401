package order

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/wasabinotch/wasabinotch/store"
)

var sealedSegment = []byte(`{"sealed":true}`)

// RefreshEpoch reads the epoch record of a service and creates it if there is none.
func (j *Journal) RefreshEpoch(ctx context.Context, service string) error {
	for range maxTries {
		entry, err := j.store.Get(ctx, epochKey(service))
		if err != nil {
			return err
		}
		if entry.Revision != 0 {
			r, err := decodeEpoch(entry)
			if err != nil {
				return err
			}
			j.setEpoch(service, r)
			return nil
		}
		err = j.writeEpoch(ctx, service, epochRecord{Epoch: 1}, 0)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrResultUnknown) {
			return err
		}
	}
	return store.ErrConflict
}

// writeEpoch writes the record by compare-and-swap. The view follows with the
// next read if the result is a conflict or unknown.
func (j *Journal) writeEpoch(ctx context.Context, service string, r epochRecord, revision uint64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := j.store.CompareAndSwap(ctx, epochKey(service), value, revision); err != nil {
		return err
	}
	j.setEpoch(service, r)
	return nil
}

// maintain refreshes the epoch, advances it when it is due, and seals the
// epochs that are two behind.
func (j *Journal) maintain(ctx context.Context, service string) error {
	if err := j.RefreshEpoch(ctx, service); err != nil {
		return err
	}
	if j.due(service) {
		if err := j.AdvanceEpoch(ctx, service); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return j.seal(ctx, service)
}

// due reports whether the epoch is to be advanced: it is old, or one of its
// segments is full.
func (j *Journal) due(service string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.epochs[service]
	return v.record.Epoch > 0 && (j.full[service] || j.cfg.Clock.Since(v.since) >= epochLength)
}

// AdvanceEpoch opens the next epoch, unless another entry has opened it since this
// entry read the record.
func (j *Journal) AdvanceEpoch(ctx context.Context, service string) error {
	seen := j.JournalEpoch(service)
	entry, err := j.store.Get(ctx, epochKey(service))
	if err != nil {
		return err
	}
	r, err := decodeEpoch(entry)
	if err != nil {
		return err
	}
	if r.Epoch != seen || entry.Revision == 0 {
		j.setEpoch(service, r)
		return nil
	}
	r.Epoch++
	if err := j.writeEpoch(ctx, service, r, entry.Revision); err != nil {
		return err
	}
	j.cfg.Log.Info("journal epoch advanced", "service", service, "epoch", r.Epoch)
	return nil
}

// seal seals all segments of the epochs that are two or more behind, then
// records it. Sealing follows the advance of the record, so that entries with a
// current view have refused such keys before.
func (j *Journal) seal(ctx context.Context, service string) error {
	if seen := j.view(service); seen.SealedTo >= sealedEpoch(seen.Epoch) {
		return nil
	}
	entry, err := j.store.Get(ctx, epochKey(service))
	if err != nil {
		return err
	}
	r, err := decodeEpoch(entry)
	if err != nil {
		return err
	}
	limit := sealedEpoch(r.Epoch)
	if r.SealedTo >= limit {
		return nil
	}
	for epoch := r.SealedTo + 1; epoch <= limit; epoch++ {
		for shard := range shards {
			if err := j.sealSegment(ctx, segmentKey(service, epoch, shard)); err != nil {
				return err
			}
		}
	}
	r.SealedTo = limit
	return j.writeEpoch(ctx, service, r, entry.Revision)
}

func (j *Journal) view(service string) epochRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epochs[service].record
}

func (j *Journal) sealSegment(ctx context.Context, key string) error {
	for range maxTries {
		entry, err := j.store.Get(ctx, key)
		if err != nil {
			return err
		}
		seg, err := decodeSegment(entry)
		if err != nil {
			return err
		}
		if seg.Sealed {
			return nil
		}
		err = j.store.CompareAndSwap(ctx, key, sealedSegment, entry.Revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrResultUnknown) {
			return err
		}
	}
	return store.ErrConflict
}
