package pipeline

import (
	"sync"

	"github.com/wasabinotch/wasabinotch/api"
)

// maxDecisions bounds the memory of Decisions; at about 200 bytes each they
// take 2 MB.
const maxDecisions = 8192

// Decisions keeps the most recent routing decisions for explain requests. It is
// safe for concurrent use.
type Decisions struct {
	mu   sync.Mutex
	ring []decision
	next int
}

type decision struct {
	requestID string
	api.Decision
}

func (d *Decisions) add(requestID string, text api.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, decision{requestID, text})
		return
	}
	d.ring[d.next] = decision{requestID, text}
	d.next = (d.next + 1) % maxDecisions
}

// Explain returns the decisions on a request, oldest first.
func (d *Decisions) Explain(requestID string) []api.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := []api.Decision{}
	for i := range d.ring {
		stored := &d.ring[(d.next+i)%len(d.ring)]
		if stored.requestID == requestID {
			found = append(found, stored.Decision)
		}
	}
	return found
}

// recordDecision logs a routing decision and keeps it for explain requests.
func (p *Pipeline) recordDecision(c *call, text string) {
	text = clip(text)
	p.Log.Info(text, "request", c.id, "attempt", c.attempt)
	p.decisions.add(c.id, api.Decision{
		At:        p.Clock.Now(),
		Component: "pipeline",
		Text:      text,
		Attempt:   c.attempt,
	})
}
