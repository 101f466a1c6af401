package fleet

import (
	"slices"
	"strings"
	"time"
)

// maxNotices bounds the endpoints whose notices are kept. Those of endpoints without a
// record are dropped first.
const maxNotices = 4096

// notice is what an endpoint has said of itself in its responses, to this entry or to
// another member. It holds for one run of the endpoint, whatever its record in the store
// says.
type notice struct {
	incarnation int64
	// leaving is set once the endpoint has said that it leaves.
	leaving bool
	// pausedUntil is the end of the time for which the endpoint asked this entry to send
	// it nothing.
	pausedUntil time.Time
	// untested is set from then on until the endpoint takes a request again.
	untested bool
}

// Run identifies one run of an endpoint.
type Run struct {
	ID          string
	Incarnation int64
}

// paused reports whether the endpoint asked for a pause that lasts.
func (n *notice) paused(now time.Time) bool { return n != nil && now.Before(n.pausedUntil) }

// noticeOf returns the notice of a run, which it creates if need be; nil if a later run is
// known.
func (f *Fleet) noticeOf(r Run) *notice {
	if n := f.notices[r.ID]; n != nil && n.incarnation >= r.Incarnation {
		if n.incarnation > r.Incarnation {
			return nil
		}
		return n
	}
	ep := f.byID[r.ID]
	if ep != nil && ep.Incarnation > r.Incarnation {
		return nil
	}
	if len(f.notices) >= maxNotices {
		f.dropNotice()
	}
	n := &notice{incarnation: r.Incarnation}
	f.notices[r.ID] = n
	if ep != nil {
		ep.notice = n
	}
	return n
}

func (f *Fleet) dropNotice() {
	var id string
	for id = range f.notices {
		if f.byID[id] == nil {
			break
		}
	}
	delete(f.notices, id)
}

// attachNotice gives a new endpoint the notice of its run. One of a later run counts too,
// since the record is then outdated.
func (f *Fleet) attachNotice(ep *Endpoint) {
	switch n := f.notices[ep.ID]; {
	case n == nil:
	case n.incarnation >= ep.Incarnation:
		ep.notice = n
	default:
		delete(f.notices, ep.ID)
	}
}

// RecordLeaving records that an endpoint told its agent or another entry that it leaves,
// and reports whether this is news.
func (f *Fleet) RecordLeaving(r Run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.setLeaving(r)
}

func (f *Fleet) setLeaving(r Run) bool {
	n := f.noticeOf(r)
	if n == nil || n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// Leaving returns the runs of endpoints that said they leave, in the order of their IDs.
func (f *Fleet) Leaving() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []Run
	for id, n := range f.notices {
		if n.leaving {
			runs = append(runs, Run{ID: id, Incarnation: n.incarnation})
		}
	}
	slices.SortFunc(runs, func(a, b Run) int { return strings.Compare(a.ID, b.ID) })
	return runs
}

// Run returns the run of the endpoint that was chosen.
func (p *Pick) Run() Run {
	return Run{ID: p.Endpoint.ID, Incarnation: p.Endpoint.Incarnation}
}

// RecordLeaving records that a response of the endpoint says that it leaves, and reports
// whether this is news.
func (p *Pick) RecordLeaving() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.setLeaving(p.Run())
}

// RecordPause records that the endpoint asked this entry to send it nothing for a time.
// What other entries send is not affected: the endpoint tells each of them.
func (p *Pick) RecordPause(d time.Duration) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	n := p.fleet.noticeOf(p.Run())
	if n == nil || d <= 0 {
		return
	}
	if until := time.Now().Add(d); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	n.untested = true
}

// RecordTaken records that the endpoint has taken the request. After a pause it then gets
// further ones.
func (p *Pick) RecordTaken() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if n := p.Endpoint.notice; n != nil && n.untested && !n.paused(time.Now()) {
		n.untested = false
		p.fleet.assignWaiting(p.Endpoint.Service)
	}
}

// testedSincePause reports whether the endpoint may get more than one request at a time:
// entries whose requests waited for the end of a pause would otherwise send them all at
// once.
func (ep *Endpoint) testedSincePause() bool {
	return ep.notice == nil || !ep.notice.untested || ep.inFlight == 0
}

// PausedFor returns the time until an endpoint takes requests of a service again if all
// that could take one have asked for a pause; ok is false if none has, or if another one
// is usable.
func (f *Fleet) PausedFor(service string, exclude []*Endpoint) (d time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pausedFor(service, exclude, time.Now())
}

func (f *Fleet) pausedFor(service string, exclude []*Endpoint, now time.Time) (d time.Duration, ok bool) {
	for _, ep := range f.byService[service] {
		if !f.inService(ep, exclude, now) {
			continue
		}
		if !ep.notice.paused(now) {
			return 0, false
		}
		if left := ep.notice.pausedUntil.Sub(now); !ok || left < d {
			d, ok = left, true
		}
	}
	return d, ok
}

// NoticeCounts returns the number of endpoints with a record that have said they leave, and of
// those that have asked for a pause which lasts.
func (f *Fleet) NoticeCounts() (leaving, paused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, ep := range f.byID {
		if ep.notice != nil && ep.notice.leaving {
			leaving++
		}
		if ep.notice.paused(now) {
			paused++
		}
	}
	return leaving, paused
}
