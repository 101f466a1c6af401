// Package bundle defines the versioned configuration bundle and the operator
// intents: their types, canonical form, digest, signatures and verification.
package bundle
