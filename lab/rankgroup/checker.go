package rankgroup

import (
	"fmt"
	"sync"
	"time"
)

// use is one rank's use of a map in one step.
type use struct {
	number uint64
	digest string
}

// Checker records which map each rank used in each step.
type Checker struct {
	mu     sync.Mutex
	ranks  int
	first  map[uint64]use // by step
	mixed  []string
	uses   int
	steps  int
	latest uint64    // highest map number used
	back   int       // steps that used a lower number than an earlier step
	began  time.Time // of the latest step
	held   bool      // a rank waited, or there was no common map, since then
	gaps   []gap
}

// gap is the time between the starts of two steps.
type gap struct {
	at     time.Time
	length time.Duration
	held   bool
}

func newChecker(ranks int) *Checker {
	return &Checker{ranks: ranks, first: make(map[uint64]use), began: time.Now()}
}

// record notes a use and verifies it against the other ranks' uses of the step.
func (c *Checker) record(step uint64, rank int, u use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.uses++
	other, ok := c.first[step]
	if !ok {
		c.first[step] = u
		delete(c.first, step-100) // all ranks have long passed it
		c.steps++
		c.gaps = append(c.gaps, gap{at: now, length: now.Sub(c.began), held: c.held})
		c.began, c.held = now, false
		if u.number < c.latest {
			c.back++
		}
		c.latest = max(c.latest, u.number)
	} else if other != u {
		c.mixed = append(c.mixed, fmt.Sprintf("step %d: rank %d used map %d %.8s, another used %d %.8s",
			step, rank, u.number, u.digest, other.number, other.digest))
	}
}

// hold notes that the group cannot start its next step: a rank is away, stalled
// or undecided, or the ranks have no common map.
func (c *Checker) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = true
}

// CheckResult is what a Checker saw.
type CheckResult struct {
	// Steps is the number of executed steps, RankSteps that of single rank steps.
	Steps, RankSteps int
	// MixedSteps lists steps in which ranks used different maps.
	MixedSteps []string
	// LatestMap is the highest map number used; Back counts steps that used a
	// lower number than an earlier step.
	LatestMap     uint64
	BackwardSteps int
	// StallTime is the time in which the group could not start its next step
	// because a rank was away, stalled or undecided, or because the ranks had no
	// common map.
	StallTime time.Duration
	// LongestOtherGap is the longest time between the starts of two other steps; it is
	// due to the machine.
	LongestOtherGap time.Duration
}

// Result returns what was seen since the given time.
func (c *Checker) Result(since time.Time) CheckResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := CheckResult{Steps: c.steps, RankSteps: c.uses, MixedSteps: append([]string(nil), c.mixed...), LatestMap: c.latest, BackwardSteps: c.back}
	last := gap{at: time.Now(), length: time.Since(c.began), held: c.held}
	for _, g := range append(c.gaps[:len(c.gaps):len(c.gaps)], last) {
		if g.at.Before(since) {
			continue
		}
		length := min(g.length, g.at.Sub(since))
		if g.held {
			v.StallTime += length
		} else {
			v.LongestOtherGap = max(v.LongestOtherGap, length)
		}
	}
	return v
}
