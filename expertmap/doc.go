// Package expertmap places the experts of a model on the ranks of a group:
// the expert map and its encoding, the planner (a pure function), the
// coordinator that records and distributes maps, and the agent's side of it.
//
// Step model: every layer is a barrier, so a layer lasts as long as its
// slowest rank. The time of a rank in a layer is the load routed to its
// replicas divided by its speed. The step time is the sum over layers of the
// slowest rank; skew is (sum of maxima - sum of means) / sum of means.
package expertmap
