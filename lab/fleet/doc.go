// Package fleet measures the control part: it runs the control loops of many
// entries and agents in one process, connected by net/rpc over loopback and
// with the stand-in for the store, and reports traffic, store calls, processor
// time and heap per node, and the time until changes are in force on all nodes.
//
// All nodes, the store and the measurement share one process. Bytes are counted
// per role on the connections; processor time and heap are those of the process,
// so that they include the store and the measurement, and both ends of each call.
package fleet
