// Package latency compares calls and streams through an entry and an agent
// with direct ones to the same endpoints, at a fraction of the load that the
// endpoints sustain. All parts run in one process and communicate over
// loopback, so that the processor time per request of both paths can be
// compared too. Phases of both paths alternate, so that other work on the
// machine affects both.
package latency
