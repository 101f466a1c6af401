// Package balance chooses the endpoint of a request: power of two choices on
// lagging load reports, an endpoint subset for large fleets, prefix affinity
// with bounded load, and the retry budget.
package balance
