// Package bundle defines the versioned configuration bundle and the operators'
// intents: their types, canonical form, digest and signatures.
package bundle
