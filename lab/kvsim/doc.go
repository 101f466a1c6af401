// Package kvsim stands in for the platform's key-value service. It speaks
// Consul's KV and session HTTP protocol and can be made slow, unavailable, or
// lose the answers of writes that took effect.
package kvsim
