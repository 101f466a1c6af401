// Package cli implements the operator and member commands of the wasabinotch
// program. Commands print JSON or short tables to a writer and return typed
// errors that name the remedy.
package cli
