package rankgroup

import (
	"fmt"
	"sync"
	"time"
)

// mapUse is the map that a rank used in a step.
type mapUse struct {
	number uint64
	digest string
}

// Checker records which map each rank used in each step, and how long the group
// was stalled. It is safe for concurrent use.
type Checker struct {
	mu            sync.Mutex
	ranks         int
	firstUse      map[uint64]mapUse // by step number
	mixedSteps    []string
	rankSteps     int
	steps         int
	latestMap     uint64    // highest map number used
	backwardSteps int       // steps that used a lower number than an earlier step
	stepBegan     time.Time // start of the latest step
	stalled       bool      // the group could not start the next step at some time since stepBegan
	gaps          []stepGap
}

// stepGap is the time between the starts of two steps.
type stepGap struct {
	at      time.Time
	length  time.Duration
	stalled bool
}

func newChecker(ranks int) *Checker {
	return &Checker{ranks: ranks, firstUse: make(map[uint64]mapUse), stepBegan: time.Now()}
}

// record records that a rank used a map in a step, and compares it with the map
// that the first rank used in the step.
func (c *Checker) record(step uint64, rank int, u mapUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.rankSteps++
	other, ok := c.firstUse[step]
	if !ok {
		c.firstUse[step] = u
		delete(c.firstUse, step-100) // all ranks are past this step
		c.steps++
		c.gaps = append(c.gaps, stepGap{at: now, length: now.Sub(c.stepBegan), stalled: c.stalled})
		c.stepBegan, c.stalled = now, false
		if u.number < c.latestMap {
			c.backwardSteps++
		}
		c.latestMap = max(c.latestMap, u.number)
	} else if other != u {
		c.mixedSteps = append(c.mixedSteps, fmt.Sprintf("step %d: rank %d used map %d %.8s, another used %d %.8s",
			step, rank, u.number, u.digest, other.number, other.digest))
	}
}

// markStalled records that the group cannot start its next step: a rank restarts,
// stalls or waits for the decision on a switch, or the ranks have no common map.
func (c *Checker) markStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = true
}

// CheckResult is what a Checker recorded.
type CheckResult struct {
	// Steps is the number of executed steps. RankSteps counts each step once for
	// each rank that took part.
	Steps, RankSteps int
	// MixedSteps lists steps in which ranks used different maps.
	MixedSteps []string
	// LatestMap is the highest map number used. BackwardSteps counts the steps that
	// used a lower map number than an earlier step.
	LatestMap     uint64
	BackwardSteps int
	// StallTime is the sum of the step gaps in which the group was stalled at some
	// time: a rank restarted, stalled or waited for the decision on a switch, or
	// the ranks had no common map.
	StallTime time.Duration
	// LongestOtherGap is the longest time between the starts of two consecutive
	// steps in which the group was not stalled. It shows the scheduling delays of
	// the machine.
	LongestOtherGap time.Duration
}

// Result returns the result so far. Counts and MixedSteps cover the whole run;
// StallTime and LongestOtherGap begin at since.
func (c *Checker) Result(since time.Time) CheckResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := CheckResult{Steps: c.steps, RankSteps: c.rankSteps, MixedSteps: append([]string(nil), c.mixedSteps...), LatestMap: c.latestMap, BackwardSteps: c.backwardSteps}
	last := stepGap{at: time.Now(), length: time.Since(c.stepBegan), stalled: c.stalled}
	for _, g := range append(c.gaps[:len(c.gaps):len(c.gaps)], last) {
		if g.at.Before(since) {
			continue
		}
		length := min(g.length, g.at.Sub(since))
		if g.stalled {
			v.StallTime += length
		} else {
			v.LongestOtherGap = max(v.LongestOtherGap, length)
		}
	}
	return v
}
