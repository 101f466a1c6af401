// Package latency compares calls and streams through an entry and an agent
// with direct ones to the same endpoints, at a fraction of what the endpoints
// sustain. All parts run in one process and talk over loopback, so that the
// processor time per request of both ways can be compared too. Phases of both
// ways alternate, so that other work on the machine affects both.
package latency
