package entry

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// spreadTime is the time in which the other entries learn that this one
// leaves; until then they may still hand out its address.
const spreadTime = 2 * time.Second

// drain announces that the entry leaves, serves as long as callers may keep
// its address, refuses new requests, and returns once the running ones have
// their answers. Each of them is bounded by its service's time-out.
func (e *Entry) drain(running context.Context) {
	serve := api.ResolveValidity + spreadTime
	e.log.Info("leaving", "serving_for", serve.String())
	e.deps.Control.SetState(wire.StateLeaving)
	e.pipeline.StartDrain()
	select {
	case <-e.deps.Clock.After(serve):
	case <-running.Done():
	}
	e.pipeline.StopAdmitting()
	if err := e.server.Stop(context.WithoutCancel(running)); err != nil {
		e.log.Info("the HTTP server did not stop cleanly", "reason", err.Error())
	}
	e.log.Info("left")
}
