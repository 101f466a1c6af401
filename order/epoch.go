package order

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/wasabinotch/wasabinotch/store"
)

var sealedSegmentValue = []byte(`{"sealed":true}`)

// RefreshEpoch reads the epoch record of a service and creates it if there is none.
func (j *Journal) RefreshEpoch(ctx context.Context, service string) error {
	for range maxAttempts {
		kv, err := j.store.Get(ctx, epochKey(service))
		if err != nil {
			return err
		}
		if kv.Revision != 0 {
			r, err := decodeEpoch(kv)
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

// writeEpoch writes the record by compare-and-swap. After a conflict or an unknown
// result, this entry's view is updated by the next read.
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

// maintainEpoch refreshes the epoch, advances it when it is due, and seals the
// epochs that are at least two behind.
func (j *Journal) maintainEpoch(ctx context.Context, service string) error {
	if err := j.RefreshEpoch(ctx, service); err != nil {
		return err
	}
	if j.isAdvanceDue(service) {
		if err := j.AdvanceEpoch(ctx, service); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return j.sealClosedEpochs(ctx, service)
}

// isAdvanceDue reports whether the epoch has to be advanced: it has reached its
// length, or one of its segments is full.
func (j *Journal) isAdvanceDue(service string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.epochs[service]
	return v.record.Epoch > 0 && (j.fullServices[service] || j.cfg.Clock.Since(v.firstSeenAt) >= journalEpochLength)
}

// AdvanceEpoch opens the next epoch, unless another entry has opened it since this
// entry last read the record.
func (j *Journal) AdvanceEpoch(ctx context.Context, service string) error {
	known := j.JournalEpoch(service)
	kv, err := j.store.Get(ctx, epochKey(service))
	if err != nil {
		return err
	}
	r, err := decodeEpoch(kv)
	if err != nil {
		return err
	}
	if r.Epoch != known || kv.Revision == 0 {
		j.setEpoch(service, r)
		return nil
	}
	r.Epoch++
	if err := j.writeEpoch(ctx, service, r, kv.Revision); err != nil {
		return err
	}
	j.cfg.Log.Info("Journal epoch advanced.", "service", service, "epoch", r.Epoch)
	return nil
}

// sealClosedEpochs seals all segments of the epochs that are two or more behind,
// then updates the epoch record. The record advances before segments are sealed, so
// that entries with a current view already refuse such keys.
func (j *Journal) sealClosedEpochs(ctx context.Context, service string) error {
	if known := j.knownRecord(service); known.SealedTo >= highestClosedEpoch(known.Epoch) {
		return nil
	}
	kv, err := j.store.Get(ctx, epochKey(service))
	if err != nil {
		return err
	}
	r, err := decodeEpoch(kv)
	if err != nil {
		return err
	}
	limit := highestClosedEpoch(r.Epoch)
	if r.SealedTo >= limit {
		return nil
	}
	for epoch := r.SealedTo + 1; epoch <= limit; epoch++ {
		for shard := range shardCount {
			if err := j.sealSegment(ctx, segmentKey(service, epoch, shard)); err != nil {
				return err
			}
		}
	}
	r.SealedTo = limit
	return j.writeEpoch(ctx, service, r, kv.Revision)
}

func (j *Journal) knownRecord(service string) epochRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epochs[service].record
}

func (j *Journal) sealSegment(ctx context.Context, key string) error {
	for range maxAttempts {
		kv, err := j.store.Get(ctx, key)
		if err != nil {
			return err
		}
		seg, err := decodeSegment(kv)
		if err != nil {
			return err
		}
		if seg.Sealed {
			return nil
		}
		err = j.store.CompareAndSwap(ctx, key, sealedSegmentValue, kv.Revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrResultUnknown) {
			return err
		}
	}
	return store.ErrConflict
}
