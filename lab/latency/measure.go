package latency

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
)

// Options are the load and the duration of a measurement.
type Options struct {
	CallRate        float64 // calls per second
	StreamRate      float64 // streams per second
	TokensPerStream int     // upper bound
	// WarmUpDuration is the time of routed load, at a quarter of the rate, before
	// each kind of request. In it the agents raise the concurrency limits of their
	// cold endpoints.
	WarmUpDuration time.Duration
	PhaseDuration  time.Duration
	PhasesPerPath  int // for each kind of request
	Seed           uint64
}

// PathStats are the measurements of one path to the endpoints: direct, or
// routed through an entry and an agent.
type PathStats struct {
	Requests, Failed, Tokens int
	CPUTime                  time.Duration
	Elapsed                  time.Duration
	// TotalLatency is the time to the complete response, and FirstTokenLatency the
	// time to the first token, both in microseconds. They are equal for calls.
	TotalLatency, FirstTokenLatency *hdrhistogram.Histogram
	ExampleError                    error // the last failure; nil if none

	mu sync.Mutex
}

// Comparison compares the two paths for one kind of request.
type Comparison struct {
	Kind           string
	RatePerSecond  float64 // of requests
	Direct, Routed *PathStats
}

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	requestTimeout    = 20 * time.Second
)

func newPathStats() *PathStats {
	return &PathStats{TotalLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), FirstTokenLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// Measure starts a deployment and measures calls and streams on both paths.
func Measure(ctx context.Context, opt Options) ([]Comparison, error) {
	s, err := start(ctx)
	if err != nil {
		return nil, err
	}
	defer s.close()
	m := &measurement{system: s, opt: opt, random: rand.New(rand.NewPCG(opt.Seed, 0))}
	calls, err := m.compare(ctx, "call", opt.CallRate, m.directCall, m.routedCall)
	if err != nil {
		return nil, err
	}
	streams, err := m.compare(ctx, "stream", opt.StreamRate, m.directStream, m.routedStream)
	return []Comparison{calls, streams}, err
}

// sendFunc sends the n-th request, and returns the time from began to the
// first token and the number of tokens. For a call these are the total time
// and 0.
type sendFunc func(ctx context.Context, n int, began time.Time) (time.Duration, int, error)

type measurement struct {
	*system
	opt    Options
	random *rand.Rand
	sent   int
}

func (m *measurement) compare(ctx context.Context, kind string, rate float64, direct, routed sendFunc) (Comparison, error) {
	c := Comparison{Kind: kind, RatePerSecond: rate, Direct: newPathStats(), Routed: newPathStats()}
	if err := m.runPhase(ctx, newPathStats(), rate/4, m.opt.WarmUpDuration, routed); err != nil {
		return c, err
	}
	for range m.opt.PhasesPerPath {
		if err := m.runPhase(ctx, c.Direct, rate, m.opt.PhaseDuration, direct); err != nil {
			return c, err
		}
		if err := m.runPhase(ctx, c.Routed, rate, m.opt.PhaseDuration, routed); err != nil {
			return c, err
		}
	}
	return c, nil
}

// runPhase sends requests at exponentially distributed intervals, without
// waiting for earlier ones, and adds the results to stats.
func (m *measurement) runPhase(ctx context.Context, stats *PathStats, rate float64, length time.Duration, send sendFunc) error {
	cpu, err := cpuTime()
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	began := time.Now()
	for at := began; at.Before(began.Add(length)) && ctx.Err() == nil; {
		at = at.Add(time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		m.sent++
		n := m.sent
		running.Go(func() { stats.measureRequest(ctx, n, send) })
	}
	running.Wait()
	after, err := cpuTime()
	stats.CPUTime += after - cpu
	stats.Elapsed += time.Since(began)
	return trace.NewAggregate(err, ctx.Err())
}

func (s *PathStats) measureRequest(ctx context.Context, n int, send sendFunc) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	first, tokens, err := send(ctx, n, began)
	total := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	if err != nil {
		s.Failed++
		s.ExampleError = err
		return
	}
	s.Tokens += tokens
	_ = s.TotalLatency.RecordValue(total.Microseconds()) // in range, since requestTimeout is below the upper bound
	_ = s.FirstTokenLatency.RecordValue(first.Microseconds())
}

func (m *measurement) entryAddr(n int) string {
	return m.deployment.Entries[n%len(m.deployment.Entries)].HTTPAddr
}

func timeCall(s *system, ctx context.Context, addr, path string, began time.Time) (time.Duration, int, error) {
	err := s.send(ctx, http.MethodGet, addr, path, nil, func(r io.Reader) error {
		_, err := io.Copy(io.Discard, r)
		return trace.Wrap(err)
	})
	return time.Since(began), 0, err
}

func (m *measurement) directCall(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return timeCall(m.system, ctx, m.deployment.Simulators.OrderServices[n%endpointsPerService].Addr, fmt.Sprintf("/stock/kit-%d", n), began)
}

func (m *measurement) routedCall(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return timeCall(m.system, ctx, m.entryAddr(n), fmt.Sprintf("%s%s/stock/kit-%d", api.PathCall, plainService, n), began)
}

func (m *measurement) timeStream(ctx context.Context, addr, path string, body any, began time.Time) (first time.Duration, tokens int, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	err = m.post(ctx, addr, path, data, func(r io.Reader) error {
		lines := bufio.NewScanner(r)
		for lines.Scan() {
			if !strings.HasPrefix(lines.Text(), "data:") {
				continue
			}
			if tokens == 0 {
				first = time.Since(began)
			}
			tokens++
		}
		return trace.Wrap(lines.Err())
	})
	if err == nil && tokens <= m.opt.TokensPerStream/2 {
		err = trace.CompareFailed("stream ended after %d events, at most half of the tokens requested", tokens)
	}
	return first, tokens, err
}

// Prompts are distinct, so that no request is served from the prefix cache.
func prompt(n int) string { return fmt.Sprintf("%d: repair note", n) }

func (m *measurement) directStream(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return m.timeStream(ctx, m.deployment.Simulators.Engines[n%endpointsPerService].Addr, "/v1/completions",
		map[string]any{"prompt": prompt(n), "max_tokens": m.opt.TokensPerStream, "stream": true}, began)
}

func (m *measurement) routedStream(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return m.timeStream(ctx, m.entryAddr(n), api.PathGenerate+modelService, api.GenerateRequest{Prompt: prompt(n), MaxTokens: m.opt.TokensPerStream}, began)
}

func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
