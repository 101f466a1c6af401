package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// defaultPhase is the phase before the first SetPhase.
const defaultPhase = "all"

// Generator sends the load that a Config describes.
type Generator struct {
	cfg            Config
	client         *http.Client
	callers        [][]*caller // by organisation
	promptPrefixes []string
	orders         *orderTracker
	inFlight       atomic.Int64
	requests       sync.WaitGroup

	mu     sync.Mutex
	phases []*phase
}

// phase is a part of the run that has separate statistics.
type phase struct {
	name  string
	stats [classCount]*stats
}

// New returns a generator. It fills in the defaults of cfg and returns an error if
// cfg is not valid.
func New(cfg Config) (*Generator, error) {
	cfg.Organisations = append([]Organisation(nil), cfg.Organisations...)
	if err := cfg.fillDefaults(); err != nil {
		return nil, err
	}
	g := &Generator{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}},
		orders: &orderTracker{outcomes: make(map[string]orderOutcome)},
	}
	g.SetPhase(defaultPhase)
	g.addCallers()
	g.addPromptPrefixes()
	return g, nil
}

func (g *Generator) addCallers() {
	n := 0
	for _, org := range g.cfg.Organisations {
		callers := make([]*caller, g.cfg.CallersPerOrganisation)
		for i := range callers {
			callers[i] = &caller{org: org, cache: make(map[string]*cachedResolve)}
			if len(g.cfg.Zones) > 0 {
				callers[i].zone = g.cfg.Zones[n%len(g.cfg.Zones)]
			}
			n++
		}
		g.callers = append(g.callers, callers)
	}
}

func (g *Generator) addPromptPrefixes() {
	for i := range g.cfg.PromptPrefixes {
		line := fmt.Sprintf("Preamble %d of the workshop's repair notes. ", i)
		text := strings.Repeat(line, g.cfg.PromptPrefixBytes/len(line)+1)
		g.promptPrefixes = append(g.promptPrefixes, text[:g.cfg.PromptPrefixBytes])
	}
}

// SetPhase starts a phase: requests scheduled from now on are counted in the phase
// of that name.
func (g *Generator) SetPhase(name string) {
	p := &phase{name: name}
	for c := range p.stats {
		p.stats[c] = newStats()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases = append(g.phases, p)
}

func (g *Generator) currentStats(c class) *stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.phases[len(g.phases)-1].stats[c]
}

// Run schedules requests for the configured duration, or until ctx is done, and
// returns when all of them have completed. Requests in flight are not cancelled
// when ctx is done.
func (g *Generator) Run(ctx context.Context) {
	schedule, cancel := context.WithTimeout(ctx, g.cfg.Duration)
	defer cancel()
	var schedulers sync.WaitGroup
	for c, rate := range []float64{g.cfg.ModelRate, g.cfg.StockRate, g.cfg.OrderRate} {
		if rate > 0 {
			schedulers.Go(func() { g.schedule(schedule, context.WithoutCancel(ctx), class(c), rate) })
		}
	}
	schedulers.Wait()
	g.requests.Wait()
	g.client.CloseIdleConnections()
}

// schedule sends requests of one class with exponentially distributed intervals
// until ctx is done. requests is the context of the requests.
func (g *Generator) schedule(ctx, requests context.Context, c class, rate float64) {
	random := rand.New(rand.NewPCG(g.cfg.Seed, uint64(c)))
	at := time.Now()
	for n := 0; c != classOrder || g.cfg.MaxOrders == 0 || n < g.cfg.MaxOrders; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		g.launch(requests, g.newJob(random, c, at, n))
	}
}

func (g *Generator) newJob(random *rand.Rand, c class, at time.Time, n int) job {
	j := job{caller: g.chooseCaller(random), scheduledAt: at, stats: g.currentStats(c), class: c}
	switch c {
	case classModel:
		j.payload = fmt.Sprintf("%sBench log %d-%d.", g.promptPrefixes[random.IntN(len(g.promptPrefixes))], n, random.Uint64())
	case classStock:
		const kits = 1000
		j.payload = fmt.Sprintf("kit-%d", random.IntN(kits))
	case classOrder:
		// The UUID makes the order number unique across runs that share a ledger.
		j.payload = fmt.Sprintf("order-%d-%s", n, newID())
		j.useCallerKey = random.Float64() < g.cfg.CallerKeyFraction
	}
	return j
}

// chooseCaller draws an organisation by weight, and one of its callers uniformly.
func (g *Generator) chooseCaller(random *rand.Rand) *caller {
	total := 0.0
	for _, org := range g.cfg.Organisations {
		total += org.Weight
	}
	x := random.Float64() * total
	last := len(g.callers) - 1
	for i, org := range g.cfg.Organisations {
		x -= org.Weight
		if x < 0 || i == last {
			last = i
			break
		}
	}
	return g.callers[last][random.IntN(len(g.callers[last]))]
}

// launch starts a request in a separate goroutine, or counts it as skipped when
// MaxInFlight requests are in flight.
func (g *Generator) launch(ctx context.Context, j job) {
	if g.inFlight.Load() >= int64(g.cfg.MaxInFlight) {
		j.stats.countSkipped()
		return
	}
	j.stats.countSent()
	g.inFlight.Add(1)
	g.requests.Go(func() {
		defer g.inFlight.Add(-1)
		switch j.class {
		case classModel:
			g.sendModelRequest(ctx, j)
		case classStock:
			g.sendLookup(ctx, j)
		case classOrder:
			g.placeOrder(ctx, j)
		}
	})
}

// Summary summarises the run so far. ledger holds the number of executions by
// order number; if it is nil, the summary has no orders.
func (g *Generator) Summary(ledger map[string]int) Summary {
	g.mu.Lock()
	phases := append([]*phase(nil), g.phases...)
	g.mu.Unlock()
	var s Summary
	for _, p := range phases {
		for c, stats := range p.stats {
			if sum := stats.summary(p.name, class(c)); sum.Sent+sum.Skipped > 0 {
				s.Classes = append(s.Classes, sum)
			}
		}
	}
	if ledger != nil {
		orders := g.orders.compare(ledger)
		s.Orders = &orders
	}
	return s
}
