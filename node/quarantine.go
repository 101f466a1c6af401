package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/quarantine"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxPendingReports bounds the reports that wait to be shared; more are dropped.
	maxPendingReports = 256
	// maxReportBytes bounds a report or its reply.
	maxReportBytes = 64 << 10
	// maxSharers bounds the calls to other entries at the same time.
	maxSharers = 32
	// holdCheckInterval is the mean interval at which an entry checks that its holds are
	// in the store. The first of the entries writes a new hold.
	holdCheckInterval = time.Second
	// holdSettleTime is the age from which a hold is written: by then other entries have
	// reported further parts of the crash, which may release the part.
	holdSettleTime = 500 * time.Millisecond
	// maxSuspects bounds the suspects in the record of a crash. Of more, each is unlikely
	// to be the cause.
	maxSuspects = 64
	// minSuspectTime is the least time for which a record of suspects is written.
	minSuspectTime = 5 * time.Second
)

// holdSharer shares what this entry learns about prompt parts that may crash endpoints
// (package quarantine): with the other entries directly, and through the store with
// those that start later.
type holdSharer struct {
	tracker *quarantine.Tracker
	store   *platform.Store
	client  *upstream.Client
	// peers returns the addresses of the other entries.
	peers func() []string
	log   logr.Logger
	// limitedLog is log with a rate limit, for faults that can occur very often.
	limitedLog logr.Logger
	pending    chan wire.QuarantineReport
	ignored    *ignoredRecords

	mu sync.Mutex
	// stored holds the number of crashes in each record of a hold, by store key.
	stored map[string]int
	// suspects holds the suspects in each record of a crash, by store key; none if the
	// record was removed.
	suspects map[string][]string
}

func newHoldSharer(s *platform.Store, c *upstream.Client, peers func() []string, log logr.Logger) *holdSharer {
	h := &holdSharer{store: s, client: c, peers: peers, log: log, limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst),
		pending: make(chan wire.QuarantineReport, maxPendingReports), ignored: &ignoredRecords{log: log}, stored: make(map[string]int), suspects: make(map[string][]string)}
	h.tracker = quarantine.New(h.enqueue)
	return h
}

// enqueue passes a report to run without blocking.
func (h *holdSharer) enqueue(r wire.QuarantineReport) {
	select {
	case h.pending <- r:
	default:
		h.limitedLog.Info("Report on prompt parts dropped.", "crash", r.Crash, "parts", r.Parts)
	}
}

// run shares reports and keeps the holds in the store until ctx ends.
func (h *holdSharer) run(ctx context.Context) {
	go h.keepHolds(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-h.pending:
			h.shareReport(ctx, h.merge(r))
		}
	}
}

// merge adds the parts of further pending reports on the same crash to a report.
func (h *holdSharer) merge(r wire.QuarantineReport) wire.QuarantineReport {
	for range len(h.pending) {
		next := <-h.pending
		if r.Crash == "" || next.Crash != r.Crash || next.Service != r.Service {
			h.enqueue(next)
			continue
		}
		for _, part := range next.Parts {
			if !slices.Contains(r.Parts, part) {
				r.Parts = append(slices.Clip(r.Parts), part)
			}
		}
	}
	return r
}

// shareReport sends a report to the other entries. If they have proven parts of a crash
// sound, it tells all of them.
func (h *holdSharer) shareReport(ctx context.Context, r wire.QuarantineReport) {
	h.limitedLog.Info("Prompt parts reported.", "service", r.Service, "crash", r.Crash, "parts", r.Parts, "answered", r.Answered, "proven", r.Proven, "trying", r.Trying)
	proven := h.send(ctx, r)
	if len(proven) > 0 {
		update := wire.QuarantineReport{Service: r.Service, Proven: proven}
		h.tracker.Receive(update)
		h.send(ctx, update)
	}
	if len(r.Answered) > 0 {
		h.forget(ctx, r.Service, r.Answered)
	}
}

// send sends a report to all other entries at once and returns the parts that any of
// them has proven sound.
func (h *holdSharer) send(ctx context.Context, r wire.QuarantineReport) (proven []string) {
	body, err := json.Marshal(r)
	if err != nil {
		h.log.Error(err, "Report on prompt parts not encoded.")
		return nil
	}
	var mu sync.Mutex
	var senders sync.WaitGroup
	slots := make(chan struct{}, maxSharers)
	for _, addr := range h.peers() {
		slots <- struct{}{}
		senders.Go(func() {
			defer func() { <-slots }()
			reply, err := h.sendTo(ctx, addr, body)
			if err != nil {
				h.limitedLog.Info("Report on prompt parts not received.", "peer", addr, "cause", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, part := range reply.Proven {
				if !slices.Contains(proven, part) {
					proven = append(proven, part)
				}
			}
		})
	}
	senders.Wait()
	return proven
}

func (h *holdSharer) sendTo(ctx context.Context, addr string, body []byte) (wire.QuarantineReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	// A kept connection could have fallen silent.
	header := http.Header{"Connection": {"close"}, "Content-Type": {"application/json"}}
	status, b, err := h.client.Call(ctx, addr, &upstream.Request{Method: http.MethodPost, Target: wire.PathQuarantine, Host: addr, Header: header, Body: body}, maxReportBytes)
	var reply wire.QuarantineReply
	switch {
	case err != nil:
		return reply, err
	case status != http.StatusOK:
		return reply, fmt.Errorf("peer responded with status %d; it may run another version", status)
	}
	return reply, json.Unmarshal(b, &reply)
}

// serve receives reports of other entries.
func (h *holdSharer) serve(w http.ResponseWriter, r *http.Request, b *bounds) {
	var report wire.QuarantineReport
	claim, ok := b.decodeBody(w, r, maxReportBytes, &report, "the report can't be read; send a QuarantineReport object")
	defer claim.Release()
	if !ok {
		return
	}
	reply := wire.QuarantineReply{Proven: h.tracker.Receive(report)}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		h.limitedLog.Info("Reply not sent.", "cause", err.Error())
	}
}

// heldRecord is the record of a held part in the store, or of a crash that one of several
// parts may have caused. It is removed with its lease.
type heldRecord struct {
	Crashes int `json:"crashes"`
	// Proven is set if the part was proven sound before. Records of earlier versions lack it.
	Proven bool `json:"proven,omitempty"`
	// Suspects are the parts that may have caused the crash. Entries of earlier versions
	// ignore the record then, since Crashes is 0.
	Suspects []string `json:"suspects,omitempty"`
}

// holdKey returns the store key of the record of a held part, or of a crash.
func holdKey(service, name string) string {
	return platform.PrefixQuarantine + url.PathEscape(service) + "/" + url.PathEscape(name)
}

// keepHolds writes the holds and the suspects that the store doesn't have until ctx ends.
func (h *holdSharer) keepHolds(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, rand.N(2*holdCheckInterval))
		for _, hold := range h.tracker.Holds() {
			if hold.Age < holdSettleTime || h.isStored(hold) {
				continue
			}
			if err := h.write(ctx, hold); err != nil {
				h.limitedLog.Info("Prompt part held, but not in the store.", "service", hold.Service, "part", hold.Part, "crashes", hold.Crashes, "cause", err.Error())
				continue
			}
			h.log.Info("Prompt part held.", "service", hold.Service, "part", hold.Part, "crashes", hold.Crashes, "hold_ms", hold.Remaining.Milliseconds())
		}
		crashes := h.tracker.Crashes()
		for _, c := range crashes {
			h.keepSuspects(ctx, c)
		}
		h.forgetRemoved(crashes)
	}
}

// forgetRemoved forgets the records that were removed of crashes that aren't recent.
func (h *holdSharer) forgetRemoved(recent []quarantine.Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.suspects, func(key string, suspects []string) bool {
		return suspects == nil && !slices.ContainsFunc(recent, func(c quarantine.Crash) bool { return holdKey(c.Service, c.Name) == key })
	})
}

// keepSuspects keeps the suspects of a crash in the store as long as there are several: a
// prompt with all of them would crash a further endpoint at each entry that starts. The
// record is written once, and each entry removes from it what is proven sound there.
func (h *holdSharer) keepSuspects(ctx context.Context, c quarantine.Crash) {
	key := holdKey(c.Service, c.Name)
	h.mu.Lock()
	stored, written := h.suspects[key]
	h.mu.Unlock()
	suspects := c.Suspects
	remaining := quarantine.SuspectMemory - c.Age
	if written {
		suspects = h.tracker.Unproven(c.Service, stored)
		if len(suspects) == len(stored) {
			return
		}
	} else if len(suspects) <= 1 || len(suspects) > maxSuspects || c.Restored || c.Age < holdSettleTime || remaining < minSuspectTime {
		return
	}
	var err error
	if len(suspects) > 1 {
		err = h.put(ctx, key, heldRecord{Suspects: suspects}, max(remaining, minSuspectTime))
	} else {
		err = h.store.Remove(ctx, key)
	}
	if err != nil {
		h.limitedLog.Info("Suspects of a crash not kept in the store.", "service", c.Service, "crash", c.Name, "cause", err.Error())
		return
	}
	h.limitedLog.Info("Suspects of a crash kept in the store.", "service", c.Service, "crash", c.Name, "suspects", suspects)
}

func (h *holdSharer) isStored(hold quarantine.Hold) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stored[holdKey(hold.Service, hold.Part)] >= hold.Crashes
}

// write writes a hold to the store for as long as it lasts. The store grants leases of
// up to ten minutes, the longest hold.
func (h *holdSharer) write(ctx context.Context, hold quarantine.Hold) error {
	return h.put(ctx, holdKey(hold.Service, hold.Part), heldRecord{Crashes: hold.Crashes, Proven: hold.Proven}, hold.Remaining)
}

// put writes a record with a lease of its own.
func (h *holdSharer) put(ctx context.Context, key string, record heldRecord, ttl time.Duration) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	lease, err := h.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	return h.store.Put(ctx, key, value, lease)
}

// forget removes the holds of parts from the store. A hold that stays there only delays
// the part at entries that start later.
func (h *holdSharer) forget(ctx context.Context, service string, parts []string) {
	var keys []string
	h.mu.Lock()
	for _, part := range parts {
		if key := holdKey(service, part); h.stored[key] > 0 {
			keys = append(keys, key)
		}
	}
	h.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	if err := h.store.Remove(ctx, keys...); err != nil {
		h.limitedLog.Info("Hold not removed from the store.", "parts", parts, "cause", err.Error())
	}
}

// Reset implements prefixFollower.
func (h *holdSharer) Reset(kvs []store.KeyValue, at store.Position) {
	h.mu.Lock()
	clear(h.stored)
	for key := range h.suspects {
		h.suspects[key] = nil
	}
	h.mu.Unlock()
	for _, kv := range kvs {
		h.Apply(store.Event{KeyValue: kv, Era: at.Era})
	}
}

// errNotHold means that a key or its value is not the record of a held part.
var errNotHold = errors.New("not the record of a held prompt part; ignored until it is written again")

// Apply implements prefixFollower. A key that is removed ends no hold: each entry ends
// it by itself, or when it learns of an answer.
func (h *holdSharer) Apply(e store.Event) {
	if e.Deleted {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.stored, e.Key)
		if _, ok := h.suspects[e.Key]; ok {
			h.suspects[e.Key] = nil // what was removed isn't written again
		}
		return
	}
	service, part, ok := strings.Cut(strings.TrimPrefix(e.Key, platform.PrefixQuarantine), "/")
	service, serviceErr := url.PathUnescape(service)
	part, partErr := url.PathUnescape(part)
	var record heldRecord
	err := errors.Join(serviceErr, partErr, json.Unmarshal(e.Value, &record))
	if !ok || err != nil {
		h.ignored.add(e.Key, errors.Join(errNotHold, err))
		return
	}
	h.ignored.valid(e.Key)
	if suspects := record.Suspects; len(suspects) > 0 {
		suspects = suspects[:min(len(suspects), maxSuspects)]
		h.mu.Lock()
		h.suspects[e.Key] = suspects
		h.mu.Unlock()
		h.tracker.RestoreSuspects(service, part, suspects)
		return
	}
	h.mu.Lock()
	h.stored[e.Key] = record.Crashes
	h.mu.Unlock()
	h.tracker.Restore(service, part, record.Crashes, record.Proven)
}
