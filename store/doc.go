// Package store is the client of the platform's key-value service: reads,
// compare-and-swap writes, watches, a call budget, and read-back of writes
// whose result is unknown. The wire protocol is Consul's KV HTTP API.
package store
