// Package gate is the agent's admission control for its endpoint: an adaptive
// concurrency limit, a fair queue over organisations, a check that the zone
// and VM are in service, and the execution of requests at the endpoint. It
// alone decides how many requests the endpoint runs at a time.
package gate
