// Package ownform holds integration tests of the own form of deployment against clients
// that nobody controls: entries and agents run as real processes with little memory and
// few file descriptors, and a crowd of connections takes as much of both as it can.
package ownform
