// Package control owns a node's control state. One goroutine applies events
// from the store, from peers and from agents, and publishes an immutable
// Snapshot that traffic reads without locks.
package control
