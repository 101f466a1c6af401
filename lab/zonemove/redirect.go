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

// redirectProbe measures the latency for a caller that keeps using an entry of a zone
// that is out of service: the time of the refused attempt, and the total time with
// a second attempt at an entry that the refusal names.
type redirectProbe struct {
	client       http.Client
	organisation loadgen.Organisation
	entries      []string

	mu              sync.Mutex
	refusalTimes    []time.Duration // times of the refused attempts
	redirectedTimes []time.Duration // total times of both attempts
	servedDirectly  int             // lookups that succeeded without a redirect
	failed          int             // lookups that did not succeed
}

// redirectInterval is the time between two lookups of a redirectProbe.
const redirectInterval = 250 * time.Millisecond

func newRedirectProbe(d *deploy.Deployment, zone string) *redirectProbe {
	r := &redirectProbe{organisation: d.Organisations[0], client: http.Client{Timeout: 10 * time.Second}}
	for _, e := range d.Entries {
		if e.Zone == zone {
			r.entries = append(r.entries, e.HTTPAddr)
		}
	}
	return r
}

// run sends a lookup every redirectInterval, to the entries in turn, until ctx is
// done.
func (r *redirectProbe) run(ctx context.Context) {
	ticker := time.NewTicker(redirectInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.probe(r.entries[i%len(r.entries)])
		}
	}
}

func (r *redirectProbe) probe(entry string) {
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
		r.refusalTimes = append(r.refusalTimes, refusedAfter)
		r.redirectedTimes = append(r.redirectedTimes, time.Since(start))
	default:
		r.servedDirectly++
	}
}

// lookup sends one stock lookup. It returns the HTTP status, 0 if there is no
// complete response, and the refusal, empty if there is none.
func (r *redirectProbe) lookup(entry string) (int, api.Refusal) {
	var refusal api.Refusal
	rq, err := http.NewRequest(http.MethodGet, "http://"+entry+api.PathCall+plainServiceName+"/stock/kit-1", nil)
	if err != nil {
		return 0, refusal
	}
	rq.Header.Set("Authorization", "Bearer "+r.organisation.APIKey)
	rq.Header.Set(api.HeaderOrganisation, r.organisation.Name)
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
		_ = json.Unmarshal(data, &refusal) // a body that is not a refusal leaves refusal.Entries empty
	}
	return resp.StatusCode, refusal
}

// quantile returns the q-quantile of list, 0 <= q <= 1; 0 for an empty list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
