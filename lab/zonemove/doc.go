// Package zonemove measures the service to callers while an availability zone is
// taken out of service and returned to service. It runs a system in three zones
// in one process, under load. Optionally the store is down, an agent is frozen, or
// an entry restarts at the same time.
//
// A zone move is both commands for one zone: out of service and back.
package zonemove
