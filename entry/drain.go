package entry

import (
	"context"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// drain announces that the entry leaves, serves as long as callers may keep
// its address, refuses new requests, and returns once the running ones have
// their answers. Each of them is bounded by its service's time-out.
func (e *Entry) drain(running context.Context) {
	e.log.Info("leaving", "serving_for", api.ResolveValidity.String())
	e.deps.Control.SetState(wire.StateLeaving)
	e.pipeline.StartDrain()
	select {
	case <-e.deps.Clock.After(api.ResolveValidity):
	case <-running.Done():
	}
	e.pipeline.Close()
	if err := e.server.Stop(context.WithoutCancel(running)); err != nil {
		e.log.Info("the HTTP server did not stop cleanly", "reason", err.Error())
	}
	e.log.Info("left")
}
