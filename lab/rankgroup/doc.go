// Package rankgroup simulates groups of ranks that run in lock-step on an
// expert map. Simulate measures placement under drifting popularity; Group runs
// ranks with an HTTP control interface, a rate-limited weight store and the
// step exchange, and checks that no step mixes maps.
package rankgroup
