package node

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// entryLeaseTTL is the time after which an entry that stopped renewing its
	// lease leaves the directory. Until then callers lose up to a connect timeout
	// on its address.
	entryLeaseTTL = 3 * time.Second
	// renewInterval is the longest interval between renewals. It leaves time for two failed
	// ones within the lease.
	renewInterval = 900 * time.Millisecond
	// maxRegisterBackoff bounds the backoff after failed calls, so that the
	// record exists again well within two seconds of the store's return.
	maxRegisterBackoff = 600 * time.Millisecond
)

// registration keeps an entry's record in the store, bound to a lease.
type registration struct {
	leaser store.Leaser
	// interval is the time between renewals.
	interval time.Duration
	health   *storeHealth
	// connectionLost is called after a call without a response.
	connectionLost func()
	key            string
	value          []byte
	log            logr.Logger
	// lease is the current lease, the zero value for none.
	lease store.Lease
}

// run keeps the record registered until ctx ends, then revokes the lease.
func (r *registration) run(ctx context.Context) {
	backoff := store.Backoff{Max: maxRegisterBackoff}
	for ctx.Err() == nil {
		next := r.interval
		if err := r.renewOrRegister(ctx); err != nil {
			next = backoff.NextDelay()
			if ctx.Err() == nil && !errors.Is(err, store.ErrNoLease) {
				r.health.recordFailure(err)
				if errors.Is(err, store.ErrResultUnknown) {
					r.connectionLost()
				}
			}
		} else {
			backoff.Reset()
			r.health.recordSuccess()
		}
		pause.For(ctx, next)
	}
	r.revokeLease()
}

// renewOrRegister renews the lease. If there is none or it has expired, it
// writes the record with a new one.
func (r *registration) renewOrRegister(ctx context.Context) error {
	if r.lease != (store.Lease{}) {
		err := r.leaser.Renew(ctx, r.lease)
		if !errors.Is(err, store.ErrNoLease) {
			return err
		}
		r.log.Info("Lease lost; registering again.", "lease", r.lease.ID, "era", r.lease.Era)
		r.lease = store.Lease{}
	}
	lease, err := r.leaser.Grant(ctx, entryLeaseTTL)
	if err != nil {
		return err
	}
	if err := r.leaser.Put(ctx, r.key, r.value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.log.Info("Registered.", "key", r.key, "lease", lease.ID, "era", lease.Era)
	return nil
}

// revokeLease revokes the lease, whereupon the store deletes the record.
func (r *registration) revokeLease() {
	if r.lease == (store.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.leaser.Revoke(ctx, r.lease); err != nil {
		r.log.Info("Lease not revoked; the record is deleted when the lease expires.", "cause", err.Error())
	}
}
