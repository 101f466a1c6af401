// Package order runs orders, the non-idempotent requests of callers, at most once.
// The identity of an order is bound to one agent incarnation. Table records the
// orders of one agent process; Journal records in the store the bindings of keys
// chosen by callers.
package order
