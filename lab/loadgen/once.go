package loadgen

import (
	"context"
	"math/rand/v2"
	"time"
)

// SendOnce sends one request of each class whose service is named and waits for
// the answers.
func (g *Generator) SendOnce(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.cfg.Seed, uint64(classes)))
	for c := range classes {
		service := g.cfg.PlainService
		if c == classModel {
			service = g.cfg.ModelService
		}
		if service != "" {
			g.launch(ctx, g.newJob(random, c, time.Now(), 0))
		}
	}
	g.group.Wait()
}
