package proof

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/explain"
)

var (
	soakFirstSeed     = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeedCount     = flag.Int("soak.seeds", 2, "number of seeds")
	soakFaultTime     = flag.Duration("soak.for", 8*time.Second, "how long faults are injected for one seed")
	soakCallerCount   = flag.Int("soak.callers", 24, "number of callers")
	soakEntryCount    = flag.Int("soak.entries", 0, "number of entries; 0 for a random number from 3 to 5")
	soakGroupCount    = flag.Int("soak.groups", 0, "number of rank groups; 0 for a random number from 1 to 2")
	soakRanksPerGroup = flag.Int("soak.ranks", 0, "number of ranks per group; 0 for a random number from 3 to 5")
)

// soakRegressions are seeds that failed before, with the cause. They run first.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{
	{2, "entries told each other a zone that a restore had made them hold back, and kept it out of service for good"},
	{6, "requests with removed keys ran as anonymous ones"},
}

// Guards against guarantees that are violated only when several faults overlap:
// runs real entry and agent processes under random faults and checks what callers
// and endpoints observe. For more seeds: go test ./proof -run TestSoak
// -soak.first 1000 -soak.seeds 50 -timeout 0
func TestSoak(t *testing.T) {
	var seeds []uint64
	for _, r := range soakRegressions {
		seeds = append(seeds, r.seed)
	}
	for i := range *soakSeedCount {
		if seed := *soakFirstSeed + uint64(i); !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

// sizeForSeed returns the random size of a seed's system; the size flags override
// it.
func sizeForSeed(seed uint64) soakSize {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := soakSize{entries: 3 + rng.IntN(3), groups: 1 + rng.IntN(2), ranks: 3 + rng.IntN(3), plainEndpoints: 2 + rng.IntN(2)}
	if *soakEntryCount > 0 {
		s.entries = *soakEntryCount
	}
	if *soakGroupCount > 0 {
		s.groups = *soakGroupCount
	}
	if *soakRanksPerGroup > 0 {
		s.ranks = *soakRanksPerGroup
	}
	return s
}

// plannedOnlyEvery is N if every Nth seed runs planned operations without faults.
const plannedOnlyEvery = 3

func runSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed, sizeForSeed(seed))
	c := startCallers(s, *soakCallerCount)
	if s.awaitServed(c) < 0 {
		t.Errorf("seed %d: not served %v after the start", seed, soakRecoveryBound)
	}
	newChaosRunner(s).run(*soakFaultTime, seed%plannedOnlyEvery == 0)
	s.logEvent("all faults have ended")
	recovered := s.awaitServed(c)
	requests := c.finish()
	s.report(checkGuarantees(s, requests, recovered), requests)
}

const (
	// Callers count as served if servedShare of the requests of each class that
	// ended within the last servedWindow succeeded. Responses with status 401 are
	// left out, since callers also send API keys that are not in force.
	servedWindow = time.Second
	servedShare  = 0.9
)

// awaitServed waits until callers are served and returns how long that took, -1 if
// they aren't within soakRecoveryBound.
func (s *soak) awaitServed(c *callers) time.Duration {
	began := time.Now()
	for time.Since(began) < soakRecoveryBound {
		time.Sleep(100 * time.Millisecond)
		from := time.Now().Add(-servedWindow)
		if from.Before(began) {
			continue
		}
		served, all := map[string]int{}, map[string]int{}
		c.mu.Lock()
		for _, a := range c.requests {
			if a.ended.After(from) && a.status != 401 {
				all[a.class]++
				if a.served() {
					served[a.class]++
				}
			}
		}
		c.mu.Unlock()
		enough := true
		for _, class := range []string{"draft", "order", "lookup"} {
			enough = enough && all[class] > 0 && float64(served[class]) >= servedShare*float64(all[class])
		}
		if enough {
			return time.Since(began)
		}
	}
	return -1
}

// maxShownViolations is the most violations that are printed for one guarantee.
const maxShownViolations = 3

// report logs the results of the checks. If a guarantee is violated, it fails the
// test with the timeline and the log lines on the requests concerned.
func (s *soak) report(results []*checkResult, requests []*request) {
	var b strings.Builder
	outcomes := map[string]int{}
	for _, a := range requests {
		switch {
		case !a.mayHaveArrived:
			outcomes["not sent"]++
		case a.incomplete:
			outcomes["incomplete"]++
		default:
			outcomes[fmt.Sprint("status ", a.status)]++
		}
	}
	fmt.Fprintf(&b, "seed %d, %+v, %d requests: %v\n", s.seed, s.size, len(requests), outcomes)
	failed := false
	for _, r := range results {
		fmt.Fprintf(&b, "  %-38s %6d cases, %d violations\n", r.guarantee, r.caseCount, len(r.violations))
		for _, x := range r.violations[:min(len(r.violations), maxShownViolations)] {
			failed = true
			fmt.Fprintf(&b, "    %s %s\n", x.requestID, x.description)
			if x.requestID != "" {
				b.WriteString(s.explain(x.requestID))
			}
		}
	}
	if !failed {
		s.t.Log(b.String())
		return
	}
	s.t.Errorf("%stimeline:\n%s", b.String(), strings.Join(s.timeline, "\n"))
}

// explain returns the log lines of all processes on a request.
func (s *soak) explain(requestID string) string {
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	report, err := explain.Find(requestID, explain.Files(paths...))
	if errors.Is(err, explain.ErrNotFound) {
		return "    no log has a line on it\n"
	}
	var b strings.Builder
	if err == nil {
		err = report.Write(&b)
	}
	if err != nil {
		return err.Error()
	}
	return b.String()
}
