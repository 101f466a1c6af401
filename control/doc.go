// Package control maintains a node's control state: the known nodes, the bundle
// and the intents in force. A single goroutine applies events from the store,
// from peers and from agents, and publishes an immutable Snapshot that request
// handling reads without locks.
package control
