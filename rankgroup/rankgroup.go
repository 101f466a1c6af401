// Package rankgroup manages the expert maps of a group of model ranks that run
// engine steps in lock-step and take commands over HTTP, each rank separately. It
// estimates the demand for each expert, plans maps that need few copies, and
// switches all ranks to a new map at the same step.
//
// A step must never begin while two ranks use different maps. Commands may be
// lost, retried or carried out seconds late, and two coordinators may run at the
// same time. Switch describes the protocol that keeps a switch safe.
package rankgroup

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/base64"
	"errors"
	"io"
	"math"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
)

// Report is a rank's state as the rank reports it.
type Report struct {
	// Group is the name of the rank's group; empty if it has none.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	// Size is the number of ranks in the group.
	Size int `json:"size"`
	// Epoch counts the formations of the group, each of which starts with map
	// version 0.
	Epoch uint64 `json:"epoch"`
	// Open is set while the group has all its ranks and can run steps.
	Open bool `json:"open"`
	// Incarnation identifies one run of the rank's process.
	Incarnation int64 `json:"born"`
	// Running counts the requests that the rank is running, Waiting those in its queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ColdFor is the time for which the rank stays cold.
	ColdFor time.Duration `json:"cold"`
	// Pace is how many times longer the rank takes for the same work than it should; 0 if
	// it doesn't say.
	Pace float64 `json:"pace,omitempty"`
	// MemoryUsed is the engine's memory that is in use and MemoryTotal all of it, in tokens;
	// 0 if the rank doesn't say. Coordinators don't need them.
	MemoryUsed  int `json:"-"`
	MemoryTotal int `json:"-"`
	// Step is the last engine step that began.
	Step uint64 `json:"step"`
	// MapVersion is the version of the map in force.
	MapVersion uint64 `json:"map"`
	// PreparedVersion is the version whose experts have all been copied, 0 for
	// none.
	PreparedVersion uint64 `json:"prepared"`
	// PreparedOwner is one more than the rank of the coordinator that had PreparedVersion
	// prepared, as in Armed; 0 if that isn't known.
	PreparedOwner int `json:"prepared_owner,omitempty"`
	// Armed is nil if no switch is scheduled on the rank.
	Armed *Armed `json:"armed"`
	// HeldStep is the step that the rank holds back, nil for none.
	HeldStep *uint64 `json:"held"`
}

// pace returns the rank's pace, 1 if it is not slow.
func (r *Report) pace() float64 { return max(1, r.Pace) }

// Armed describes a scheduled switch of a rank: at the beginning of step Step, to map
// version Version.
type Armed struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
	// Owner is one more than the rank of the coordinator that armed the rank, if that one
	// arms its own rank last; 0 if that isn't known.
	Owner int `json:"owner,omitempty"`
}

// SelectionCounts holds how often a rank's requests selected each expert since the
// rank started.
type SelectionCounts struct {
	Epoch uint64
	// Selections lists the counts of all expert sets, one set after the other.
	Selections []uint64
}

// SelectionWindow holds how often a rank's requests selected each expert since the
// previous request for a window. Counts are quantised to one byte each: the network
// links of endpoint VMs are narrow, and the exact counts of a large group would
// saturate one.
type SelectionWindow struct {
	// Unit is the number of selections that an increment of one byte value stands for.
	Unit       float64 `json:"unit"`
	Selections []byte  `json:"experts"`
}

// SelectionMeter turns a rank's cumulative counts into windows.
type SelectionMeter struct {
	epoch       uint64
	incarnation int64
	last        []uint64
}

// Window returns the selections since the previous call. The first window after a
// restart of the rank, or a new formation of the group, is empty.
func (m *SelectionMeter) Window(incarnation int64, c SelectionCounts) SelectionWindow {
	same := m.epoch == c.Epoch && m.incarnation == incarnation && len(m.last) == len(c.Selections)
	last := m.last
	m.epoch, m.incarnation, m.last = c.Epoch, incarnation, c.Selections
	w := SelectionWindow{Selections: make([]byte, len(c.Selections))}
	if !same {
		return w
	}
	largest := uint64(0)
	for i, n := range c.Selections {
		if n > last[i] {
			largest = max(largest, n-last[i])
		}
	}
	if largest == 0 {
		return w
	}
	w.Unit = float64(largest) / math.MaxUint8
	for i, n := range c.Selections {
		if n > last[i] {
			w.Selections[i] = byte(math.Round(float64(n-last[i]) / w.Unit))
		}
	}
	return w
}

// Operation is the kind of a command.
type Operation string

// The operations of commands to a rank.
const (
	// Prepare makes the rank copy the experts of a map.
	Prepare Operation = "prepare"
	// Arm schedules the switch to a prepared map at the beginning of a step.
	Arm Operation = "arm"
	// Disarm cancels Arm.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a step until Release reaches the same rank.
	Hold Operation = "hold"
	// Release ends Hold.
	Release Operation = "go"
)

// Valid reports whether o is a known operation.
func (o Operation) Valid() bool {
	return slices.Contains([]Operation{Prepare, Arm, Disarm, Hold, Release}, o)
}

// Command is one command to a rank.
type Command struct {
	Operation Operation `json:"operation"`
	Epoch     uint64    `json:"epoch"`
	Version   uint64    `json:"version,omitempty"`
	Step      uint64    `json:"step,omitempty"`
	// Owner is set for Arm and for Prepare of a planned map, as in Armed.
	Owner int `json:"owner,omitempty"`
	// Map is set for Prepare only.
	Map *Map `json:"map,omitempty"`
	// Delta may be set with Map and describes it by its differences from the map in force.
	Delta *MapDelta `json:"-"`
}

// Result is a rank's reply to a command.
type Result int

// The results of a command.
const (
	// NoReply means that no usable reply arrived: the command may be carried out, now
	// or seconds later. Its name in metrics and logs is "unanswered".
	NoReply Result = iota
	Accepted
	// Refused means that the command doesn't fit the rank's state.
	Refused
	// Superseded means that another coordinator is in charge.
	Superseded
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "refused", "superseded"}[r]
}

// WindowRequest says what a poll does with a rank's window of expert selections.
type WindowRequest int

// The values of WindowRequest. ReadWindow begins the next window, too.
const (
	NoWindow WindowRequest = iota
	StartWindow
	ReadWindow
)

// Engine gives access to the model engine of one rank.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Poll returns the report and, with ReadWindow, the expert selections since the last
	// Poll with StartWindow or ReadWindow.
	Poll(ctx context.Context, window WindowRequest) (Report, SelectionWindow, error)
	// Experts returns the experts that the rank holds, by set, and the version of the
	// map in force.
	Experts(ctx context.Context) (sets [][]int, version uint64, err error)
	// Send sends a command. The result is NoReply if err isn't nil.
	Send(ctx context.Context, command Command) (Result, error)
	// AwaitPrepared returns nil once the rank has copied a version, or an error if it
	// hasn't when ctx ends or if the rank can't be reached.
	AwaitPrepared(ctx context.Context, version uint64) error
}

// ErrNotPrepared means that a rank hasn't copied a version yet.
var ErrNotPrepared = errors.New("the version isn't copied yet; the next round checks it again")

// reportInterval is the interval at which a local rank's report is polled while
// something is awaited: a copy takes tens of milliseconds an expert, an engine step
// about a hundred.
const reportInterval = 15 * time.Millisecond

// reporter is a rank on the same VM, whose reports are cheap to read.
type reporter interface {
	Report(ctx context.Context) (Report, error)
}

// awaitReport polls reports until done returns true for one. It returns an error if
// ctx ends or a report can't be read.
func awaitReport(ctx context.Context, r reporter, done func(Report) bool) error {
	for {
		rep, err := r.Report(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || done(rep) {
			return err
		}
		pause.For(ctx, reportInterval)
	}
}

// AwaitPrepared implements Engine.AwaitPrepared for a rank whose reports are cheap
// to read. It returns ErrNotPrepared if ctx ends first.
func AwaitPrepared(ctx context.Context, r reporter, version uint64) error {
	err := awaitReport(ctx, r, func(rep Report) bool { return rep.PreparedVersion == version })
	if err != nil && ctx.Err() != nil {
		return ErrNotPrepared
	}
	return err
}

// Dimensions holds the sizes of a group's maps.
type Dimensions struct {
	// Ranks is the number of ranks, Sets that of expert sets, and Experts that of
	// experts in each set. Each expert set has a separate placement on the ranks;
	// its experts are numbered from 0.
	Ranks, Sets, Experts int
	// ExpertSlots is the number of experts of one set that a rank can hold.
	ExpertSlots int
	// SpareSlots is the number of experts of one set that a new map may add to a rank.
	SpareSlots int
	// CopyTime is the time that copying one expert to a rank takes.
	CopyTime time.Duration
}

// Map assigns experts to ranks. Sets lists the experts of each rank, by set and rank.
type Map struct {
	Sets [][][]int
	// packed caches the packed form; Pack sets it.
	packed []byte
}

// Pack caches the packed form of a map that is sent to many ranks and no longer
// changes: compression takes a noticeable part of a small VM's processor time.
func (m *Map) Pack() error {
	packed, err := m.MarshalText()
	m.packed = packed
	return err
}

// MarshalText packs the map: lists of numbers, each list preceded by its length.
func (m *Map) MarshalText() ([]byte, error) {
	if m.packed != nil {
		return m.packed, nil
	}
	numbers := []int{len(m.Sets)}
	for _, ranks := range m.Sets {
		numbers = append(numbers, len(ranks))
		for _, experts := range ranks {
			numbers = append(append(numbers, len(experts)), experts...)
		}
	}
	packed, err := pack(numbers)
	return base64.StdEncoding.AppendEncode(nil, packed), err
}

// pack encodes numbers with two bytes each and compresses them with DEFLATE.
func pack(numbers []int) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	b := make([]byte, 0, 2*len(numbers))
	for _, n := range numbers {
		b = append(b, byte(n>>8), byte(n))
	}
	if _, err = w.Write(b); err == nil {
		err = w.Close()
	}
	return packed.Bytes(), err
}

// maxUnpackedBytes bounds the size of an unpacked map.
const maxUnpackedBytes = 32 << 20

// ErrInvalidMap means that a packed map can't be decoded.
var ErrInvalidMap = errors.New("the packed map can't be decoded; the sender may run another program version")

// unpack decodes numbers that were encoded by pack.
func unpack(packed []byte) ([]int, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil || len(b)%2 != 0 {
		return nil, errors.Join(ErrInvalidMap, err)
	}
	numbers := make([]int, len(b)/2)
	for i := range numbers {
		numbers[i] = int(b[2*i])<<8 | int(b[2*i+1])
	}
	return numbers, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Map) UnmarshalText(text []byte) error {
	packed, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Join(ErrInvalidMap, err)
	}
	numbers, err := unpack(packed)
	if err != nil {
		return err
	}
	ok := true
	get := func() int {
		if len(numbers) == 0 {
			ok = false
			return 0
		}
		n := numbers[0]
		numbers = numbers[1:]
		return n
	}
	sets := make([][][]int, get())
	for s := range sets {
		sets[s] = make([][]int, get())
		for r := range sets[s] {
			sets[s][r] = make([]int, get())
			for i := range sets[s][r] {
				sets[s][r][i] = get()
			}
			if !ok {
				return ErrInvalidMap
			}
		}
	}
	if !ok || len(numbers) > 0 {
		return ErrInvalidMap
	}
	m.Sets = sets
	return nil
}

// InitialMap returns the map with which every formation starts: one replica of each
// expert, assigned to the ranks in turn.
func InitialMap(d Dimensions) *Map {
	m := &Map{Sets: make([][][]int, d.Sets)}
	for s := range m.Sets {
		m.Sets[s] = make([][]int, d.Ranks)
		for e := range d.Experts {
			m.Sets[s][e%d.Ranks] = append(m.Sets[s][e%d.Ranks], e)
		}
	}
	return m
}

// Clone returns a deep copy without the packed form.
func (m *Map) Clone() *Map {
	c := &Map{Sets: make([][][]int, len(m.Sets))}
	for s, ranks := range m.Sets {
		c.Sets[s] = make([][]int, len(ranks))
		for r, experts := range ranks {
			c.Sets[s][r] = append([]int(nil), experts...)
		}
	}
	return c
}
