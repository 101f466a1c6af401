// Package bundle defines the versioned configuration bundle and the operators'
// intents: their types, canonical form, digest, signatures, verification and
// validation.
package bundle
