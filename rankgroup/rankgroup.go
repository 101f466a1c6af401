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
	"context"
	"time"
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
	// Born tells two starts of the rank apart.
	Born    int64         `json:"born"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Cold    time.Duration `json:"cold"`
	// Pace is over 1 if the rank is slow.
	Pace float64 `json:"pace"`
	// Step is the last pass that began.
	Step uint64 `json:"step"`
	// Map is the version of the map in force.
	Map uint64 `json:"map"`
	// Prepared is the version whose experts are all copied, 0 for none.
	Prepared uint64 `json:"prepared"`
	// Armed is nil if the rank will not switch.
	Armed *Armed `json:"armed"`
	// Held is nil if the rank doesn't hold a pass back.
	Held *uint64 `json:"held"`
}

// Armed is a switch that a rank will make.
type Armed struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// Counts is how often a rank's requests chose each expert since it started.
type Counts struct {
	Epoch uint64 `json:"epoch"`
	// Experts holds the sets one after the other.
	Experts []uint64 `json:"experts"`
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
	Hold Operation = "hold"
	Go   Operation = "go"
)

// Order is one order to a rank.
type Order struct {
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

// Engine is one rank.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Poll returns the report together with the counts.
	Poll(ctx context.Context) (Report, Counts, error)
	// Experts returns the experts that the rank holds, by set, and the version
	// of the map in force.
	Experts(ctx context.Context) (sets [][]int, version uint64, err error)
	// Order gives an order. The result is Unanswered if err isn't nil.
	Order(ctx context.Context, o Order) (Result, error)
}

// Dimensions are the sizes of a group's maps.
type Dimensions struct {
	Ranks, Sets, Experts int
	// Places is the number of experts of one set that a rank can hold.
	Places int
	// Spares is the number of experts of one set that one map may bring to a rank.
	Spares int
	// CopyTime is the time of copying one expert to a rank.
	CopyTime time.Duration
}

// Map says which ranks hold each expert: by set and rank, the experts there.
type Map struct {
	Sets [][][]int `json:"sets"`
}

// First returns the map with which every formation starts: experts in turn.
func First(d Dimensions) *Map {
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
