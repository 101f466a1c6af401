package store

import (
	"context"
	"errors"
	"time"
)

// Typed errors of the store.
var (
	// ErrConflict means that the key has changed since it was read; read it again.
	ErrConflict = errors.New("store: conflict: the key has changed; read it again and retry")
	// ErrUnavailable means that the call certainly had no effect; retry later.
	ErrUnavailable = errors.New("store: unavailable: the call had no effect; retry later")
	// ErrResultUnknown means that a write may have taken effect; read the key back.
	ErrResultUnknown = errors.New("store: result unknown: the write may have taken effect; read the key back")
	// ErrCallBudget means that the node's call budget is spent; retry later.
	ErrCallBudget = errors.New("store: call budget spent: the call was not made; retry later")
)

// Keys and key prefixes of the product in the store.
const (
	KeyBundle    = "wasabinotch/config/bundle"
	KeyIntents   = "wasabinotch/config/intents"
	PrefixConfig = "wasabinotch/config/"
	PrefixGroups = "wasabinotch/groups/"
	PrefixOrders = "wasabinotch/orders/"
)

// KeyValue is one key with its value.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision changes with each write of the key; 0 means that the key does not exist.
	Revision uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the key with its value; Revision is 0 if the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// CompareAndSwap writes value if the key's revision is still revision (0: the
	// key does not exist). Use errors.Is to check for ErrConflict, ErrUnavailable
	// and ErrResultUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error
	// Delete removes the key if its revision is still revision, which must not be 0.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch returns the keys below prefix with their values, once the index of the
	// prefix exceeds after or wait has passed. The returned index is passed to the
	// next call.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvs []KeyValue, index uint64, err error)
}
