package zonemove

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// redirects measures what a caller pays that keeps using an entry of the zone
// that is out: the refused attempt, and the whole lookup at an entry that the
// refusal names.
type redirects struct {
	client  http.Client
	caller  loadgen.Organisation
	entries []string

	mu      sync.Mutex
	refused []time.Duration // refused attempt
	whole   []time.Duration // both attempts
	direct  int             // answered without a redirect
	failed  int
}

const redirectInterval = 250 * time.Millisecond

func newRedirects(d *deploy.Deployment, zone string) *redirects {
	r := &redirects{caller: d.Callers[0], client: http.Client{Timeout: 10 * time.Second}}
	for _, e := range d.Entries {
		if e.Zone == zone {
			r.entries = append(r.entries, e.HTTPAddr)
		}
	}
	return r
}

// run sends lookups to the entries in turn until ctx ends.
func (r *redirects) run(ctx context.Context) {
	ticker := time.NewTicker(redirectInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.once(r.entries[i%len(r.entries)])
		}
	}
}

func (r *redirects) once(entry string) {
	start := time.Now()
	status, refusal := r.lookup(entry)
	refusedAfter := time.Since(start)
	redirected := status == http.StatusMisdirectedRequest && len(refusal.Entries) > 0
	if redirected {
		status, _ = r.lookup(refusal.Entries[0].Address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status != http.StatusOK:
		r.failed++
	case redirected:
		r.refused = append(r.refused, refusedAfter)
		r.whole = append(r.whole, time.Since(start))
	default:
		r.direct++
	}
}

// lookup returns the status, 0 for no answer, and the refusal if there is one.
func (r *redirects) lookup(entry string) (int, api.Refusal) {
	var refusal api.Refusal
	rq, err := http.NewRequest(http.MethodGet, "http://"+entry+api.PathCall+plainServiceName+"/stock/kit-1", nil)
	if err != nil {
		return 0, refusal
	}
	rq.Header.Set("Authorization", "Bearer "+r.caller.APIKey)
	rq.Header.Set(api.HeaderOrganisation, r.caller.Name)
	resp, err := r.client.Do(rq)
	if err != nil {
		return 0, refusal
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, refusal
	}
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(data, &refusal) // a body that is no refusal names no entries
	}
	return resp.StatusCode, refusal
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
