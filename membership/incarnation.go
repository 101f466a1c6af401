package membership

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits is the number of low bits of an incarnation that are
// random instead of taken from the clock. 20 bits replace about 1 ms of the time
// in nanoseconds, so that two processes started at the same moment differ.
const incarnationRandomBits = 20

// NewIncarnation generates an incarnation: now in Unix nanoseconds with random
// low bits. If that is not greater than above, it returns a random number
// slightly greater than above instead.
func NewIncarnation(now time.Time, above uint64) uint64 {
	incarnation := uint64(now.UnixNano())>>incarnationRandomBits<<incarnationRandomBits | uint64(rand.N(1<<incarnationRandomBits))
	if incarnation > above {
		return incarnation
	}
	return above + 1 + uint64(rand.N(1<<incarnationRandomBits))
}
