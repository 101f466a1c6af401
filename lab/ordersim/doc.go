// Package ordersim simulates a plain service with idempotent stock lookups and
// non-idempotent orders. It ignores fencing and idempotency headers, so that
// its ledger shows every order that ran more than once.
package ordersim
