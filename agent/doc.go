// Package agent assembles the parts that run in the slot of an endpoint VM:
// the gate, the order table, the control loop, the HTTP server for entries and
// the net/rpc service for other nodes.
package agent
