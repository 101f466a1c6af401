package loadgen

import (
	"context"
	"math/rand/v2"
	"time"
)

// SendOnce sends one request of each class whose service is configured, and
// returns when all of them have completed.
func (g *Generator) SendOnce(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.cfg.Seed, uint64(classCount)))
	for c := range classCount {
		service := g.cfg.PlainService
		if c == classModel {
			service = g.cfg.ModelService
		}
		if service != "" {
			g.launch(ctx, g.newJob(random, c, time.Now(), 0))
		}
	}
	g.requests.Wait()
}
