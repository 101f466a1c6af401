package control

import "expvar"

// Metrics of the control loop. Package peer counts the bytes sent between nodes,
// and package store the calls to the store.
var (
	metricBundle     = expvar.NewInt("control_bundle_version")
	metricIntents    = expvar.NewInt("control_intents_revision")
	metricConfirmed  = expvar.NewInt("control_confirmed_age_ms") // -1 if never confirmed
	metricSnapshots  = expvar.NewInt("control_snapshots")
	metricExchanges  = expvar.NewMap("control_exchanges")   // by result
	metricReports    = expvar.NewMap("control_reports")     // by result
	metricStoreReads = expvar.NewMap("control_store_reads") // by result
)
