package control

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/httpguard"
)

// Limits on reading the platform's VM list. The list is only a supplementary
// signal next to heartbeats and intents.
const (
	vmPollInterval = 5 * time.Second
	vmListMaxAge   = 15 * time.Second
	maxVMListBytes = 1 << 20
)

// pathVMs is the HTTP path of the platform's VM list.
const pathVMs = "/vms"

// vmListResponse is the JSON body of the platform's VM list.
type vmListResponse struct {
	VMs []struct {
		Name  string `json:"name"`
		State string `json:"state"` // "live" or "leaving"
	} `json:"vms"`
}

// vmList holds the names of the VMs that the platform's list shows as leaving,
// and when the list was requested.
type vmList struct {
	leaving map[string]bool
	readAt  time.Time
}

// withLeaving returns the VMs that are out of service, with the leaving VMs added
// if the list is at most vmListMaxAge old. The list lags behind, so it neither
// removes a node nor returns one to service.
func (v *vmList) withLeaving(out map[string]bool, now time.Time) map[string]bool {
	if len(v.leaving) == 0 || now.Sub(v.readAt) > vmListMaxAge {
		return out
	}
	all := maps.Clone(v.leaving)
	maps.Copy(all, out)
	return all
}

type vmListUpdate struct {
	leaving map[string]bool
	readAt  time.Time
}

func (r vmListUpdate) apply(l *Loop) {
	l.platformVMs = vmList(r)
	l.publishLater = true
}

// pollVMs reads the list every vmPollInterval; a failed read keeps the last list.
func (l *Loop) pollVMs(ctx context.Context) {
	client := &http.Client{Timeout: peerCallTimeout, Transport: httpguard.NewTransport(&http.Transport{})}
	for ctx.Err() == nil {
		at := l.clock.Now()
		if leaving, err := readVMs(ctx, client, l.cfg.VMListAddr); err == nil {
			l.send(vmListUpdate{leaving, at})
		}
		l.sleep(ctx, vmPollInterval)
	}
}

// readVMs requests the VM list and returns the names of the leaving VMs.
func readVMs(ctx context.Context, client *http.Client, addr string) (map[string]bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pathVMs, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the VM list responded with status %s; check vm_list_addr", resp.Status)
	}
	var list vmListResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVMListBytes)).Decode(&list); err != nil {
		return nil, err
	}
	leaving := make(map[string]bool)
	for _, v := range list.VMs {
		if v.State == "leaving" {
			leaving[v.Name] = true
		}
	}
	return leaving, nil
}
