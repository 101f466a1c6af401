// Package rankgroup keeps the expert maps of a group of model ranks that run
// in lock-step and take orders one by one over HTTP. It learns which experts
// are in demand, plans maps with few copies, and switches all ranks at one
// pass.
//
// A pass must never begin while two ranks have different maps. Orders may be
// lost, repeated and carried out seconds late, and two coordinators may be at
// work. What keeps a switch safe is described at Switch.
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

// Report is what a rank says about itself.
type Report struct {
	// Group is the name of the rank's group; empty if it has none.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Size  int    `json:"size"`
	// Epoch counts the formations of the group. A new one starts with map 0.
	Epoch uint64 `json:"epoch"`
	Open  bool   `json:"open"`
	// Incarnation tells two starts of the rank apart.
	Incarnation int64         `json:"born"`
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	ColdFor     time.Duration `json:"cold"`
	// Step is the last pass that began.
	Step uint64 `json:"step"`
	// MapVersion is the version of the map in force.
	MapVersion uint64 `json:"map"`
	// PreparedVersion is the version whose experts are all copied, 0 for none.
	PreparedVersion uint64 `json:"prepared"`
	// Armed is nil if the rank will not switch.
	Armed *Armed `json:"armed"`
	// HeldStep is nil if the rank doesn't hold a pass back.
	HeldStep *uint64 `json:"held"`
}

// Armed is a switch that a rank will make.
type Armed struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// SelectionCounts is how often a rank's requests chose each expert since it started.
type SelectionCounts struct {
	Epoch uint64
	// Selections holds the sets one after the other.
	Selections []uint64
}

// SelectionWindow is how often a rank's requests chose each expert since the last
// question, in a byte each: links of endpoint VMs are narrow, and the counts of
// a large group would fill one.
type SelectionWindow struct {
	// Unit is the number of choices that one step of a byte stands for.
	Unit       float64 `json:"unit"`
	Selections []byte  `json:"experts"`
}

// SelectionMeter turns a rank's counts into windows.
type SelectionMeter struct {
	epoch uint64
	born  int64
	last  []uint64
}

// Window returns what was counted since the last call. The first one after a
// start of the rank, or of the group, is empty.
func (m *SelectionMeter) Window(born int64, c SelectionCounts) SelectionWindow {
	same := m.epoch == c.Epoch && m.born == born && len(m.last) == len(c.Selections)
	last := m.last
	m.epoch, m.born, m.last = c.Epoch, born, c.Selections
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

// Operation is the kind of an order.
type Operation string

// The orders to a rank.
const (
	// Prepare makes the rank copy the experts of a map.
	Prepare Operation = "prepare"
	// Arm makes the rank switch to a prepared map as a pass begins.
	Arm Operation = "arm"
	// Disarm cancels Arm.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a pass until Go reaches the same rank.
	Hold    Operation = "hold"
	Release Operation = "go"
)

// Valid reports whether o is one of the orders.
func (o Operation) Valid() bool {
	return slices.Contains([]Operation{Prepare, Arm, Disarm, Hold, Release}, o)
}

// Command is one order to a rank.
type Command struct {
	Operation Operation `json:"operation"`
	Epoch     uint64    `json:"epoch"`
	Version   uint64    `json:"version,omitempty"`
	Step      uint64    `json:"step,omitempty"`
	// Map is sent with Prepare.
	Map *Map `json:"map,omitempty"`
}

// Result is what a rank said to an order.
type Result int

// The results.
const (
	// Unanswered means that the order may be carried out, now or seconds later.
	Unanswered Result = iota
	Accepted
	// Refused means that the order doesn't fit the rank's state.
	Refused
	// Superseded means that another coordinator is in charge.
	Superseded
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "refused", "superseded"}[r]
}

// Engine is one rank.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Poll returns the report, with the choices since the last Poll if window
	// is set.
	Poll(ctx context.Context, window bool) (Report, SelectionWindow, error)
	// Experts returns the experts that the rank holds, by set, and the version
	// of the map in force.
	Experts(ctx context.Context) (sets [][]int, version uint64, err error)
	// Send gives an order. The result is Unanswered if err isn't nil.
	Send(ctx context.Context, o Command) (Result, error)
	// AwaitPrepared returns nil once the rank has copied a version, or an error
	// if it hasn't when ctx ends or the rank can't be asked.
	AwaitPrepared(ctx context.Context, version uint64) error
}

// ErrNotPrepared means that a rank hasn't copied a version yet.
var ErrNotPrepared = errors.New("the version isn't copied yet; it is looked at again in the next round")

// reportPoll is the interval at which a near rank's report is read while
// something is awaited: a copy takes tens of milliseconds an expert, a pass about
// a hundred.
const reportPoll = 15 * time.Millisecond

// reporter is a rank whose reports are near and free.
type reporter interface {
	Report(ctx context.Context) (Report, error)
}

// awaitReport reads reports until done says that one will do.
func awaitReport(ctx context.Context, r reporter, done func(Report) bool) error {
	for {
		rep, err := r.Report(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || done(rep) {
			return err
		}
		pause.For(ctx, reportPoll)
	}
}

// AwaitPrepared implements Engine.AwaitPrepared for a rank whose reports are
// near and free.
func AwaitPrepared(ctx context.Context, r reporter, version uint64) error {
	err := awaitReport(ctx, r, func(rep Report) bool { return rep.PreparedVersion == version })
	if err != nil && ctx.Err() != nil {
		return ErrNotPrepared
	}
	return err
}

// Dimensions are the sizes of a group's maps.
type Dimensions struct {
	Ranks, Sets, Experts int
	// ExpertSlots is the number of experts of one set that a rank can hold.
	ExpertSlots int
	// SpareSlots is the number of experts of one set that one map may bring to a rank.
	SpareSlots int
	// CopyTime is the time of copying one expert to a rank.
	CopyTime time.Duration
}

// Map says which ranks hold each expert: by set and rank, the experts there.
type Map struct {
	Sets [][][]int
	// packed is set by Pack.
	packed []byte
}

// Pack keeps the packed form, for a map that is sent to many ranks and doesn't
// change any more: compressing takes a noticeable part of a small VM's processor.
func (m *Map) Pack() error {
	packed, err := m.MarshalText()
	m.packed = packed
	return err
}

// MarshalText packs the map: lists of two-byte numbers, compressed, in base64.
func (m *Map) MarshalText() ([]byte, error) {
	if m.packed != nil {
		return m.packed, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	put := func(n int) {
		if err == nil {
			_, err = w.Write([]byte{byte(n >> 8), byte(n)})
		}
	}
	put(len(m.Sets))
	for _, ranks := range m.Sets {
		put(len(ranks))
		for _, experts := range ranks {
			put(len(experts))
			for _, e := range experts {
				put(e)
			}
		}
	}
	if err == nil {
		err = w.Close()
	}
	return base64.StdEncoding.AppendEncode(nil, packed.Bytes()), err
}

// maxPacked bounds an unpacked map in bytes.
const maxPacked = 32 << 20

// ErrInvalidMap means that a packed map can't be read.
var ErrInvalidMap = errors.New("the packed map can't be read; the sender may run another version")

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Map) UnmarshalText(text []byte) error {
	packed, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Join(ErrInvalidMap, err)
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPacked))
	if err != nil {
		return errors.Join(ErrInvalidMap, err)
	}
	ok := true
	get := func() int {
		if len(b) < 2 {
			ok = false
			return 0
		}
		n := int(b[0])<<8 | int(b[1])
		b = b[2:]
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
	if !ok || len(b) > 0 {
		return ErrInvalidMap
	}
	m.Sets = sets
	return nil
}

// InitialMap returns the map with which every formation starts: experts in turn.
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

// Clone returns a copy.
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
