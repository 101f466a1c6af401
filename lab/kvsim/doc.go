// Package kvsim simulates the platform's key-value service. It speaks Consul's
// KV and session HTTP protocol and can be made slow or unavailable, or lose
// the responses of writes that took effect.
package kvsim
