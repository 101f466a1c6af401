// Package loadgen is a load generator that acts as the callers of a set of
// entries. It sends model requests, stock lookups and orders, checks that each
// response is complete and belongs to its request, and compares the orders
// placed with the ledger of the orders that ran.
//
// The load is open loop: each request is sent at its scheduled time, whether or
// not earlier requests have completed, and latency is measured from the
// scheduled time.
package loadgen
