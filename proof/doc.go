// Package proof holds integration tests that run the daemons as real
// processes behind a fault-injecting TCP proxy and check the guarantees of
// docs/design.md. docs/PROOFS.md lists them.
package proof
