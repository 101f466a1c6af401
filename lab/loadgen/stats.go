package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabinotch/wasabinotch/api"
)

// class is a class of requests.
type class int

const (
	classModel class = iota
	classStock
	classOrder
	classes
)

func (c class) String() string {
	return [...]string{"model", "stock", "order"}[c]
}

// Bounds of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxExamples bounds the wrong answers that are kept for the summary.
const maxExamples = 10

// stats are the measurements of one class in one phase.
type stats struct {
	mu       sync.Mutex
	sent     int
	wholeN   int
	wrongN   int
	cutN     int
	failedN  int
	skippedN int
	latency  *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	// attempts counts refused attempts, failures refusals that ended a request.
	attempts map[RefusalKey]int
	failures map[RefusalKey]int
	examples []string
}

// RefusalKey names refusals that are counted together.
type RefusalKey struct {
	Kind    api.Kind
	Outcome api.Outcome
}

// MarshalText makes the key usable in JSON objects.
func (k RefusalKey) MarshalText() ([]byte, error) {
	return []byte(string(k.Kind) + "/" + string(k.Outcome)), nil
}

func newStats() *stats {
	return &stats{
		latency:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		first:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
		gap:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		attempts: make(map[RefusalKey]int),
		failures: make(map[RefusalKey]int),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // the value is within the bounds
}

func (s *stats) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *stats) started() { s.update(func() { s.sent++ }) }

func (s *stats) skipped() { s.update(func() { s.skippedN++ }) }

func (s *stats) whole(j job) {
	d := time.Since(j.at)
	s.update(func() {
		s.wholeN++
		record(s.latency, d)
	})
}

func (s *stats) truncated() { s.update(func() { s.cutN++ }) }

func (s *stats) wrong(what string) {
	s.update(func() {
		s.wrongN++
		if len(s.examples) < maxExamples {
			s.examples = append(s.examples, what)
		}
	})
}

func (s *stats) firstToken(d time.Duration) { s.update(func() { record(s.first, d) }) }

func (s *stats) tokenGap(d time.Duration) { s.update(func() { record(s.gap, d) }) }

func (s *stats) refused(r *api.Refusal) {
	s.update(func() { s.attempts[RefusalKey{r.Kind, r.Outcome}]++ })
}

func (s *stats) failed(r *api.Refusal) {
	s.update(func() {
		s.failedN++
		s.failures[RefusalKey{r.Kind, r.Outcome}]++
	})
}
