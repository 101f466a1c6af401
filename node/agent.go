package node

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/settings"
)

// Agent is the process beside a model engine.
type Agent struct {
	s   settings.DirectAgent
	log logr.Logger
}

// NewAgent assembles an agent.
func NewAgent(s settings.DirectAgent, log logr.Logger) *Agent { return &Agent{s: s, log: log} }

// Run runs until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("Agent starts.", "id", a.s.ID, "endpoint", a.s.EndpointAddr)
	<-ctx.Done()
	return nil
}
