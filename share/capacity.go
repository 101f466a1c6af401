package share

import "math"

// Resources are what a VM has for a process; 0 means unknown.
type Resources struct {
	// Cores is the processor time, in cores.
	Cores float64
	// MemoryMB is the memory in megabytes (2^20 bytes).
	MemoryMB float64
	// Descriptors is the number of file descriptors.
	Descriptors float64
	// LinkMbps is the bandwidth in megabits a second.
	LinkMbps float64
}

// What an entry needs besides one core to use it up with streamed requests.
const (
	memoryMBPerCore    = 256
	descriptorsPerCore = 2048
	linkMbpsPerCore    = 60
)

// Capacity returns the requests that a VM bears relative to others, in cores that its
// scarcest resource leaves usable; 0 if nothing is known.
func (r Resources) Capacity() float64 {
	least := math.Inf(1)
	for _, cores := range []float64{r.Cores, r.MemoryMB / memoryMBPerCore, r.Descriptors / descriptorsPerCore, r.LinkMbps / linkMbpsPerCore} {
		if cores > 0 {
			least = min(least, cores)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

const (
	// unitCapacity is the capacity, in cores, of an entry of weight 1.
	unitCapacity = 0.25
	// weightStep is what weights are multiples of, so that VMs that differ little count the
	// same.
	weightStep = 0.25
	// maxWeight bounds the effect of a mistaken setting or record.
	maxWeight = 64
)

// Weight returns the weight of an entry with the given capacity. One of unknown capacity
// has weight 1, whatever others have: weights must not depend on which entries are known.
func Weight(capacity float64) float64 {
	if !(capacity > 0) {
		return 1
	}
	return Bounded(capacity / unitCapacity)
}

// Bounded returns the weight nearest to one that another entry tells.
func Bounded(weight float64) float64 {
	if !(weight > 0) {
		return 1
	}
	return min(max(weightStep, math.Round(weight/weightStep)*weightStep), maxWeight)
}
