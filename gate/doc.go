// Package gate is the agent's admission control in front of its one endpoint:
// an adaptive limit, a fair queue by organisation, the zone gate, and the
// execution of requests at the endpoint. The gate is the only authority on
// how much work its endpoint gets.
package gate
