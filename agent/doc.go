// Package agent assembles the agent, the sidecar process on the VM of an endpoint,
// from its components: the gate, the order table, the control loop, the loader of
// expert maps, the HTTP server for entries and the net/rpc service for other nodes.
package agent
