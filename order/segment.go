package order

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// shardCount is the number of segments per service and epoch.
	shardCount = 16
	// maxSegmentBytes bounds a segment, well below the store's limit of 1 MB per
	// value.
	maxSegmentBytes = 512 << 10
)

// segment is the store record of one shard of one epoch. A sealed segment holds no
// bindings and never accepts any. Its record stays in the store: without it, an
// entry with an outdated view of the epoch could create the segment again and bind a
// key a second time.
type segment struct {
	Sealed   bool               `json:"sealed,omitempty"`
	Bindings map[string]Binding `json:"bindings,omitempty"`
}

// epochRecord is the store record of a service's journal epoch.
type epochRecord struct {
	Epoch uint64 `json:"epoch"`
	// SealedTo is the highest epoch of which all segments are sealed.
	SealedTo uint64 `json:"sealed_to"`
}

func epochKey(service string) string {
	return store.PrefixOrders + service + "/epoch"
}

func segmentKey(service string, epoch uint64, shard int) string {
	return fmt.Sprintf("%s%s/%d/%d", store.PrefixOrders, service, epoch, shard)
}

func shardOf(id Identity) int {
	return int(xxhash.Sum64String(id.ScopedKey()) % shardCount)
}

// highestClosedEpoch returns the highest epoch that accepts no bindings while epoch
// is the current one; 0 if there is none.
func highestClosedEpoch(epoch uint64) uint64 {
	if epoch < 2 {
		return 0
	}
	return epoch - 2
}

func decodeSegment(kv store.KeyValue) (*segment, error) {
	s := &segment{}
	if kv.Revision != 0 {
		if err := json.Unmarshal(kv.Value, s); err != nil {
			return nil, trace.BadParameter("journal segment %s is not valid: %v; restore it from the store's backup", kv.Key, err)
		}
	}
	if s.Bindings == nil {
		s.Bindings = make(map[string]Binding)
	}
	return s, nil
}

func decodeEpoch(kv store.KeyValue) (epochRecord, error) {
	var r epochRecord
	if kv.Revision == 0 {
		return r, nil
	}
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return r, trace.BadParameter("journal epoch %s is not valid: %v; restore it from the store's backup", kv.Key, err)
	}
	return r, nil
}
