// Package cli implements the operator and member commands of the wasabinotch
// program. Commands write JSON or short tables to a writer and return typed
// errors that state a remedy.
package cli
