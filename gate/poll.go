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
	// unreachableAfter is how long probes of an endpoint may fail before it gets
	// no new work. With shorter times, one probe timeout of a busy endpoint
	// would make it count as unreachable.
	unreachableAfter = 2 * time.Second
)

// endpointState is the state of the endpoint as its probes show it.
type endpointState struct {
	// ready is set by a load report made after minReportTime, or by a
	// successful health check.
	ready bool
	// minReportTime is when the agent started or last lost the endpoint. Reports
	// made up to then do not make the endpoint ready.
	minReportTime time.Time
	lastProbeOKAt time.Time
	bootID        string
	// unaccounted is the number of requests at the endpoint that hold no slot of
	// this gate. With load reports, only one made after unaccountedSince lowers it.
	unaccounted int
	// readyCount counts the times that the endpoint became ready. unaccounted starts
	// anew each time.
	readyCount       int
	unaccountedSince time.Time
	// noLoadReports is set for an endpoint without load reports.
	noLoadReports bool
	// probeConnReused is set once a probe connection was reused.
	probeConnReused bool
	lastFailure     string
}

// notReadyReason is the message of refusals while the endpoint is not ready.
func (e *endpointState) notReadyReason() string {
	if e.lastFailure != "" {
		return "the endpoint does not answer: " + e.lastFailure
	}
	return "no load report of the endpoint is newer than the start of the agent"
}

// loadReport is the response to GET /load.
type loadReport struct {
	BootID     string    `json:"boot_id"`
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Tokens     float64   `json:"tokens"`
	Cold       bool      `json:"cold"`
	ReportedAt time.Time `json:"reported_at"`
}

// Run polls the endpoint until ctx ends, and refuses queued requests that the
// endpoint cannot take.
func (g *Gate) Run(ctx context.Context) {
	ticker := g.cfg.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		g.poll(ctx)
		g.refuseUnservable()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// poll reads the endpoint's load. An endpoint without /load is probed with
// GET /health; any response but a server error is a success. For such an
// endpoint the gate assumes that requests of an earlier agent process ended
// with that process's connections.
func (g *Gate) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	status, body, err := g.get(ctx, "/load")
	if err == nil && status == http.StatusNotFound {
		loadConnReused := reused
		if status, _, err = g.get(ctx, "/health"); err == nil && status < http.StatusInternalServerError {
			g.applyHealthProbe(loadConnReused)
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
		g.applyProbeFailure(err)
		return
	}
	g.applyLoadReport(report)
}

func (g *Gate) get(ctx context.Context, path string) (int, []byte, error) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.cfg.EndpointAddr+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := g.probeClient.Do(hr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxChunkBytes))
	return resp.StatusCode, body, err
}

// applyLoadReport applies a load report. The endpoint and its agent run on one
// VM and share its clock, so the time of the report can be compared with local
// times.
func (g *Gate) applyLoadReport(r loadReport) {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	g.applyBundle(snap)
	e.lastProbeOKAt, e.noLoadReports = g.cfg.Clock.Now(), false
	if e.bootID != "" && e.bootID != r.BootID {
		g.resetToCold("the endpoint's boot ID changed")
	}
	e.bootID = r.BootID
	if r.Cold && !g.limit.isCold() {
		g.resetToCold("the endpoint reports that it is cold")
	}
	g.limit.reportedCold = r.Cold
	if !r.ReportedAt.After(e.minReportTime) {
		return
	}
	reportedUnaccounted := max(0, r.Running+r.Waiting-g.receivedBefore(r.ReportedAt))
	if !e.ready {
		g.markReady(reportedUnaccounted)
	}
	if r.ReportedAt.After(e.unaccountedSince) {
		e.unaccounted = min(e.unaccounted, reportedUnaccounted)
	}
	g.shed(nil)
	g.grantSlots()
}

// receivedBefore counts this gate's requests that the endpoint certainly had
// at the given time. Others are not subtracted from a report, so that the
// requests of an earlier agent process are never underestimated.
func (g *Gate) receivedBefore(at time.Time) int {
	n := 0
	for s := range g.slots {
		if !s.receivedAt.IsZero() && s.receivedAt.Before(at) {
			n++
		}
	}
	return n
}

// markReady marks the endpoint as ready for work; unaccounted is the number of
// requests there that hold no slot.
func (g *Gate) markReady(unaccounted int) {
	e := &g.endpoint
	e.ready, e.lastFailure, e.unaccounted = true, "", unaccounted
	e.readyCount++
	g.cfg.Log.Info("Endpoint is ready.", "limit", g.limit.current, "work_from_before", unaccounted)
}

// applyHealthProbe applies a successful probe of an endpoint without load
// reports; reused is true if the probe reused an idle connection. If the idle
// connection was lost, the endpoint may have restarted.
func (g *Gate) applyHealthProbe(reused bool) {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	g.applyBundle(snap)
	e.lastProbeOKAt, e.noLoadReports = g.cfg.Clock.Now(), true
	if e.probeConnReused && !reused {
		g.resetToCold("the probe connection was lost")
	}
	e.probeConnReused = e.probeConnReused || reused
	if !e.ready {
		g.markReady(0)
	}
	g.shed(nil)
	g.grantSlots()
}

// applyProbeFailure applies a failed probe. A refused connection means that the
// endpoint is not running.
func (g *Gate) applyProbeFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.endpoint
	e.lastFailure = err.Error()
	connRefused := errors.Is(err, syscall.ECONNREFUSED)
	if !e.ready || (!connRefused && g.cfg.Clock.Since(e.lastProbeOKAt) < unreachableAfter) {
		return
	}
	e.ready = false
	e.minReportTime = g.cfg.Clock.Now()
	e.unaccountedSince = e.minReportTime
	if connRefused || e.noLoadReports {
		g.resetToCold("the endpoint is down")
	}
	g.cfg.Log.Info("Endpoint is not ready.", "reason", e.lastFailure)
}

func (g *Gate) resetToCold(reason string) {
	g.limit.resetToCold()
	g.cfg.Log.Info("limit changed", "limit", g.limit.current, "reason", reason)
}

// addUnaccounted counts a request that may still run at the endpoint although
// its slot is free. Without load reports it counts until its timeout.
func (g *Gate) addUnaccounted() {
	e := &g.endpoint
	e.unaccounted++
	e.unaccountedSince = g.cfg.Clock.Now()
	if !e.noLoadReports {
		return
	}
	timeout := defaultTimeout
	if g.service != nil && g.service.TimeoutMS > 0 {
		timeout = time.Duration(g.service.TimeoutMS) * time.Millisecond
	}
	readyCount := e.readyCount
	g.cfg.Clock.AfterFunc(timeout, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if e.readyCount != readyCount {
			return // the request ended with the endpoint's restart
		}
		e.unaccounted = max(0, e.unaccounted-1)
		g.grantSlots()
	})
}
