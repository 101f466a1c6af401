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

	"github.com/wasabinotch/wasabinotch/httpguard"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Times and limits of a MapLoader.
const (
	rankPollInterval = 250 * time.Millisecond
	// rankTimeout bounds an HTTP request to the rank. Handle makes two in sequence
	// to a rank that does not respond, and must return within callTimeout, because
	// an RPC that times out closes the connection between entry and agent.
	rankTimeout = 700 * time.Millisecond
	// maxStateBytes bounds a state response; 60 layers of 64 slots take about 80 kB.
	maxStateBytes = 4 << 20
)

// MapLoaderConfig holds the parameters of a MapLoader. Nil for Client or Clock
// selects a default.
type MapLoaderConfig struct {
	// Group is the name of the rank group and Rank the index of the rank in it.
	Group string
	Rank  int
	// Endpoint is the HTTP address (IP:port) of the rank.
	Endpoint string
	Client   *http.Client
	// Pool relays maps to other agents. If it is nil, maps are not relayed and the
	// coordinator sends them directly.
	Pool  RPCClient
	Clock clockwork.Clock
	Log   logr.Logger
}

// MapLoader runs in an agent and has the agent's rank load the maps that the
// coordinator sends.
type MapLoader struct {
	cfg MapLoaderConfig

	mu    sync.Mutex
	cache MapCache
}

// NewMapLoader returns the map loader of a rank.
func NewMapLoader(cfg MapLoaderConfig) *MapLoader {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: rankTimeout, Transport: httpguard.NewTransport(nil)}
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &MapLoader{cfg: cfg}
}

// Run polls the rank until ctx ends and has it load maps that it lacks, e.g. after
// the rank has restarted. It needs neither the coordinator nor the store. It always
// returns nil.
func (l *MapLoader) Run(ctx context.Context) error {
	ticker := l.cfg.Clock.NewTicker(rankPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if _, err := l.syncRank(ctx, false); err != nil {
			l.cfg.Log.V(1).Info("Request to the rank failed.", "rank", l.cfg.Rank, "reason", err.Error())
		}
	}
}

// Handle serves the RPC method Agent.Map. It accepts and relays the map in args, if
// any, and returns the state of the rank, with NotReady set if a request to the
// rank fails.
func (l *MapLoader) Handle(ctx context.Context, args wire.MapArgs) (wire.MapReply, error) {
	if args.Group != l.cfg.Group {
		return wire.MapReply{}, trace.BadParameter("the rank of this agent is in group %q, not %q; refresh the node list", l.cfg.Group, args.Group)
	}
	refused := false
	if len(args.Content) > 0 {
		ok, err := l.acceptMap(ctx, args)
		if err != nil {
			return wire.MapReply{}, err
		}
		refused = !ok
		if ok {
			l.relayMap(ctx, args)
		}
	}
	reply, err := l.syncRank(ctx, args.WantLoads)
	if err != nil {
		l.cfg.Log.V(1).Info("Request to the rank failed.", "rank", l.cfg.Rank, "reason", err.Error())
		reply = wire.MapReply{NotReady: true, Highest: l.highestNumber()}
	}
	reply.Refused = refused
	return reply, nil
}

// relayMap relays an accepted map in the background. The coordinator later sends
// the map directly to an agent that did not receive it.
func (l *MapLoader) relayMap(ctx context.Context, args wire.MapArgs) {
	if l.cfg.Pool == nil || len(args.Relay) == 0 {
		return
	}
	addrs := args.Relay
	args.Relay = nil
	go sendThroughRelays(context.WithoutCancel(ctx), l.cfg.Pool, agentFanOut, addrs, args, l.cfg.Log)
}

func (l *MapLoader) highestNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cache.Highest()
}

// acceptMap validates a map and caches it for the rank. It returns false if the
// map is outdated or conflicts with another content under its number.
func (l *MapLoader) acceptMap(ctx context.Context, args wire.MapArgs) (bool, error) {
	if l.highestNumber() == 0 {
		// A restarted agent learns the highest number from the maps that the rank
		// holds. If the rank does not respond, the map is cached for later.
		_, _ = l.syncRank(ctx, false)
	}
	canonical, err := Inflate(args.Content)
	if err != nil {
		return false, err
	}
	m, err := Decode(canonical)
	if err != nil {
		return false, err
	}
	if m.Number != args.Number || m.Group != args.Group || Digest(canonical) != args.Digest || l.cfg.Rank >= m.Ranks {
		return false, trace.BadParameter("map %d of group %q does not match the number, group or digest of the request, or does not include the rank of this agent; send the recorded map again", args.Number, args.Group)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cache.Accept(PackedMap{args.Number, args.Digest, args.Content}) {
		l.cfg.Log.Info("Rejected an outdated or conflicting map.", "group", args.Group, "map", args.Number, "highest", l.cache.Highest(), "from", args.From.ID)
		return false, nil
	}
	return true, nil
}

// dropMap removes a map whose fencing token the rank rejects as stale.
func (l *MapLoader) dropMap(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache.Drop(number)
}

// syncRank fetches the state of the rank, with loads if wantLoads, and has the rank
// load the next map that it lacks.
func (l *MapLoader) syncRank(ctx context.Context, wantLoads bool) (wire.MapReply, error) {
	st, err := l.fetchState(ctx, wantLoads)
	if err != nil {
		return wire.MapReply{}, err
	}
	if m, ok := l.nextToLoad(st); ok {
		if err := l.postMap(ctx, m); err != nil {
			return wire.MapReply{}, err
		}
		l.cfg.Log.Info("The rank is loading a map.", "group", l.cfg.Group, "rank", l.cfg.Rank, "map", m.Number)
		st.Loading = m.Number
	}
	return wire.MapReply{
		Held: st.Held, Active: st.Active, Loading: st.Loading, Step: st.Step, StepMS: st.StepMS,
		Loads: PackLoads(st.Loads), LoadsOf: st.LoadsOf, Highest: l.highestNumber(),
	}, nil
}

func (l *MapLoader) nextToLoad(st RankState) (PackedMap, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cache.NextToLoad(st)
}

func (l *MapLoader) fetchState(ctx context.Context, wantLoads bool) (RankState, error) {
	url := "http://" + l.cfg.Endpoint + PathRankState
	if wantLoads {
		url += "?loads=1"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return RankState{}, trace.Wrap(err)
	}
	res, err := l.cfg.Client.Do(req)
	if err != nil {
		return RankState{}, trace.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return RankState{}, trace.ConnectionProblem(nil, "the rank responded with status %s to a state request; check the engine", res.Status)
	}
	var st RankState
	err = json.NewDecoder(io.LimitReader(res.Body, maxStateBytes)).Decode(&st)
	return st, trace.Wrap(err)
}

func (l *MapLoader) postMap(ctx context.Context, m PackedMap) error {
	canonical, err := Inflate(m.Bytes)
	if err != nil {
		return err
	}
	body, err := json.Marshal(RankMapRequest{Number: m.Number, FencingToken: m.Number, Digest: m.Digest, Content: canonical})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.cfg.Endpoint+PathRankMap, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := l.cfg.Client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxStateBytes)) // drained so that the connection can be reused
	if res.StatusCode == http.StatusConflict {
		l.dropMap(m.Number)
		return nil
	}
	if res.StatusCode/100 != 2 {
		return trace.CompareFailed("the rank responded with status %s to a request to load map %d; check the engine", res.Status, m.Number)
	}
	return nil
}
