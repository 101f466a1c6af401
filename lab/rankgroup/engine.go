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

// EngineOptions are the properties of one simulated rank.
type EngineOptions struct {
	// IgnoreFencing accepts maps whatever their fencing token is.
	IgnoreFencing bool
	// StepTime is the duration of a step.
	StepTime time.Duration
	// RestartTime is how long a restart takes.
	RestartTime time.Duration
	// LoadDelay is added to every load of a map.
	LoadDelay time.Duration
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	// Speed divides the reported work time; 0 means 1.
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
	loadDelay  atomic.Int64 // time.Duration, may be changed while running

	mu       sync.Mutex
	boot     string
	life     context.Context // ends with the boot
	endLife  context.CancelFunc
	downTill time.Time
	stallFor time.Duration
	held     expertmap.HeldMaps[heldMap]
	queue    []heldMap // maps to load; the first is being loaded
	highest  uint64    // fencing token
	step     uint64
	named    *namedSwitch
}

type heldMap struct {
	use
	content *expertmap.Map
}

func newEngine(rank int, opt EngineOptions, store *WeightStore, popularity func(int) []float64) *engine {
	e := &engine{rank: rank, opt: opt, store: store, popularity: popularity}
	e.loadDelay.Store(int64(opt.LoadDelay))
	e.begin()
	return e
}

// handler serves the rank's control interface.
func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+expertmap.PathRankMap, e.alive(e.handleMap))
	mux.HandleFunc("GET "+expertmap.PathRankState, e.alive(e.handleState))
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
	e.endLife()
}

// begin starts a boot in which nothing is held.
func (e *engine) begin() {
	e.boot = rand.Text()
	e.life, e.endLife = context.WithCancel(context.Background())
	e.held = expertmap.HeldMaps[heldMap]{}
	e.queue = nil
	e.highest = 0
	e.named = nil
}

// restart loses everything and is away for RestartTime.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLife()
	e.begin()
	e.downTill = time.Now().Add(e.opt.RestartTime)
}

// stall delays the rank's next step.
func (e *engine) stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallFor = d
}

func (e *engine) alive(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := time.Now().Before(e.downTill)
		e.mu.Unlock()
		if down {
			http.Error(w, "the rank is starting", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// maxContentBytes bounds a map request.
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
	if !e.opt.IgnoreFencing && req.FencingToken < e.highest {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.highest = max(e.highest, req.FencingToken)
	e.enqueue(heldMap{use{req.Number, expertmap.Digest(req.Content)}, m})
	w.WriteHeader(http.StatusAccepted)
}

// enqueue starts loading a map that is neither held nor being loaded.
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
		go e.load(e.life)
	}
}

// load loads queued maps one after the other until the queue is empty or the
// boot ends.
func (e *engine) load(life context.Context) {
	for {
		e.mu.Lock()
		if life.Err() != nil || len(e.queue) == 0 {
			e.mu.Unlock()
			return
		}
		next := e.queue[0]
		bytes := e.missingBytes(next.content)
		e.mu.Unlock()
		err := e.store.Load(life, bytes)
		if err == nil {
			err = sleep(life, time.Duration(e.loadDelay.Load()))
		}
		e.mu.Lock()
		if err != nil || life.Err() != nil {
			e.mu.Unlock()
			return
		}
		e.held.Add(next.number, next)
		e.queue = e.queue[1:]
		e.mu.Unlock()
	}
}

// missingBytes is the size of the experts that no held map has on this rank.
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
	st := expertmap.RankState{Incarnation: e.boot, Held: e.held.Numbers(), Active: e.held.Active(), Step: e.step}
	if len(e.queue) > 0 {
		st.Loading = e.queue[0].number
	}
	if h, ok := e.held.Get(e.held.Active()); ok {
		loads, work := e.loads(h.content)
		speed := e.opt.Speed
		if speed == 0 {
			speed = 1
		}
		st.StepMS = work / speed
		st.LoadsOf = st.Active
		if r.URL.Query().Get("loads") != "" {
			st.Loads = loads
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st) // the connection is gone if this fails
}

// loads returns the load by layer and slot under map m, and its sum.
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
