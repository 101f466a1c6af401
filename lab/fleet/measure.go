package fleet

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Options are the parameters of one measurement.
type Options struct {
	// SettleTime is the time after the start during which nothing is measured.
	SettleTime time.Duration
	// QuietTime is the length of the measurement that follows, in which no bundle is
	// rolled out and no zone is moved.
	QuietTime time.Duration
	// Changes is the number of bundles rolled out, one per ChangeInterval.
	Changes        int
	ChangeInterval time.Duration
	// ZoneMoves is the number of times that a zone is taken out of service and
	// returned to service.
	ZoneMoves int
}

// Time limits until a change is in force on all nodes, and until the fleet has
// started.
const (
	changeLimit = 20 * time.Second
	startLimit  = 60 * time.Second
)

// Usage is the resource usage during one period.
type Usage struct {
	Seconds                float64
	EntryBytes, AgentBytes float64 // per node and second, sent and received
	CPUCores               float64 // cores used by the whole process
	// Store calls per second of the whole fleet.
	StoreReads, StoreWatches, StoreWrites float64
	// StoreBytes is the traffic between all entries and the store, in bytes/s.
	StoreBytes float64
}

// Result is the measurement of one size.
type Result struct {
	Size
	BundleBytes                    int
	HeapMB                         float64 // live heap and stacks per node
	WithoutChanges, DuringRollouts Usage
	// RolloutTimes, ZoneOutTimes and ZoneInTimes are the times from the start of an
	// operator command (bundle rollout, zone out of service, zone returned) until
	// the change is in force on all nodes.
	RolloutTimes, ZoneOutTimes, ZoneInTimes []time.Duration
}

// counters are the cumulative counters of a fleet at a time.
type counters struct {
	at                     time.Time
	cpu                    time.Duration
	entryBytes, agentBytes int64
	reads, watches         int64
	writes                 int64
	storeBytes             int64
}

func (f *fleet) readCounters() (counters, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return counters{}, trace.Wrap(err)
	}
	c := f.store.Counters()
	return counters{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		entryBytes: f.traffic[wire.RoleEntry].total(), agentBytes: f.traffic[wire.RoleAgent].total(),
		reads: c.Reads, watches: c.Watches, writes: c.Writes, storeBytes: f.storeTraffic.total()}, nil
}

// measureUsage returns the resource usage during run.
func (f *fleet) measureUsage(run func() error) (Usage, error) {
	a, err := f.readCounters()
	if err != nil {
		return Usage{}, err
	}
	if err := run(); err != nil {
		return Usage{}, err
	}
	b, err := f.readCounters()
	s := b.at.Sub(a.at).Seconds()
	return Usage{
		Seconds:      s,
		EntryBytes:   float64(b.entryBytes-a.entryBytes) / s / float64(len(f.entries)),
		AgentBytes:   float64(b.agentBytes-a.agentBytes) / s / float64(max(len(f.agents), 1)),
		CPUCores:     (b.cpu - a.cpu).Seconds() / s,
		StoreReads:   float64(b.reads-a.reads) / s,
		StoreWatches: float64(b.watches-a.watches) / s,
		StoreWrites:  float64(b.writes-a.writes) / s,
		StoreBytes:   float64(b.storeBytes-a.storeBytes) / s,
	}, err
}

// Measure starts a fleet, measures it without changes, during rollouts and during
// zone moves, and stops it. On error, the result holds what was measured before.
func Measure(ctx context.Context, size Size, opt Options) (Result, error) {
	r := Result{Size: size}
	f, err := startFleet(size)
	if err != nil {
		return r, err
	}
	defer f.close()
	if err := f.prepare(ctx, &r, opt); err != nil {
		return r, err
	}
	if r.WithoutChanges, err = f.measureUsage(func() error { return sleep(ctx, opt.QuietTime) }); err != nil {
		return r, err
	}
	r.HeapMB = heapMB() / float64(len(f.nodes()))
	if r.DuringRollouts, err = f.measureUsage(func() error { return f.measureRollouts(ctx, &r, opt) }); err != nil {
		return r, err
	}
	return r, f.measureZoneMoves(ctx, &r, opt)
}

// prepare rolls out the first bundle and waits until all nodes are ready and the
// settle time has passed.
func (f *fleet) prepare(ctx context.Context, r *Result, opt Options) error {
	if _, err := await(f.entries, startLimit, "all entries known to each other", func(s *control.Snapshot) bool {
		return len(s.Entries) >= len(f.entries)-1
	}); err != nil {
		return err
	}
	if _, err := f.rollOutNext(ctx, r); err != nil {
		return err
	}
	if _, err := await(f.nodes(), startLimit, "node ready", func(s *control.Snapshot) bool {
		return s.Self.State == wire.StateReady
	}); err != nil {
		return err
	}
	return sleep(ctx, opt.SettleTime)
}

// rollOutNext rolls out the successor of the bundle in force at the first entry and
// returns the time until it is in force on all nodes.
func (f *fleet) rollOutNext(ctx context.Context, r *Result) (time.Duration, error) {
	at := f.entries[0].loop
	before := at.Snapshot()
	version := before.Self.BundleVersion + 1
	signed, err := f.keys.signedBundle(version, before.BundleDigest, f.size.Organisations, f.size.Zones)
	if err != nil {
		return 0, err
	}
	raw, err := signed.Encode()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	r.BundleBytes = len(raw)
	limit := changeLimit
	if version == 1 {
		limit = startLimit // nodes may still be connecting
	}
	return f.command("bundle", limit, func() error { _, err := at.RollOutBundle(ctx, signed); return err },
		func(s *control.Snapshot) bool { return s.Self.BundleVersion >= version })
}

// command runs an operator command and returns the time until its change is in
// force on all nodes.
func (f *fleet) command(what string, limit time.Duration, run func() error, inForce func(*control.Snapshot) bool) (time.Duration, error) {
	commandErr := make(chan error, 1)
	go func() { commandErr <- run() }()
	took, err := await(f.nodes(), limit, what, inForce)
	return took, trace.NewAggregate(<-commandErr, err)
}

// measureRollouts rolls out opt.Changes bundles.
func (f *fleet) measureRollouts(ctx context.Context, r *Result, opt Options) error {
	for range opt.Changes {
		next := time.Now().Add(opt.ChangeInterval)
		took, err := f.rollOutNext(ctx, r)
		if err != nil {
			return err
		}
		r.RolloutTimes = append(r.RolloutTimes, took)
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	return nil
}

// measureZoneMoves takes one zone out of service and returns it, opt.ZoneMoves times.
func (f *fleet) measureZoneMoves(ctx context.Context, r *Result, opt Options) error {
	zone := zoneName(f.size.Zones - 1)
	revision := uint64(0)
	for i := range 2 * opt.ZoneMoves {
		out := i%2 == 0
		revision++
		in, err := f.keys.signedZoneIntent(zone, out, revision)
		if err != nil {
			return err
		}
		took, err := f.command("zone", changeLimit, func() error { _, err := f.entries[0].loop.ApplyIntent(ctx, in); return err },
			func(s *control.Snapshot) bool { return s.ZonesOut[zone] == out })
		if err != nil {
			return err
		}
		if out {
			r.ZoneOutTimes = append(r.ZoneOutTimes, took)
		} else {
			r.ZoneInTimes = append(r.ZoneInTimes, took)
		}
		if err := sleep(ctx, opt.ChangeInterval); err != nil {
			return err
		}
	}
	return nil
}

// heapMB returns the size of the live heap and the stacks of the process in MB.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1e6
}

// median returns the median, the upper one for an even number; 0 for none.
func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return s[len(s)/2]
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
