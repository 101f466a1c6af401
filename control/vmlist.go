package control

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"time"
)

// Timing of the VM list, which is a second sign only.
const (
	vmPollInterval = 5 * time.Second
	vmListFresh    = 15 * time.Second
	maxVMListBytes = 1 << 20
)

// pathVMs is the path of the platform's list.
const pathVMs = "/vms"

// vmListing is the platform's list.
type vmListing struct {
	VMs []struct {
		Name  string `json:"name"`
		State string `json:"state"` // "live" or "leaving"
	} `json:"vms"`
}

// vmList holds the VMs that the platform's list shows as leaving.
type vmList struct {
	leaving map[string]bool
	at      time.Time
}

// withHints adds leaving VMs to those taken out while the list is fresh. The
// list lags, so it neither removes a node nor brings one back.
func (v *vmList) withHints(out map[string]bool, now time.Time) map[string]bool {
	if len(v.leaving) == 0 || now.Sub(v.at) > vmListFresh {
		return out
	}
	all := maps.Clone(v.leaving)
	maps.Copy(all, out)
	return all
}

type vmListRead struct {
	leaving map[string]bool
	at      time.Time
}

func (r vmListRead) apply(l *Loop) {
	l.vms = vmList(r)
	l.publishLater = true
}

// pollVMs reads the list at intervals; a failed read changes nothing.
func (l *Loop) pollVMs(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		at := l.clock.Now()
		if leaving, err := readVMs(ctx, client, l.cfg.VMListAddr); err == nil {
			l.send(vmListRead{leaving, at})
		}
		l.sleep(ctx, vmPollInterval)
	}
}

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
	var list vmListing
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
