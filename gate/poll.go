package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
	// silentAfter is how long an endpoint may fail to answer probes before it
	// gets no new work. Shorter times gave up on endpoints that were only busy
	// when a probe times out once.
	silentAfter = 2 * time.Second
)

// endpointState is what the gate knows about its endpoint.
type endpointState struct {
	// ready is set when a load report newer than notBefore was received.
	ready     bool
	notBefore time.Time
	lastSeen  time.Time
	bootID    string
	// foreign is work at the endpoint that no request of this gate accounts
	// for. Only a report made after foreignSince lowers it.
	foreign      int
	foreignSince time.Time
	// noLoad is set for an endpoint without load reports.
	noLoad bool
	// keptConn is set once a probe connection was reused.
	keptConn bool
	failure  string
}

func (e *endpointState) why() string {
	if e.failure != "" {
		return "the endpoint does not answer: " + e.failure
	}
	return "no load report of the endpoint is newer than the start of the agent"
}

// loadReport is the answer to GET /load.
type loadReport struct {
	BootID     string    `json:"boot_id"`
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Tokens     float64   `json:"tokens"`
	Cold       bool      `json:"cold"`
	ReportedAt time.Time `json:"reported_at"`
}

// Run polls the endpoint until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := g.cfg.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		g.poll(ctx)
		g.sweep()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// poll reads the endpoint's load. An endpoint without /load is probed with
// GET /health; any answer but a server error counts. For such an endpoint the gate assumes that
// work of an earlier agent ended with that agent's connections.
func (g *Gate) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	status, body, err := g.get(ctx, "/load")
	if err == nil && status == http.StatusNotFound {
		kept := reused
		if status, _, err = g.get(ctx, "/health"); err == nil && status < http.StatusInternalServerError {
			g.healthy(kept)
			return
		}
		if err == nil {
			err = fmt.Errorf("GET /health answered %d", status)
		}
	}
	var report loadReport
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("GET /load answered %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &report)
	}
	if err != nil {
		g.unanswered(err)
		return
	}
	g.reported(report)
}

func (g *Gate) get(ctx context.Context, path string) (int, []byte, error) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.cfg.EndpointAddr+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := g.probe.Do(hr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, chunkBytes))
	return resp.StatusCode, body, err
}

// reported applies a load report. The endpoint and its agent share a VM and
// therefore a clock.
func (g *Gate) reported(r loadReport) {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	g.configure(snap)
	e.lastSeen, e.noLoad = g.cfg.Clock.Now(), false
	if e.bootID != "" && e.bootID != r.BootID {
		g.turnCold("the endpoint's boot ID changed")
	}
	e.bootID = r.BootID
	if r.Cold && !g.limit.isCold() {
		g.turnCold("the endpoint reports that it is cold")
	}
	g.limit.reportCold = r.Cold
	if !r.ReportedAt.After(e.notBefore) {
		return
	}
	left := max(0, r.Running+r.Waiting-g.ownAt(r.ReportedAt))
	if !e.ready {
		g.becomeReady(left)
	}
	if r.ReportedAt.After(e.foreignSince) {
		e.foreign = min(e.foreign, left)
	}
	g.shed(nil)
	g.dispatch()
}

// ownAt counts this gate's requests that the endpoint certainly had at the
// given time. Others are not subtracted from a report, so that work left from
// before is never underestimated.
func (g *Gate) ownAt(at time.Time) int {
	n := 0
	for s := range g.slots {
		if !s.takenAt.IsZero() && s.takenAt.Before(at) {
			n++
		}
	}
	return n
}

func (g *Gate) becomeReady(foreign int) {
	e := &g.endpoint
	e.ready, e.failure, e.foreign = true, "", foreign
	g.cfg.Log.Info("endpoint is ready", "limit", g.limit.current, "work_from_before", foreign)
}

// healthy applies a successful probe of an endpoint without load reports. A
// kept probe connection that had to be replaced means that the endpoint may
// have restarted.
func (g *Gate) healthy(reused bool) {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	g.configure(snap)
	e.lastSeen, e.noLoad = g.cfg.Clock.Now(), true
	if e.keptConn && !reused {
		g.turnCold("the probe connection was lost")
	}
	e.keptConn = e.keptConn || reused
	if !e.ready {
		g.becomeReady(0)
	}
	g.shed(nil)
	g.dispatch()
}

// unanswered applies a failed probe. A refused connection means that the
// endpoint is not running.
func (g *Gate) unanswered(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	e.failure = err.Error()
	down := errors.Is(err, syscall.ECONNREFUSED)
	if !e.ready || (!down && g.cfg.Clock.Since(e.lastSeen) < silentAfter) {
		return
	}
	e.ready = false
	e.notBefore = g.cfg.Clock.Now()
	e.foreignSince = e.notBefore
	if down || e.noLoad {
		g.turnCold("the endpoint is down")
	}
	g.cfg.Log.Info("endpoint is not ready", "reason", e.failure)
}

func (g *Gate) turnCold(reason string) {
	g.limit.turnCold()
	g.cfg.Log.Info("limit changed", "limit", g.limit.current, "reason", reason)
}

// leaveBehind counts a request that may still run at the endpoint although its
// answer has ended. Without load reports it counts until its time-out.
func (g *Gate) leaveBehind() {
	e := &g.endpoint
	e.foreign++
	e.foreignSince = g.cfg.Clock.Now()
	if !e.noLoad {
		return
	}
	timeout := orderTimeout
	if g.service != nil && g.service.TimeoutMS > 0 {
		timeout = time.Duration(g.service.TimeoutMS) * time.Millisecond
	}
	g.cfg.Clock.AfterFunc(timeout, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		e.foreign = max(0, e.foreign-1)
		g.dispatch()
	})
}
