// Package expertmap places the experts of a mixture-of-experts model on the
// ranks of a rank group. It contains the expert map and its encoding; the
// planner, a pure function; the coordinator, which runs in an entry, records maps
// in the store and distributes them; and the map loader, with which an agent has
// its rank load maps.
//
// Step model: each layer ends with a barrier, so its duration is the time of its
// slowest rank. The time of a rank in a layer is the load routed to its
// replicas divided by its speed. The step time is the sum over layers of the
// maximum rank time; skew is (sum of maxima - sum of means) / sum of means of the
// rank times.
package expertmap
