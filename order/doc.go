// Package order runs non-idempotent requests at most once: identities bound
// to one agent incarnation, the agent's table of orders, and the journal that
// binds callers' own keys in the store.
package order
