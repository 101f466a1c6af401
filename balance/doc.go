// Package balance chooses the endpoint of a request: power of two choices on delayed
// load reports, an endpoint subset for large fleets, prefix affinity with bounded
// load, and a retry budget.
package balance
