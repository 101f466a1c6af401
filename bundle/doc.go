// Package bundle defines the versioned configuration bundle and the operators'
// intents: their types, canonical form, digest, signatures and validation.
package bundle
