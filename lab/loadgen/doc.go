// Package loadgen sends model requests, stock lookups and orders to entries as
// callers do, checks that each answer is whole and belongs to its request, and
// compares the orders placed with the ledger of those that ran.
//
// Load is open loop: requests are sent at their scheduled times whether or not
// earlier ones have been answered, and latency counts from the scheduled time.
package loadgen
