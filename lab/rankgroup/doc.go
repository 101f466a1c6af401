// Package rankgroup simulates groups of ranks that execute steps in lock-step
// under an expert map. Simulation measures expert placement under drifting
// popularity. Group runs ranks with an HTTP control interface, a rate-limited
// weight store and the exchange before each step, and checks that all ranks use
// the same map in a step. Bench runs a Group under faults of its coordinators,
// agents and store.
package rankgroup
