package gate

import "expvar"

// Admission decisions since the start of the process.
var (
	admitted      = expvar.NewInt("gate_admitted")
	refusedByKind = expvar.NewMap("gate_refused")
)
