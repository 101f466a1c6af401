// Package demo assembles a small system in three availability zones on
// loopback addresses, in one process: stand-ins, entries and agents. It rolls
// out a bundle, sends load, takes a zone out and back, and reports whether a
// guarantee was violated.
package demo
