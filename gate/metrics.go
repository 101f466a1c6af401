package gate

import "expvar"

// Counters of admission decisions since the start of the process.
var (
	admittedRequests      = expvar.NewInt("gate_admitted")
	refusedRequestsByKind = expvar.NewMap("gate_refused")
)
