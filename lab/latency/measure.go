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

// Options are the load and the length of a measurement.
type Options struct {
	CallRate        float64 // calls per second
	StreamRate      float64 // streams per second
	TokensPerStream int     // per stream
	// WarmUpDuration is the time of routed load before each kind, in which the agents
	// raise the limits of their cold endpoints.
	WarmUpDuration time.Duration
	PhaseDuration  time.Duration
	PhasesPerPath  int // of each way and kind
	Seed           uint64
}

// PathStats is the measurement of one way to the endpoints.
type PathStats struct {
	Requests, Failed, Tokens int
	CPUTime                  time.Duration
	Elapsed                  time.Duration
	// TotalLatency is the time to the whole answer, FirstTokenLatency to the first token, in microseconds.
	TotalLatency, FirstTokenLatency *hdrhistogram.Histogram
	ExampleError                    error // of a failure

	mu sync.Mutex
}

// Comparison compares the two ways for one kind of request.
type Comparison struct {
	Kind           string
	RatePerSecond  float64
	Direct, Routed *PathStats
}

const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	requestTimeout    = 20 * time.Second
)

func newWay() *PathStats {
	return &PathStats{TotalLatency: hdrhistogram.New(1, maxMicros, significantDigits), FirstTokenLatency: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// Measure starts the system and measures calls and streams.
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

// request makes the n-th request and returns the time of the first token after
// began, and the number of tokens.
type request func(ctx context.Context, n int, began time.Time) (time.Duration, int, error)

type measurement struct {
	*system
	opt    Options
	random *rand.Rand
	sent   int
}

func (m *measurement) compare(ctx context.Context, kind string, rate float64, direct, routed request) (Comparison, error) {
	c := Comparison{Kind: kind, RatePerSecond: rate, Direct: newWay(), Routed: newWay()}
	if err := m.phase(ctx, newWay(), rate/4, m.opt.WarmUpDuration, routed); err != nil {
		return c, err
	}
	for range m.opt.PhasesPerPath {
		if err := m.phase(ctx, c.Direct, rate, m.opt.PhaseDuration, direct); err != nil {
			return c, err
		}
		if err := m.phase(ctx, c.Routed, rate, m.opt.PhaseDuration, routed); err != nil {
			return c, err
		}
	}
	return c, nil
}

// phase sends requests at random intervals, whatever became of earlier ones.
func (m *measurement) phase(ctx context.Context, w *PathStats, rate float64, length time.Duration, send request) error {
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
		running.Go(func() { w.one(ctx, n, send) })
	}
	running.Wait()
	after, err := cpuTime()
	w.CPUTime += after - cpu
	w.Elapsed += time.Since(began)
	return trace.NewAggregate(err, ctx.Err())
}

func (w *PathStats) one(ctx context.Context, n int, send request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	first, tokens, err := send(ctx, n, began)
	whole := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Requests++
	if err != nil {
		w.Failed++
		w.ExampleError = err
		return
	}
	w.Tokens += tokens
	_ = w.TotalLatency.RecordValue(whole.Microseconds()) // below the timeout, which is within bounds
	_ = w.FirstTokenLatency.RecordValue(first.Microseconds())
}

func (m *measurement) entry(n int) string {
	return m.deployment.Entries[n%len(m.deployment.Entries)].HTTPAddr
}

func call(s *system, ctx context.Context, addr, path string, began time.Time) (time.Duration, int, error) {
	err := s.send(ctx, http.MethodGet, addr, path, nil, func(r io.Reader) error {
		_, err := io.Copy(io.Discard, r)
		return trace.Wrap(err)
	})
	return time.Since(began), 0, err
}

func (m *measurement) directCall(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return call(m.system, ctx, m.deployment.Simulators.OrderServices[n%endpoints].Addr, fmt.Sprintf("/stock/kit-%d", n), began)
}

func (m *measurement) routedCall(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return call(m.system, ctx, m.entry(n), fmt.Sprintf("%s%s/stock/kit-%d", api.PathCall, plainService, n), began)
}

func (m *measurement) stream(ctx context.Context, addr, path string, body any, began time.Time) (first time.Duration, tokens int, err error) {
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
		err = trace.CompareFailed("a stream ended after %d events", tokens)
	}
	return first, tokens, err
}

// The prompts are distinct, so that no request profits from the prefix cache.
func prompt(n int) string { return fmt.Sprintf("%d: repair note", n) }

func (m *measurement) directStream(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return m.stream(ctx, m.deployment.Simulators.Engines[n%endpoints].Addr, "/v1/completions",
		map[string]any{"prompt": prompt(n), "max_tokens": m.opt.TokensPerStream, "stream": true}, began)
}

func (m *measurement) routedStream(ctx context.Context, n int, began time.Time) (time.Duration, int, error) {
	return m.stream(ctx, m.entry(n), api.PathGenerate+modelService, api.GenerateRequest{Prompt: prompt(n), MaxTokens: m.opt.TokensPerStream}, began)
}

func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
