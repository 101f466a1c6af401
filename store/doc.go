// Package store is the client of the platform's key-value service: reads,
// compare-and-swap writes, watches and a call budget. Errors distinguish writes
// without effect from writes whose result is unknown and has to be read back. The
// wire protocol is Consul's KV HTTP API.
package store
