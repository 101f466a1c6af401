package rankgroup

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// EngineOptions are the parameters of one simulated rank.
type EngineOptions struct {
	// IgnoreFencing makes the rank accept maps with stale fencing tokens.
	IgnoreFencing bool
	// StepTime is the duration of a step.
	StepTime time.Duration
	// RestartTime is how long the rank is unavailable in a restart.
	RestartTime time.Duration
	// LoadDelay is added to the time of loading a map.
	LoadDelay time.Duration
	// ExpertBytes is the size of one expert's weights in bytes.
	ExpertBytes int64
	// Speed is the relative speed of the rank; the reported step time is divided by
	// it. 0 means 1.
	Speed float64
}

// engine is one rank: an HTTP control interface and a goroutine that executes
// steps together with the other ranks.
type engine struct {
	rank  int
	opt   EngineOptions
	store *WeightStore
	addr  string
	http  *http.Server
	// popularity returns the load by expert of a layer.
	popularity func(layer int) []float64
	loadDelay  atomic.Int64 // time.Duration; may change while the rank runs

	mu             sync.Mutex
	incarnation    string
	incarnationCtx context.Context // ends with the incarnation
	endIncarnation context.CancelFunc
	downUntil      time.Time
	stallFor       time.Duration
	held           expertmap.HeldMaps[heldMap]
	queue          []heldMap // maps to load; the first is being loaded
	highestToken   uint64    // highest fencing token accepted
	step           uint64
	namedSwitch    *namedSwitch
}

type heldMap struct {
	mapUse
	content *expertmap.Map
}

func newEngine(rank int, opt EngineOptions, store *WeightStore, popularity func(int) []float64) *engine {
	e := &engine{rank: rank, opt: opt, store: store, popularity: popularity}
	e.loadDelay.Store(int64(opt.LoadDelay))
	e.startIncarnation()
	return e
}

// handler serves the rank's control interface.
func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+expertmap.PathRankMap, e.whenUp(e.handleMap))
	mux.HandleFunc("GET "+expertmap.PathRankState, e.whenUp(e.handleState))
	return mux
}

// listen serves the control interface at an address.
func (e *engine) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.addr = ln.Addr().String()
	e.http = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = e.http.Serve(ln) }() // ends with close
	return nil
}

func (e *engine) close() {
	if e.http != nil {
		_ = e.http.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
}

// startIncarnation begins a new incarnation, which holds no maps.
func (e *engine) startIncarnation() {
	e.incarnation = rand.Text()
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.held = expertmap.HeldMaps[heldMap]{}
	e.queue = nil
	e.highestToken = 0
	e.namedSwitch = nil
}

// restart begins a new incarnation and makes the rank unavailable for RestartTime.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
	e.startIncarnation()
	e.downUntil = time.Now().Add(e.opt.RestartTime)
}

// stall delays the rank's next step.
func (e *engine) stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallFor = d
}

// whenUp responds with status 503 during a restart.
func (e *engine) whenUp(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if down {
			http.Error(w, "the rank is starting", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// maxContentBytes bounds the body of a map request.
const maxContentBytes = 16 << 20

func (e *engine) handleMap(w http.ResponseWriter, r *http.Request) {
	var req expertmap.RankMapRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxContentBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, err := expertmap.Decode(req.Content)
	if err != nil || m.Number != req.Number {
		http.Error(w, "the content is not the numbered map", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.opt.IgnoreFencing && req.FencingToken < e.highestToken {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.highestToken = max(e.highestToken, req.FencingToken)
	e.enqueue(heldMap{mapUse{req.Number, expertmap.Digest(req.Content)}, m})
	w.WriteHeader(http.StatusAccepted)
}

// enqueue queues a map for loading unless it is held or queued already.
func (e *engine) enqueue(h heldMap) {
	if _, ok := e.held.Get(h.number); ok {
		return
	}
	for _, q := range e.queue {
		if q.number == h.number {
			return
		}
	}
	e.queue = append(e.queue, h)
	if len(e.queue) == 1 {
		go e.load(e.incarnationCtx)
	}
}

// load loads queued maps one after the other until the queue is empty or ctx, the
// context of the incarnation, ends.
func (e *engine) load(ctx context.Context) {
	for {
		e.mu.Lock()
		if ctx.Err() != nil || len(e.queue) == 0 {
			e.mu.Unlock()
			return
		}
		next := e.queue[0]
		bytes := e.missingBytes(next.content)
		e.mu.Unlock()
		err := e.store.Load(ctx, bytes)
		if err == nil {
			err = sleep(ctx, time.Duration(e.loadDelay.Load()))
		}
		e.mu.Lock()
		if err != nil || ctx.Err() != nil {
			e.mu.Unlock()
			return
		}
		e.held.Add(next.number, next)
		e.queue = e.queue[1:]
		e.mu.Unlock()
	}
}

// missingBytes returns the size in bytes of the experts that m places on this rank
// and that no held map places there.
func (e *engine) missingBytes(m *expertmap.Map) int64 {
	n := int64(0)
	for l := range m.Layers {
		have := make(map[int32]bool)
		for _, h := range e.held.All() {
			for _, x := range h.content.Layers[l].Experts[e.rank*m.Slots : (e.rank+1)*m.Slots] {
				have[x] = true
			}
		}
		for _, x := range m.Layers[l].Experts[e.rank*m.Slots : (e.rank+1)*m.Slots] {
			if x != expertmap.NoExpert && !have[x] {
				n++
			}
		}
	}
	return n * e.opt.ExpertBytes
}

func (e *engine) handleState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	st := expertmap.RankState{Incarnation: e.incarnation, Held: e.held.Numbers(), Active: e.held.Active(), Step: e.step}
	if len(e.queue) > 0 {
		st.Loading = e.queue[0].number
	}
	if h, ok := e.held.Get(e.held.Active()); ok {
		slotLoads, work := e.loads(h.content)
		speed := e.opt.Speed
		if speed == 0 {
			speed = 1
		}
		st.StepMS = work / speed
		st.LoadsOf = st.Active
		if r.URL.Query().Get("loads") != "" {
			st.Loads = slotLoads
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st) // fails only if the client disconnected
}

// loads returns the rank's load by layer and slot under map m, and the sum of it.
func (e *engine) loads(m *expertmap.Map) ([][]float64, float64) {
	out := make([][]float64, len(m.Layers))
	sum := 0.0
	for l := range m.Layers {
		pop := e.popularity(l)
		out[l] = make([]float64, m.Slots)
		for k := range out[l] {
			i := e.rank*m.Slots + k
			if x := m.Layers[l].Experts[i]; x != expertmap.NoExpert {
				out[l][k] = pop[x] * float64(m.Layers[l].Weights[i]) / expertmap.WeightTotal
				sum += out[l][k]
			}
		}
	}
	return out, sum
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
