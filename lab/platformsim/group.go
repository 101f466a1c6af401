package platformsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/ranksim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

// GroupConfig configures a Group.
type GroupConfig struct {
	Name       string
	Dimensions rankgroup.Dimensions
	// StepTime is the duration of a step. StallTime is how long requests stall
	// after the loss of a rank before they fail. FormTime is how long the group
	// takes to form again once all ranks run.
	StepTime, StallTime, FormTime time.Duration
	Seed                          uint64
}

// Group is a simulated group of model engines. Each rank is an Endpoint that
// streams one event per step.
type Group struct {
	cfg   GroupConfig
	Ranks []*Endpoint
	// RankSim simulates the ranks' steps, maps and commands.
	RankSim *ranksim.Group
	done    chan struct{}

	mu sync.Mutex
	// open is false from the loss of a rank until the group has formed again.
	open bool
	// stepBegan is closed and replaced when a step starts. stalled is closed when
	// the group loses a rank, and replaced when it has formed again.
	stepBegan, stalled chan struct{}
	// lostEndpoint is the ID of the endpoint whose loss last closed the group.
	lostEndpoint string
}

// reportLag is the age of the reports that callers on other VMs get.
const reportLag = 200 * time.Millisecond

// StartGroup starts a group with one rank per endpoint configuration.
func StartGroup(cfg GroupConfig, ranks []EndpointConfig) (*Group, error) {
	cfg.Dimensions.Ranks = len(ranks)
	g := &Group{cfg: cfg, RankSim: ranksim.New(cfg.Dimensions, cfg.Seed), done: make(chan struct{}), open: true,
		stepBegan: make(chan struct{}), stalled: make(chan struct{})}
	g.RankSim.SlowCopies = true
	g.RankSim.ReportLag = reportLag
	g.RankSim.Idle = true
	for i, c := range ranks {
		e := newEndpoint(c)
		e.group, e.rank = g, i
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", e.handleReport)
		mux.HandleFunc("GET /picked", e.handleSelections)
		mux.HandleFunc("POST /order", e.handleCommand)
		mux.HandleFunc("/", e.handleStream)
		if err := e.listen(mux); err != nil {
			g.Close()
			return nil, err
		}
		g.Ranks = append(g.Ranks, e)
	}
	go g.run()
	return g, nil
}

// Close stops the group.
func (g *Group) Close() {
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	for _, e := range g.Ranks {
		e.Close()
	}
}

// demandShiftSteps is the number of step times after which the demand for experts
// shifts.
const demandShiftSteps = 40

func (g *Group) run() {
	ticker := time.NewTicker(g.cfg.StepTime)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-g.done:
			return
		case <-ticker.C:
		}
		busy := false
		for _, e := range g.Ranks {
			e.mu.Lock()
			busy = busy || e.running > 0
			e.mu.Unlock()
		}
		g.RankSim.Lock()
		g.RankSim.Idle = !busy
		if n%demandShiftSteps == 0 {
			g.RankSim.DemandOffset += 3
		}
		g.RankSim.Unlock()
		g.mu.Lock()
		if g.open && g.RankSim.BeginStep() {
			close(g.stepBegan)
			g.stepBegan = make(chan struct{})
		}
		g.mu.Unlock()
	}
}

// loseRank marks a rank as crashed and closes the group.
func (g *Group) loseRank(rank int) {
	g.RankSim.Lock()
	g.RankSim.Ranks[rank].Crashed = true
	g.RankSim.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		g.open = false
		g.lostEndpoint = g.Ranks[rank].ID()
		close(g.stalled)
	}
}

// restoreRank marks a rank as running. If all ranks run, the group forms again
// after FormTime.
func (g *Group) restoreRank(rank int) {
	g.RankSim.Lock()
	g.RankSim.Ranks[rank].Crashed = false
	g.RankSim.Unlock()
	if !g.RankSim.AllRanksRunning() {
		return
	}
	time.AfterFunc(g.cfg.FormTime, func() {
		if !g.RankSim.AllRanksRunning() {
			return // another rank crashed meanwhile; its restart forms the group
		}
		g.RankSim.Form()
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.open {
			g.open, g.stalled = true, make(chan struct{})
		}
	})
}

// streamState returns whether the group is open, the channels that a stream waits
// on, and the ID of the endpoint whose loss last closed the group.
func (g *Group) streamState() (open bool, stepBegan, stalled chan struct{}, lostEndpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.stepBegan, g.stalled, g.lostEndpoint
}

func (e *Endpoint) handleReport(w http.ResponseWriter, r *http.Request) {
	rep := e.group.RankSim.Report(e.rank)
	if caller, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && !strings.HasPrefix(e.cfg.Addr, caller+":") {
		rep = e.group.RankSim.LaggedReport(e.rank)
	}
	open, _, _, _ := e.group.streamState()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "broken"
	if open && rep.Open {
		state = "open"
	}
	var prepared *uint64
	if rep.PreparedVersion != 0 {
		prepared = &rep.PreparedVersion
	}
	var armed any
	if rep.Armed != nil {
		armed = map[string]uint64{"version": rep.Armed.Version, "step": rep.Armed.Step}
	}
	e.describe(w)
	reply(w, map[string]any{"born": e.incarnation, "active": e.running, "queued": e.waiting, "cold_remaining_ms": e.coldRemaining().Milliseconds(),
		"group": map[string]any{"name": e.group.cfg.Name, "epoch": rep.Epoch, "rank": e.rank, "state": state}, "size": rep.Size,
		"step": rep.Step, "expert_map": rep.MapVersion, "prepared": prepared, "armed": armed, "held": rep.HeldStep})
}

func (e *Endpoint) handleSelections(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("lists") {
		experts, version := e.group.RankSim.HeldExperts(e.rank)
		reply(w, map[string]any{"expert_map": map[string]any{"version": version, "experts": experts}})
		return
	}
	c := e.group.RankSim.SelectionCounts(e.rank)
	reply(w, map[string]any{"epoch": c.Epoch, "counts": c.Selections})
}

func (e *Endpoint) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command struct {
		Operation string    `json:"operation"`
		Epoch     uint64    `json:"epoch"`
		Version   uint64    `json:"version"`
		Step      uint64    `json:"step"`
		Map       [][][]int `json:"expert_map"`
	}
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	result, replied := e.group.RankSim.Deliver(e.rank, rankgroup.Command{
		Operation: rankgroup.Operation(command.Operation), Epoch: command.Epoch, Version: command.Version, Step: command.Step, Map: &rankgroup.Map{Sets: command.Map}})
	switch {
	case !replied:
		panic(http.ErrAbortHandler)
	case result == rankgroup.Refused:
		w.WriteHeader(http.StatusConflict)
	}
}

// handleStream runs a request and streams one event per step. A request with a
// Last-Event-Id header gets the events after it.
func (e *Endpoint) handleStream(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admit(w, r) {
		return
	}
	defer e.release()
	id := r.Header.Get("Request-Id")
	next := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next = n + 1
	}
	f := e.currentFaults()
	hang, truncate, fail := e.chance(f.Hang), e.chance(f.Truncate), e.chance(f.Fail)
	total, headersSent := EventCount(id), false
	for ; next <= total; next++ {
		open, stepBegan, stalled, lostEndpoint := e.group.streamState()
		if open && !hang {
			select {
			case <-stepBegan:
			case <-r.Context().Done():
				return
			case <-stalled:
				open = false
			}
		}
		if hang {
			<-r.Context().Done()
			return
		}
		if !open {
			e.failStalled(w, headersSent, lostEndpoint)
			return
		}
		if !headersSent {
			if fail {
				e.setHeaders(w, id)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			e.setHeaders(w, id)
			w.Header().Set("Content-Type", "text/event-stream")
			headersSent = true
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", next, EventData(id, next))
		if truncate && next == total/2+1 {
			_, _ = io.WriteString(w, event[:len(event)/2]) // truncated on purpose; a write error does not matter
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// failStalled ends a request whose group lost a rank: it aborts a stream that has
// started, and rejects a request that has not.
func (e *Endpoint) failStalled(w http.ResponseWriter, headersSent bool, lostEndpoint string) {
	time.Sleep(e.group.cfg.StallTime)
	if headersSent {
		panic(http.ErrAbortHandler)
	}
	reject(w, lostEndpoint)
}
