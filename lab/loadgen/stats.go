package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabinotch/wasabinotch/api"
)

// class is a kind of request whose statistics are kept separately.
type class int

const (
	classModel class = iota
	classStock
	classOrder
	classCount
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

// maxExamples bounds the descriptions of wrong responses kept for the summary.
const maxExamples = 10

// stats are the statistics of one class of requests in one phase.
type stats struct {
	mu         sync.Mutex
	sent       int
	complete   int
	wrong      int
	truncated  int
	failed     int
	skipped    int
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	// refusedAttempts counts all refused attempts, failures the refusals that
	// ended a request.
	refusedAttempts map[RefusalKey]int
	failures        map[RefusalKey]int
	wrongExamples   []string
}

// RefusalKey is the key under which refusals are counted.
type RefusalKey struct {
	Kind    api.Kind
	Outcome api.Outcome
}

// MarshalText returns "kind/outcome", so that the key can be used in JSON objects.
func (k RefusalKey) MarshalText() ([]byte, error) {
	return []byte(string(k.Kind) + "/" + string(k.Outcome)), nil
}

func newStats() *stats {
	return &stats{
		latency:         hdrhistogram.New(minMicros, maxMicros, significantDigits),
		firstToken:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		tokenGap:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
		refusedAttempts: make(map[RefusalKey]int),
		failures:        make(map[RefusalKey]int),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // the value is within the bounds
}

func (s *stats) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *stats) countSent() { s.withLock(func() { s.sent++ }) }

func (s *stats) countSkipped() { s.withLock(func() { s.skipped++ }) }

func (s *stats) countComplete(j job) {
	d := time.Since(j.scheduledAt)
	s.withLock(func() {
		s.complete++
		record(s.latency, d)
	})
}

func (s *stats) countTruncated() { s.withLock(func() { s.truncated++ }) }

func (s *stats) countWrong(deviation string) {
	s.withLock(func() {
		s.wrong++
		if len(s.wrongExamples) < maxExamples {
			s.wrongExamples = append(s.wrongExamples, deviation)
		}
	})
}

func (s *stats) recordFirstToken(d time.Duration) { s.withLock(func() { record(s.firstToken, d) }) }

func (s *stats) recordTokenGap(d time.Duration) { s.withLock(func() { record(s.tokenGap, d) }) }

func (s *stats) countRefusedAttempt(r *api.Refusal) {
	s.withLock(func() { s.refusedAttempts[RefusalKey{r.Kind, r.Outcome}]++ })
}

func (s *stats) countFailure(r *api.Refusal) {
	s.withLock(func() {
		s.failed++
		s.failures[RefusalKey{r.Kind, r.Outcome}]++
	})
}
