package membership

import (
	"math/rand/v2"
	"time"
)

// randomBits is the number of random low bits of an incarnation. 20 bits cover
// about 1 ms, so that two processes started at once still differ.
const randomBits = 20

// NewIncarnation draws an incarnation: the time in nanoseconds with random low
// bits, above the given one.
func NewIncarnation(now time.Time, above uint64) uint64 {
	drawn := uint64(now.UnixNano())>>randomBits<<randomBits | uint64(rand.N(1<<randomBits))
	if drawn > above {
		return drawn
	}
	return above + 1 + uint64(rand.N(1<<randomBits))
}
