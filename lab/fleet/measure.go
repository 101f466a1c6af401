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

// Options are the durations of one measurement.
type Options struct {
	// SettleTime is the time between the start and the measurement at rest.
	SettleTime time.Duration
	// QuietTime is the length of the measurement at rest.
	QuietTime time.Duration
	// Changes is the number of bundles rolled out, one each ChangeEvery.
	Changes        int
	ChangeInterval time.Duration
	// ZoneMoves is the number of times a zone is taken out and back.
	ZoneMoves int
}

// Bounds of the waits for a change to be in force.
const (
	changeLimit = 20 * time.Second
	startLimit  = 60 * time.Second
)

// Usage is the consumption during one period.
type Usage struct {
	Seconds                float64
	EntryBytes, AgentBytes float64 // per node and second, sent and received
	CPUCores               float64 // cores of the whole process
	// Calls per second of the whole fleet.
	StoreReads, StoreWatches, StoreWrites float64
	// StoreBytes are the bytes per second between all entries and the store.
	StoreBytes float64
}

// Result is the measurement of one size.
type Result struct {
	Size
	BundleBytes                    int
	HeapMB                         float64 // MB per node, with stacks
	WithoutChanges, DuringRollouts Usage
	// RolloutTimes, ZoneOutTimes and ZoneInTimes are the times from the start of a command until the change is in
	// force on all nodes.
	RolloutTimes, ZoneOutTimes, ZoneInTimes []time.Duration
}

// reading is the state of the counters.
type reading struct {
	at             time.Time
	cpu            time.Duration
	entry, agent   int64
	reads, watches int64
	writes         int64
	storeBytes     int64
}

func (f *fleet) read() (reading, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return reading{}, trace.Wrap(err)
	}
	c := f.store.Counters()
	return reading{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		entry: f.traffic[wire.RoleEntry].total(), agent: f.traffic[wire.RoleAgent].total(),
		reads: c.Reads, watches: c.Watches, writes: c.Writes, storeBytes: f.toStore.total()}, nil
}

// usage returns what was consumed during run.
func (f *fleet) usage(run func() error) (Usage, error) {
	a, err := f.read()
	if err != nil {
		return Usage{}, err
	}
	if err := run(); err != nil {
		return Usage{}, err
	}
	b, err := f.read()
	s := b.at.Sub(a.at).Seconds()
	return Usage{
		Seconds:      s,
		EntryBytes:   float64(b.entry-a.entry) / s / float64(len(f.entries)),
		AgentBytes:   float64(b.agent-a.agent) / s / float64(max(len(f.agents), 1)),
		CPUCores:     (b.cpu - a.cpu).Seconds() / s,
		StoreReads:   float64(b.reads-a.reads) / s,
		StoreWatches: float64(b.watches-a.watches) / s,
		StoreWrites:  float64(b.writes-a.writes) / s,
		StoreBytes:   float64(b.storeBytes-a.storeBytes) / s,
	}, err
}

// Measure starts a fleet, measures it and stops it.
func Measure(ctx context.Context, size Size, opt Options) (Result, error) {
	r := Result{Size: size}
	f, err := start(size)
	if err != nil {
		return r, err
	}
	defer f.close()
	if err := f.prepare(ctx, &r, opt); err != nil {
		return r, err
	}
	if r.WithoutChanges, err = f.usage(func() error { return sleep(ctx, opt.QuietTime) }); err != nil {
		return r, err
	}
	r.HeapMB = heap() / float64(len(f.nodes()))
	if r.DuringRollouts, err = f.usage(func() error { return f.change(ctx, &r, opt) }); err != nil {
		return r, err
	}
	return r, f.moveZones(ctx, &r, opt)
}

// prepare rolls out the first bundle and waits until the fleet is at rest.
func (f *fleet) prepare(ctx context.Context, r *Result, opt Options) error {
	if _, err := await(f.entries, startLimit, "entries know each other", func(s *control.Snapshot) bool {
		return len(s.Entries) >= len(f.entries)-1
	}); err != nil {
		return err
	}
	if _, err := f.roll(ctx, r); err != nil {
		return err
	}
	if _, err := await(f.nodes(), startLimit, "node ready", func(s *control.Snapshot) bool {
		return s.Self.State == wire.StateReady
	}); err != nil {
		return err
	}
	return sleep(ctx, opt.SettleTime)
}

// roll rolls out the successor of the bundle in force at the first entry.
func (f *fleet) roll(ctx context.Context, r *Result) (time.Duration, error) {
	at := f.entries[0].loop
	before := at.Snapshot()
	version := before.Self.BundleVersion + 1
	signed, err := f.id.bundle(version, before.BundleDigest, f.size.Organisations, f.size.Zones)
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

// command runs an operator command and waits until it is in force on all nodes.
func (f *fleet) command(what string, limit time.Duration, run func() error, inForce func(*control.Snapshot) bool) (time.Duration, error) {
	failed := make(chan error, 1)
	go func() { failed <- run() }()
	took, err := await(f.nodes(), limit, what, inForce)
	return took, trace.NewAggregate(<-failed, err)
}

func (f *fleet) change(ctx context.Context, r *Result, opt Options) error {
	for range opt.Changes {
		next := time.Now().Add(opt.ChangeInterval)
		took, err := f.roll(ctx, r)
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

func (f *fleet) moveZones(ctx context.Context, r *Result, opt Options) error {
	zone := zoneName(f.size.Zones - 1)
	revision := uint64(0)
	for i := range 2 * opt.ZoneMoves {
		out := i%2 == 0
		revision++
		in, err := f.id.zone(zone, out, revision)
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

// heap returns the live heap and the stacks of the process, in MB.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1e6
}

// median returns the middle of the times; 0 for none.
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
