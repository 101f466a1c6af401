package loadgen

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
)

// BenchmarkStreamCheck measures the time that checking one token takes.
func BenchmarkStreamCheck(b *testing.B) {
	prompt := strings.Repeat("p", 2048)
	expected := enginesim.CompletionFor(prompt)
	const tokens = 1000
	var stream strings.Builder
	for i := range tokens {
		data, _ := json.Marshal(api.TokenEvent{RequestID: "r", Position: i, Text: expected.Token(i)})
		_, _ = fmt.Fprintf(&stream, "data: %s\n\n", data)
	}
	s := newStats()
	j := job{scheduledAt: time.Now(), stats: s, payload: prompt}
	for n := 0; n < b.N; n += tokens {
		check := &streamCheck{job: j, id: "r", expected: expected, maxTokens: tokens}
		check.run(strings.NewReader(stream.String()))
		if check.deviation != "" {
			b.Fatal(check.deviation)
		}
	}
}
