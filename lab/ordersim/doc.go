// Package ordersim stands in for a plain service with idempotent stock lookups
// and non-idempotent orders. It ignores fencing and idempotency information,
// so that its ledger shows every repeated order.
package ordersim
