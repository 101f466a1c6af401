package platformsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/ranksim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

// GroupConfig configures a rank group.
type GroupConfig struct {
	Name       string
	Dimensions rankgroup.Dimensions
	// StepTime is the time of a pass, StallTime how long work stalls after a rank is
	// lost, and FormTime how long the group takes to form anew.
	StepTime, StallTime, FormTime time.Duration
	Seed                          uint64
}

// Group is a stand-in for a group of model engines.
type Group struct {
	cfg   GroupConfig
	Ranks []*Endpoint
	// RankSim is the state of the group's maps.
	RankSim *ranksim.Group
	done    chan struct{}

	mu sync.Mutex
	// open is false while a rank is away or the group forms.
	open bool
	// passed is closed and replaced with each pass, broken as the group loses a rank.
	passed, broken chan struct{}
	lost           string
}

// StartGroup starts a group with one rank for each configuration of endpoints.
func StartGroup(cfg GroupConfig, ranks []EndpointConfig) (*Group, error) {
	cfg.Dimensions.Ranks = len(ranks)
	g := &Group{cfg: cfg, RankSim: ranksim.New(cfg.Dimensions, cfg.Seed), done: make(chan struct{}), open: true,
		passed: make(chan struct{}), broken: make(chan struct{})}
	g.RankSim.SlowCopies = true
	g.RankSim.Idle = true
	for i, c := range ranks {
		e := newEndpoint(c)
		e.model, e.rank = g, i
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", e.report)
		mux.HandleFunc("GET /picked", e.picked)
		mux.HandleFunc("POST /order", e.order)
		mux.HandleFunc("/", e.stream)
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

// hotEvery is the number of passes after which demand moves.
const hotEvery = 40

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
		if n%hotEvery == 0 {
			g.RankSim.DemandOffset += 3
		}
		g.RankSim.Unlock()
		g.mu.Lock()
		if g.open && g.RankSim.BeginStep() {
			close(g.passed)
			g.passed = make(chan struct{})
		}
		g.mu.Unlock()
	}
}

// lose breaks the group.
func (g *Group) lose(rank int) {
	g.RankSim.Lock()
	g.RankSim.Ranks[rank].Crashed = true
	g.RankSim.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		g.open = false
		g.lost = g.Ranks[rank].ID()
		close(g.broken)
	}
}

// regain forms the group anew if all ranks are back.
func (g *Group) regain(rank int) {
	g.RankSim.Lock()
	g.RankSim.Ranks[rank].Crashed = false
	g.RankSim.Unlock()
	if !g.RankSim.AllRanksRunning() {
		return
	}
	time.AfterFunc(g.cfg.FormTime, func() {
		if !g.RankSim.AllRanksRunning() {
			return // another rank went meanwhile; its return forms the group
		}
		g.RankSim.Form()
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.open {
			g.open, g.broken = true, make(chan struct{})
		}
	})
}

// state returns what a stream waits for, and the lost rank if there is one.
func (g *Group) state() (open bool, passed, broken chan struct{}, lost string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.passed, g.broken, g.lost
}

func (e *Endpoint) report(w http.ResponseWriter, r *http.Request) {
	rep := e.model.RankSim.Report(e.rank)
	open, _, _, _ := e.model.state()
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
	reply(w, map[string]any{"born": e.born, "active": e.running, "queued": e.waiting, "cold_remaining_ms": e.cold().Milliseconds(),
		"group": map[string]any{"name": e.model.cfg.Name, "epoch": rep.Epoch, "rank": e.rank, "state": state}, "size": rep.Size,
		"step": rep.Step, "expert_map": rep.MapVersion, "prepared": prepared, "armed": armed, "held": rep.HeldStep})
}

func (e *Endpoint) picked(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("lists") {
		experts, version := e.model.RankSim.HeldExperts(e.rank)
		reply(w, map[string]any{"expert_map": map[string]any{"version": version, "experts": experts}})
		return
	}
	c := e.model.RankSim.SelectionCounts(e.rank)
	reply(w, map[string]any{"epoch": c.Epoch, "counts": c.Selections})
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string    `json:"operation"`
		Epoch     uint64    `json:"epoch"`
		Version   uint64    `json:"version"`
		Step      uint64    `json:"step"`
		Map       [][][]int `json:"expert_map"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	result, answered := e.model.RankSim.Deliver(e.rank, rankgroup.Command{
		Operation: rankgroup.Operation(o.Operation), Epoch: o.Epoch, Version: o.Version, Step: o.Step, Map: &rankgroup.Map{Sets: o.Map}})
	switch {
	case !answered:
		panic(http.ErrAbortHandler)
	case result == rankgroup.Refused:
		w.WriteHeader(http.StatusConflict)
	}
}

// stream answers with an event a pass.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request) {
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
	f := e.wrong()
	hang, cut, fail := e.chance(f.Hang), e.chance(f.Truncate), e.chance(f.Fail)
	total, begun := EventCount(id), false
	for ; next <= total; next++ {
		open, passed, broken, lost := e.model.state()
		if open && !hang {
			select {
			case <-passed:
			case <-r.Context().Done():
				return
			case <-broken:
				open = false
			}
		}
		if hang {
			<-r.Context().Done()
			return
		}
		if !open {
			e.stalled(w, begun, lost)
			return
		}
		if !begun {
			if fail {
				e.header(w, id)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			e.header(w, id)
			w.Header().Set("Content-Type", "text/event-stream")
			begun = true
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", next, EventData(id, next))
		if cut && next == total/2+1 {
			_, _ = io.WriteString(w, event[:len(event)/2]) // cut on purpose
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

// stalled ends a request whose group lost a rank.
func (e *Endpoint) stalled(w http.ResponseWriter, begun bool, lost string) {
	time.Sleep(e.model.cfg.StallTime)
	if begun {
		panic(http.ErrAbortHandler)
	}
	reject(w, lost)
}
