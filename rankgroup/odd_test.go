package rankgroup

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// oddEngine is a rank with a map in force that names experts which the model lacks.
type oddEngine struct {
	Engine
	experts [][]int
}

func (e *oddEngine) Poll(_ context.Context, _ WindowRequest) (Report, SelectionWindow, error) {
	return Report{Group: "g", Size: 1, Epoch: 1, Open: true, MapVersion: 7}, SelectionWindow{Unit: 100, Selections: make([]byte, 4)}, nil
}

func (e *oddEngine) Experts(context.Context) ([][]int, uint64, error) { return e.experts, 7, nil }

// Guards against a coordinator that ends its process because a rank reports experts or
// sets that the model doesn't have.
func TestUnknownExpertsAreNotRead(t *testing.T) {
	for _, experts := range [][][]int{nil, {{4}}, {{-1}}, {{1 << 40}}, {{0}, {1}}} {
		is := is.New(t)
		e := &oddEngine{experts: experts}
		c := NewCoordinator(Config{Dimensions: Dimensions{Ranks: 1, Sets: 1, Experts: 4, ExpertSlots: 4, SpareSlots: 1, CopyTime: time.Millisecond},
			Engines: []Engine{e}, Log: logr.Discard(), Metrics: metrics.NewSet()})
		c.demand.current, c.demandUpdated = []float64{1, 0, 0, 0}, true
		complete, err := c.Round(t.Context())
		is.NoErr(err)
		is.True(complete)
		is.Equal(c.currentMap, nil)
	}
}
