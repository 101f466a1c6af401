// Package fleet measures the cost of the control plane. It runs the control loops
// of many entries and agents in one process, connected by net/rpc over loopback
// and to a simulated store, and reports traffic, store calls, CPU time and heap
// per node, and the time until changes are in force on all nodes.
//
// All nodes, the store and the measurement share one process. Bytes are counted
// per role on the connections. CPU time and heap are those of the process, so they
// include the store, the measurement and both ends of each call.
package fleet
