package entry

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// leavePropagationTime is the time within which the other entries learn that this one is
// leaving. Until then their resolve responses may contain its address.
const leavePropagationTime = 2 * time.Second

// drain sets the state leaving, serves for as long as callers may use a resolve response
// with this entry's address, then refuses new requests and returns once the running ones
// are complete. The timeout of its service bounds each of them.
func (e *Entry) drain(componentCtx context.Context) {
	serveTime := api.ResolveValidity + leavePropagationTime
	e.log.Info("Entry is leaving.", "serving_for", serveTime.String())
	e.deps.Control.SetState(wire.StateLeaving)
	e.pipeline.StartDrain()
	select {
	case <-e.deps.Clock.After(serveTime):
	case <-componentCtx.Done():
	}
	e.pipeline.StopAdmitting()
	if err := e.server.Stop(context.WithoutCancel(componentCtx)); err != nil {
		e.log.Info("The HTTP server did not stop cleanly.", "reason", err.Error())
	}
	e.log.Info("Entry stopped.")
}
