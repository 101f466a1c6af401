// Package demo runs a small system in three availability zones on loopback
// addresses, in one process: simulators, entries and agents. It rolls out a
// bundle, sends load, takes an availability zone out of service, returns it to
// service, and reports whether a guarantee was violated.
package demo
