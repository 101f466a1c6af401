package expertmap

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Times and limits of the agent's side.
const (
	rankPoll = 250 * time.Millisecond
	// rankTimeout bounds a call to the rank. Handle makes two in a row to a rank
	// that does not answer, and must return within callTimeout, because a call
	// that times out closes the connection between entry and agent.
	rankTimeout = 700 * time.Millisecond
	// maxStateBytes bounds a state answer; 60 layers of 64 slots take about 80 kB.
	maxStateBytes = 4 << 20
)

// MapLoaderConfig holds the parameters of a Rank.
type MapLoaderConfig struct {
	// Group and Rank name the place in the rank group.
	Group string
	Rank  int
	// Endpoint is the HTTP address (IP:port) of the rank.
	Endpoint string
	Client   *http.Client
	// Pool passes maps on to other agents; nil leaves that to the coordinator.
	Pool  RPCClient
	Clock clockwork.Clock
	Log   logr.Logger
}

// MapLoader is the agent's side of map switches for one rank.
type MapLoader struct {
	cfg MapLoaderConfig

	mu     sync.Mutex
	keeper MapCache
}

// NewMapLoader returns the agent's side of a rank.
func NewMapLoader(cfg MapLoaderConfig) *MapLoader {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: rankTimeout}
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &MapLoader{cfg: cfg}
}

// Run makes the rank reload its maps after it has restarted, until ctx ends.
// It needs neither the coordinator nor the store.
func (r *MapLoader) Run(ctx context.Context) error {
	ticker := r.cfg.Clock.NewTicker(rankPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if _, err := r.sync(ctx, false); err != nil {
			r.cfg.Log.V(1).Info("rank did not answer", "rank", r.cfg.Rank, "reason", err.Error())
		}
	}
}

// Handle answers Agent.Map.
func (r *MapLoader) Handle(ctx context.Context, args wire.MapArgs) (wire.MapReply, error) {
	if args.Group != r.cfg.Group {
		return wire.MapReply{}, trace.BadParameter("this agent's rank is in group %q, not %q; refresh the node list", r.cfg.Group, args.Group)
	}
	refused := false
	if len(args.Content) > 0 {
		ok, err := r.accept(ctx, args)
		if err != nil {
			return wire.MapReply{}, err
		}
		refused = !ok
		if ok {
			r.passOn(ctx, args)
		}
	}
	reply, err := r.sync(ctx, args.WantLoads)
	if err != nil {
		r.cfg.Log.V(1).Info("rank did not answer", "rank", r.cfg.Rank, "reason", err.Error())
		reply = wire.MapReply{NotReady: true, Highest: r.highest()}
	}
	reply.Refused = refused
	return reply, nil
}

// passOn relays an accepted map in the background; an agent that does not get
// it is served by the coordinator later.
func (r *MapLoader) passOn(ctx context.Context, args wire.MapArgs) {
	if r.cfg.Pool == nil || len(args.Relay) == 0 {
		return
	}
	addrs := args.Relay
	args.Relay = nil
	go relay(context.WithoutCancel(ctx), r.cfg.Pool, agentFanOut, addrs, args, r.cfg.Log)
}

func (r *MapLoader) highest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Highest()
}

// accept checks a map and keeps it for the rank. It returns false if the number
// is lower than the highest one seen.
func (r *MapLoader) accept(ctx context.Context, args wire.MapArgs) (bool, error) {
	if r.highest() == 0 {
		// After a restart the agent learns from the rank which numbers are old;
		// without an answer the map is only kept for later.
		_, _ = r.sync(ctx, false)
	}
	canonical, err := Inflate(args.Content)
	if err != nil {
		return false, err
	}
	m, err := Decode(canonical)
	if err != nil {
		return false, err
	}
	if m.Number != args.Number || m.Group != args.Group || Digest(canonical) != args.Digest || r.cfg.Rank >= m.Ranks {
		return false, trace.BadParameter("map %d of group %q does not match its envelope; send the recorded map again", args.Number, args.Group)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.keeper.Accept(PackedMap{args.Number, args.Digest, args.Content}) {
		r.cfg.Log.Info("refused an old map", "group", args.Group, "map", args.Number, "highest", r.keeper.Highest(), "from", args.From.ID)
		return false, nil
	}
	return true, nil
}

// drop gives up a map whose fencing token the rank refuses as stale.
func (r *MapLoader) drop(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeper.Drop(number)
}

// sync reads the state of the rank and has it load the maps that it lacks.
func (r *MapLoader) sync(ctx context.Context, loads bool) (wire.MapReply, error) {
	st, err := r.state(ctx, loads)
	if err != nil {
		return wire.MapReply{}, err
	}
	if m, ok := r.missing(st); ok {
		if err := r.post(ctx, m); err != nil {
			return wire.MapReply{}, err
		}
		r.cfg.Log.Info("rank loads a map", "group", r.cfg.Group, "rank", r.cfg.Rank, "map", m.Number)
		st.Loading = m.Number
	}
	return wire.MapReply{
		Held: st.Held, Active: st.Active, Loading: st.Loading, Step: st.Step, StepMS: st.StepMS,
		Loads: PackLoads(st.Loads), LoadsOf: st.LoadsOf, Highest: r.highest(),
	}, nil
}

func (r *MapLoader) missing(st RankState) (PackedMap, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.NextToLoad(st)
}

func (r *MapLoader) state(ctx context.Context, loads bool) (RankState, error) {
	url := "http://" + r.cfg.Endpoint + PathRankState
	if loads {
		url += "?loads=1"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return RankState{}, trace.Wrap(err)
	}
	res, err := r.cfg.Client.Do(req)
	if err != nil {
		return RankState{}, trace.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return RankState{}, trace.ConnectionProblem(nil, "rank answered %s to a state request; check the engine", res.Status)
	}
	var st RankState
	err = json.NewDecoder(io.LimitReader(res.Body, maxStateBytes)).Decode(&st)
	return st, trace.Wrap(err)
}

func (r *MapLoader) post(ctx context.Context, m PackedMap) error {
	canonical, err := Inflate(m.Bytes)
	if err != nil {
		return err
	}
	body, err := json.Marshal(RankMapRequest{Number: m.Number, FencingToken: m.Number, Digest: m.Digest, Content: canonical})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.cfg.Endpoint+PathRankMap, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := r.cfg.Client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxStateBytes)) // lets the connection be reused
	if res.StatusCode == http.StatusConflict {
		r.drop(m.Number)
		return nil
	}
	if res.StatusCode/100 != 2 {
		return trace.CompareFailed("rank answered %s to map %d; check the engine", res.Status, m.Number)
	}
	return nil
}
