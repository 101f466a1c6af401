// Package node assembles the two processes that run on the users' platform: the
// entry, which serves callers, and the agent beside a model engine.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/forward"
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/share"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// dialTimeout bounds connecting. The round trip between VMs is about a
	// millisecond; a longer wait means that the peer is down or its accept queue
	// overflows.
	dialTimeout = 250 * time.Millisecond
	// idleTimeoutFactor is the idle timeout of the callers' connections as a
	// multiple of the configured one, so that a caller's request doesn't arrive
	// while the entry closes the connection.
	idleTimeoutFactor = 1.25
	// expiryInterval is the interval at which deferred removals are attempted.
	expiryInterval = 100 * time.Millisecond
	// roundsPerSweep is the number of expiry rounds between sweeps of idle
	// connections and of entries that left.
	roundsPerSweep = 10
	// roundsPerNotice is the number of expiry rounds between two datagrams to the other
	// entries while the store fails. Two may be lost before the others stop to count this
	// entry.
	roundsPerNotice = 25
	// initialConfigTimeout is how long a starting entry waits for a configuration
	// before it serves without one.
	initialConfigTimeout = 5 * time.Second
	// initialPollTimeout bounds the poll of other entries before a starting entry serves.
	// Entries that lost power with it don't respond.
	initialPollTimeout = 300 * time.Millisecond
	// maxPeerResponseBytes bounds the response of another entry.
	maxPeerResponseBytes = 4 << 20
	// pathOperator is the HTTP path at which entries serve the operator's state
	// to each other.
	pathOperator = "/operator"
	// headerNewestChange and headerNewestChangeEra are the headers of responses at
	// pathOperator with the revision and the era of the newest change that the entry
	// has seen.
	headerNewestChange    = "Newest-Change"
	headerNewestChangeEra = "Newest-Change-Era"
	// queryCount is the query parameter at pathOperator with which an entry that has started
	// lately asks how many entries share limits, headerCount the header of the answer.
	// maxEntries bounds what is believed.
	queryCount  = "sharing"
	headerCount = "Entries-Sharing"
	maxEntries  = 1 << 14
	// peerPollInterval is the interval at which an entry polls another entry for
	// the operator's state, unstablePollInterval the interval while the store fails
	// and for unstableWindow afterwards, or while the entry asks others for turns. With
	// staleWatchTimeout, a silent watch delays a change by about a second.
	peerPollInterval     = 500 * time.Millisecond
	unstablePollInterval = 250 * time.Millisecond
	unstableWindow       = 3 * time.Second
	// settleTime is how long a change in the store may wait so that one call
	// reads further changes too, since every call is billed. It is a small part
	// of the two seconds within which configurations and leaving endpoints must
	// take effect.
	settleTime = 150 * time.Millisecond
	// longPromptQueue bounds the long prompts of which agents have not been told yet.
	longPromptQueue = 64
	// directoryTTLSeconds is the lifetime of a directory response unless the
	// settings bound it lower. It is short so that callers soon stop using the
	// address of a stopped entry.
	directoryTTLSeconds = 2.0
)

// peerReads bounds the poll of another entry. Within Total, the narrowest link of a
// deployment, 6 Mbit/s, carries a configuration of 1 MiB in base64.
var peerReads = store.ReadTimeouts{First: 2 * dialTimeout, Stall: 2 * dialTimeout, Total: 3 * time.Second}

// Times in a drain, as fractions of the grace period since SIGTERM.
const (
	// acceptAllFraction is when the entry begins to refuse requests that may not end
	// before it exits. acceptAllTime may come first.
	acceptAllFraction = 0.5
	// closeAtFraction is when the listener closes.
	closeAtFraction = 0.8
	// endAtFraction is when the process exits, even if requests are in progress.
	endAtFraction = 0.97
)

const (
	// acceptAllTime bounds the time after SIGTERM in which all requests are accepted. It
	// ends within the window whose requests may be aborted.
	acceptAllTime = platform.DrainAbortWindow - drainDelay
	// drainDelay bounds the delay between the signal and the start of the drain.
	drainDelay = 250 * time.Millisecond
	// responseMargin is left between the deadline of the last requests and the exit, for
	// their responses to be written.
	responseMargin = 100 * time.Millisecond
)

// Entry is the process that serves callers.
type Entry struct {
	cfg     settings.PlatformEntry
	log     logr.Logger
	client  *upstream.Client
	store   *platform.Store
	feed    *monitoredFeed
	fleet   *fleet.Fleet
	handler *forward.Handler
	metrics *metrics.Set
	// limitedLog is log with a rate limit, for faults that can occur very often.
	limitedLog logr.Logger
	bounds     *bounds
	// callers bounds the callers' connections, with the limits of the configuration in force.
	callers  *limits.Connections
	health   *storeHealth
	operator *operatorFollower
	// encodedState is the operator's state as it was last sent to other entries.
	encodedState encodedState
	endpoints    *endpointFollower
	peers        *entryFollower
	holds        *holdSharer
	notices      *noticeSharer
	// longPrompts are those of which the endpoints' agents are to be told.
	longPrompts chan longPrompt
	turns       *turnLender
	// partialAnswers counts the responses of the directory that name some entries only.
	partialAnswers *metrics.Counter
	// ready is true while the entry accepts callers and is not draining.
	ready atomic.Bool
	// servers are the internal HTTP servers; they run until the end of a drain.
	servers []*http.Server
}

// NewEntry returns an entry that is started with Run.
func NewEntry(s settings.PlatformEntry, log logr.Logger) *Entry {
	e := &Entry{cfg: s, log: log, client: newClient(&s.PlatformNode), metrics: metrics.NewSet(), limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst)}
	e.bounds = newBounds(&s.PlatformNode, e.metrics, logs.Limit(log.WithName("limits"), faultLinesPerSecond, faultLineBurst))
	// Records lapse after heartbeatsToExpiry heartbeats; one that fails is harmless.
	e.health = &storeHealth{log: log.WithName("store"), outages: e.metrics.NewCounter("wasabinotch_store_lost_total"), maxSilence: s.Bounds.Heartbeat()}
	e.store = platform.NewStore(s.StoreAddr, e.client)
	e.feed = newMonitoredFeed(e.store, e.metrics, log.WithName("store"))
	e.fleet = fleet.New(s.Zone, e.client.CloseIdle)
	e.longPrompts = make(chan longPrompt, longPromptQueue)
	e.fleet.TellReadings(e.queueReading)
	e.holds = newHoldSharer(e.store, e.client, e.otherEntries, e.log.WithName("quarantine"))
	e.notices = newNoticeSharer(e.fleet, e.otherEntries, e.metrics, log.WithName("endpoints"))
	e.turns = &turnLender{fleet: e.fleet, lent: e.metrics.NewCounter("wasabinotch_turns_lent_total"), borrowed: e.metrics.NewCounter("wasabinotch_turns_borrowed_total"),
		log: logs.Limit(log.WithName("turns"), faultLinesPerSecond, faultLineBurst)}
	e.handler = forward.New(forward.Config{
		Headers: platform.Headers(), ParseLoad: platform.ParseLoad, SharedParts: platform.SharedParts, ParseWork: platform.ParseWork, FormatPriority: platform.FormatPriority,
		ParseRateLimit: platform.ParseRateLimit, TellRateLimit: e.notices.tellRateLimit,
		ParseLeaving: platform.ParseLeaving, TellLeaving: e.notices.tellLeaving, ParsePause: platform.ParsePause,
		Quarantine: e.holds.tracker, Fleet: e.fleet, Client: e.client, Memory: e.bounds.memory,
		Log: logs.Limit(log.WithName("forward"), requestLinesPerSecond, requestLineBurst), Stats: forward.NewStats(e.metrics),
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
		RetryWindow: time.Duration(s.Bounds.RetryWindowS * float64(time.Second)),
	})
	e.callers = e.bounds.callers()
	e.callers.HeadLimits = e.headLimits
	e.operator = &operatorFollower{handler: e.handler, limitsChanged: e.callers.HeadLimitsChanged, fleet: e.fleet, bounds: s.Bounds, outdated: outdatedKeys{window: reregisterGrace}, log: log.WithName("operator")}
	e.endpoints = newEndpointFollower(e.fleet, s.Bounds.Heartbeat(), e.health, log.WithName("endpoints"))
	e.peers = newEntryFollower(e.fleet, share.Member{ID: platform.PrefixEntries + s.ID, Weight: e.record().weight()}, s.Bounds, e.health, log.WithName("entries"))
	e.notices.heard = e.peers.heard
	e.partialAnswers = e.metrics.NewCounter("wasabinotch_directory_partial_total")
	e.metrics.NewGauge("wasabinotch_requests_active", func() float64 { return float64(e.handler.Active()) })
	e.metrics.NewGauge("wasabinotch_entries", func() float64 { return float64(e.peers.registered()) })
	e.metrics.NewGauge("wasabinotch_entries_sharing", func() float64 { return float64(e.fleet.Entries()) })
	e.metrics.NewGauge("wasabinotch_turn_part", func() float64 { _, usable := e.fleet.Turns(time.Now()); return usable })
	e.metrics.NewGauge("wasabinotch_retry_part", func() float64 { return e.fleet.RetryPart().Fraction })
	e.metrics.NewGauge("wasabinotch_endpoints", func() float64 { return float64(len(e.fleet.Records())) })
	e.metrics.NewGauge("wasabinotch_endpoints_rate_limited", func() float64 { return float64(e.fleet.RateLimited()) })
	e.metrics.NewGauge("wasabinotch_endpoints_leaving", func() float64 { n, _ := e.fleet.NoticeCounts(); return float64(n) })
	e.metrics.NewGauge("wasabinotch_endpoints_paused", func() float64 { _, n := e.fleet.NoticeCounts(); return float64(n) })
	e.fleet.SetReuse(placement.Reuse{Weight: s.Placement.ReuseWeight(), Retention: time.Duration(s.Placement.PromptRetentionMS * float64(time.Millisecond))})
	e.metrics.NewGauge("wasabinotch_placements_reusing_prompt", func() float64 { return float64(e.fleet.PlacementCounts().Reused) })
	e.metrics.NewGauge("wasabinotch_placements_short_of_memory", func() float64 { return float64(e.fleet.PlacementCounts().MemoryShort) })
	e.metrics.NewGauge("wasabinotch_config_version", func() float64 {
		if c := e.handler.Config(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	return e
}

func newClient(s *settings.PlatformNode) *upstream.Client {
	c := upstream.NewClient(dialTimeout)
	c.LocalAddr, _ = s.SourceAddr() // validated with the settings
	return c
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.metrics }

// Run serves callers until ctx ends, then drains within the grace period. It
// returns an error only if a port can't be opened.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("Entry starts.", "id", e.cfg.ID, "zone", e.cfg.Zone, "callers", e.cfg.CallersAddr)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := e.serveInternal(); err != nil {
		return err
	}
	go store.Follow(background, e.feed, "", settleTime, e.newStoreFollower())
	go e.pollPeers(background)
	go e.holds.run(background)
	go e.subscribeLoads(background)
	go e.expireLoop(background)
	e.awaitConfig(ctx)
	first, cancel := context.WithTimeout(ctx, initialPollTimeout)
	e.pollAnyPeer(first) // the store doesn't say which endpoints told other entries that they leave
	cancel()
	callers, err := e.serveCallers()
	if err != nil {
		return err
	}
	e.ready.Store(true)
	registered, deregister := context.WithCancel(background)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.registration().run(registered)
	}()
	<-ctx.Done()
	e.log.Info("Entry starts draining.", "grace_s", e.cfg.Bounds.GracePeriodS, "active", e.handler.Active())
	e.drain(callers, deregister)
	<-done
	e.log.Info("Entry stopped.", "active", e.handler.Active())
	return nil
}

func (e *Entry) registration() *registration {
	value, _ := json.Marshal(e.record()) // strings and finite numbers always encode
	// Renewals in shorter intervals than maxSilence show that the store answers.
	interval := min(renewInterval, e.health.maxSilence*3/4)
	return &registration{leaser: e.store, interval: interval, health: e.health, connectionLost: e.feed.connectionLost, key: platform.PrefixEntries + e.cfg.ID, value: value, log: e.log.WithName("register")}
}

// record returns the record of this entry.
func (e *Entry) record() entryRecord {
	return entryRecord{Callers: e.cfg.CallersAddr, Peer: e.peerAddr(), Zone: e.cfg.Zone, Capacity: e.cfg.Resources().Capacity()}
}

func (e *Entry) peerAddr() string { return net.JoinHostPort(e.cfg.IP, strconv.Itoa(e.cfg.PeerPort)) }

// otherEntries returns the addresses at which the other entries serve each other.
func (e *Entry) otherEntries() []string {
	var addrs []string
	for key, record := range e.peers.all() {
		if key != platform.PrefixEntries+e.cfg.ID {
			addrs = append(addrs, record.Peer)
		}
	}
	return addrs
}

// awaitConfig waits until the entry has a configuration, ctx ends or
// initialConfigTimeout has passed.
func (e *Entry) awaitConfig(ctx context.Context) {
	deadline := time.Now().Add(initialConfigTimeout)
	for e.handler.Config() == nil && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// drain removes the entry from the directory and continues to serve callers that
// still use its address until the grace period is nearly over.
func (e *Entry) drain(callers *http.Server, deregister func()) {
	began := time.Now()
	at := func(fraction float64) time.Time {
		return began.Add(time.Duration(fraction * e.cfg.Bounds.GracePeriodS * float64(time.Second)))
	}
	e.ready.Store(false)
	e.handler.StartDrain(newDrain(began, at))
	deregister()
	time.Sleep(time.Until(at(closeAtFraction)))
	ctx, cancel := context.WithDeadline(context.Background(), at(endAtFraction))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Info("Requests aborted at the end of the grace period.", "active", e.handler.Active(), "cause", err.Error())
	}
	for _, s := range e.servers {
		_ = s.Close() // the process exits
	}
}

// newDrain returns which requests are accepted in a drain that began at a time. at returns
// the time at a fraction of the grace period.
func newDrain(began time.Time, at func(fraction float64) time.Time) forward.Drain {
	d := forward.Drain{AcceptAllUntil: at(acceptAllFraction), End: at(endAtFraction).Add(-responseMargin)}
	if late := began.Add(acceptAllTime); late.Before(d.AcceptAllUntil) {
		d.AcceptAllUntil = late
	}
	return d
}

// serveCallers starts the server for callers.
func (e *Entry) serveCallers() (*http.Server, error) {
	ln, err := settings.Listen("callers_addr", e.cfg.CallersAddr)
	if err != nil {
		return nil, err
	}
	s := newServer(e.handler)
	go serve(s, ln, e.callers, e.log)
	return s, nil
}

// headLimits returns the limits on the heads of callers' requests that are in force.
func (e *Entry) headLimits() limits.HeadLimits {
	l := limits.HeadLimits{Bytes: http.DefaultMaxHeaderBytes, Timeout: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	c := e.handler.Config()
	if c == nil {
		return l
	}
	if c.Limits.HeaderBytes > 0 {
		l.Bytes = int64(c.Limits.HeaderBytes)
	}
	if c.Limits.HeaderTimeout > 0 {
		l.Timeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		l.Idle = time.Duration(idleTimeoutFactor * float64(c.Limits.IdleTimeout))
	}
	return l
}

// serveInternal starts the servers for readiness, directory, peers and metrics.
func (e *Entry) serveInternal() error {
	// Callers reach the addresses of readiness and directory.
	public := http.NewServeMux()
	public.HandleFunc("GET "+platform.PathReady, e.serveReady)
	public.HandleFunc("GET "+platform.PathDirectory, e.serveDirectory)
	// The operator's state holds all API keys, and explanations name endpoints.
	internal := http.NewServeMux()
	internal.Handle("/", public)
	internal.HandleFunc("GET "+pathOperator, e.serveOperator)
	internal.HandleFunc("POST "+wire.PathQuarantine, func(w http.ResponseWriter, r *http.Request) { e.holds.serve(w, r, e.bounds) })
	internal.HandleFunc("GET "+pathMetrics, metricsPage(e.metrics))
	internal.HandleFunc("POST "+wire.PathPlacement, e.servePlacement)
	e.servers = append(e.servers, serveMetrics(e.cfg.MetricsAddr, e.metrics, e.bounds, e.log))
	for _, l := range []struct {
		field, addr string
		handler     http.Handler
	}{
		{"ready_addr", e.cfg.ReadyAddr, public}, {"directory_addr", e.cfg.DirectoryAddr, public}, {"peer_port", e.peerAddr(), internal},
	} {
		ln, err := settings.Listen(l.field, l.addr)
		if err != nil {
			return err
		}
		s := newInternalServer(l.handler)
		e.servers = append(e.servers, s)
		go serve(s, ln, e.bounds.internal(), e.log)
	}
	return nil
}

func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	if !e.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveDirectory names entries to a caller (share.Named).
func (e *Entry) serveDirectory(w http.ResponseWriter, r *http.Request) {
	all := e.peers.all()
	self := platform.PrefixEntries + e.cfg.ID
	delete(all, self)
	if e.ready.Load() {
		all[self] = e.record()
	}
	members := make([]share.Member, 0, len(all))
	for key, record := range all {
		members = append(members, share.Member{ID: key, Weight: record.namedWeight()})
	}
	named := share.Named(members, callerHost(r)+"\n"+r.URL.RawQuery, platform.MaxDirectoryAddresses, time.Now())
	if len(named) < len(all) {
		e.partialAnswers.Inc()
	}
	addresses := make([]string, len(named))
	for i, m := range named {
		addresses[i] = all[m.ID].Callers
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	w.Header().Set("Content-Type", "application/json")
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(platform.EncodeDirectory(addresses, min(directoryTTLSeconds, e.cfg.Bounds.DirectoryTTLS))) // if this fails, the caller tries another entry
}

// callerHost returns the address of the caller without its port.
func callerHost(r *http.Request) string {
	if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		return ap.Addr().String()
	}
	return r.RemoteAddr
}

// serveOperator serves the operator's state to other entries if it is newer than the
// position in the query parameters "era" and "after", or has a newer configuration than
// "version", and in any case the position of the newest change seen.
func (e *Entry) serveOperator(w http.ResponseWriter, r *http.Request) {
	newest := e.feed.newestChange()
	w.Header().Set(headerNewestChange, strconv.FormatUint(newest.Revision, 10))
	w.Header().Set(headerNewestChangeEra, strconv.FormatUint(newest.Era, 10))
	state, version := e.operator.storedState(), e.operator.configVersion()
	query := r.URL.Query()
	e.notices.answerLeaving(w, query.Get("leaving"))
	e.turns.answer(w, query.Get(queryTurns))
	if n := e.peers.count(time.Now()); n > 0 && query.Has(queryCount) {
		w.Header().Set(headerCount, strconv.Itoa(n))
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision; send a whole number", http.StatusBadRequest)
		return
	}
	// Entries of earlier versions send only "after"; they know no eras.
	known := store.Position{Era: state.Era, Revision: after}
	if era, err := strconv.ParseUint(query.Get("era"), 10, 64); err == nil {
		known.Era = era
	}
	knownVersion := version
	if v, err := strconv.ParseUint(query.Get("version"), 10, 64); err == nil {
		knownVersion = v
	}
	if !known.Before(position(state)) && version <= knownVersion {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := e.encodedState.encode(state)
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_, err = w.Write(body)
	}
	if err != nil {
		e.limitedLog.Info("Operator state not sent.", "cause", err.Error())
	}
}

// pollPeers reads the operator's state, the newest change and the endpoints that leave
// from other entries until ctx ends. It also polls while the store works, since a watch
// may be silent without a failed call.
func (e *Entry) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		interval := peerPollInterval
		if e.health.failedWithin(unstableWindow) || e.fleet.WantsTurns(time.Now()) {
			interval = unstablePollInterval
		}
		pause.For(ctx, interval)
		e.pollAnyPeer(ctx)
	}
}

// pollAnyPeer polls the other entries in random order until one responds or ctx ends.
func (e *Entry) pollAnyPeer(ctx context.Context) {
	all := e.peers.all()
	delete(all, platform.PrefixEntries+e.cfg.ID)
	for _, record := range all { // map order is random
		err := e.pollPeer(ctx, record.Peer)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.limitedLog.Info("Peer returned no operator state.", "peer", record.Peer, "cause", err.Error())
	}
}

// pollPeer reads the operator's state from the entry at addr and adopts it.
func (e *Entry) pollPeer(ctx context.Context, addr string) error {
	ctx, cancel := peerReads.Start(ctx)
	defer cancel()
	known := position(e.operator.snapshot())
	target := fmt.Sprintf("%s?after=%d&era=%d&version=%d&leaving=%s", pathOperator, known.Revision, known.Era, e.operator.configVersion(), e.notices.leavingChecksum())
	if e.fleet.WantsTurns(time.Now()) {
		target += "&" + queryTurns + "=1"
	}
	if e.peers.wantsCount(time.Now()) {
		target += "&" + queryCount + "=1"
	}
	// A kept connection could be silent like that of the watch.
	header := http.Header{"Connection": {"close"}}
	resp, err := e.client.Do(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: target, Host: addr, Header: header})
	if err != nil {
		return err
	}
	defer resp.Close()
	store.RecordProgress(ctx)
	body, err := io.ReadAll(io.LimitReader(store.ProgressReader(ctx, resp), maxPeerResponseBytes))
	if err != nil {
		return err
	}
	if resp.Status == http.StatusOK {
		var state wire.OperatorState
		if err := json.Unmarshal(body, &state); err != nil {
			return err
		}
		e.operator.adoptState(state, "entry "+addr)
	} else if resp.Status != http.StatusNoContent {
		return fmt.Errorf("peer responded with status %d; it may run another version", resp.Status)
	}
	e.notices.mergeLeaving(resp.Header.Get(headerLeaving))
	e.turns.borrow(addr, resp.Header.Get(headerTurns))
	if n, err := strconv.Atoi(resp.Header.Get(headerCount)); err == nil && n > 0 && n <= maxEntries {
		e.peers.tellCount(n)
	}
	// Entries of earlier versions don't send the headers.
	revision, err := strconv.ParseUint(resp.Header.Get(headerNewestChange), 10, 64)
	era, eraErr := strconv.ParseUint(resp.Header.Get(headerNewestChangeEra), 10, 64)
	if err == nil && eraErr == nil {
		e.feed.recordPeer(store.Position{Era: era, Revision: revision})
	}
	return nil
}

// expireLoop attempts the deferred removals and closes expired idle connections
// until ctx ends.
func (e *Entry) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.endpoints.removals.removePending()
		e.peers.removals.removePending()
		e.applyHeldBack()
		if round%roundsPerSweep == 0 {
			e.client.CloseExpired()
			now := time.Now()
			e.peers.refresh(now)
			e.fleet.MeasureTurns(now)
		}
		if round%roundsPerNotice == 0 && e.health.failedWithin(0) {
			e.notices.tellServing(e.peers.self)
		}
	}
}

// applyHeldBack does what was held back after a restore of the store, unless the store
// fails: then the next listing decides.
func (e *Entry) applyHeldBack() {
	if e.health.failedWithin(0) {
		return
	}
	e.operator.applyHeldBack()
	e.endpoints.outdated.applyDue()
	e.peers.outdated.applyDue()
}

// agentAddr returns the address of the agent beside the endpoint at the given
// address.
func agentAddr(endpoint string, peerPort int) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(endpoint)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(ap.Addr(), uint16(peerPort)+agentPortOffset), nil
}

// agentPortOffset is the offset of the agent's port from PeerPort in the
// settings; an entry on the same VM uses the ports before it.
const agentPortOffset = 2
