package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
)

// Bounds of the operator's waits.
const (
	// rollTimeout includes the start of the daemons.
	rollTimeout  = 20 * time.Second
	callTimeout  = 5 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Operator sends commands to the first entry of a deployment.
type Operator struct {
	entry      string // IP:port
	http       http.Client
	parts      Deps
	deployment *deploy.Deployment
}

// NewOperator returns an operator of the deployment.
func NewOperator(parts Deps, d *deploy.Deployment) *Operator {
	return &Operator{entry: d.Entries[0].HTTPAddr, http: http.Client{Timeout: callTimeout}, parts: parts, deployment: d}
}

func (o *Operator) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.entry+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+o.deployment.Callers[0].APIKey)
	resp, err := o.http.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("%s %s was answered with %s: %s", method, path, resp.Status, data)
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// RollOut signs the bundle and rolls it out, repeating the call until the entry
// has started. The same bundle can be sent again safely.
func (o *Operator) RollOut(ctx context.Context) (api.AdminResult, error) {
	d := o.deployment
	signed, err := o.parts.SignBundle(d.Bundle, d.Members[:d.Entries[0].Threshold])
	if err != nil {
		return api.AdminResult{}, trace.Wrap(err)
	}
	var result api.AdminResult
	err = poll(ctx, rollTimeout, func() error {
		return o.call(ctx, http.MethodPost, api.PathAdminBundle, signed, &result)
	})
	return result, err
}

// AwaitInForce waits until every node reports the bundle, and returns the number
// of nodes that do.
func (o *Operator) AwaitInForce(ctx context.Context, version uint64) (int, error) {
	want := len(o.deployment.Entries) + len(o.deployment.Agents)
	nodes := 0
	err := poll(ctx, rollTimeout, func() (err error) {
		if nodes, err = o.inForce(ctx, version); err != nil {
			return err
		}
		if nodes < want {
			return trace.LimitExceeded("%d of %d nodes are ready with bundle %d", nodes, want, version)
		}
		return nil
	})
	return nodes, err
}

// inForce counts the ready nodes with the bundle in force.
func (o *Operator) inForce(ctx context.Context, version uint64) (int, error) {
	var status api.Status
	if err := o.call(ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return 0, err
	}
	// The entry that answers may or may not be among the nodes that it lists.
	ready := make(map[string]bool)
	ready[status.NodeID] = status.BundleVersion == version && status.State == "ready"
	for _, n := range status.Nodes {
		if n.NodeID != status.NodeID {
			ready[n.NodeID] = n.BundleVersion == version && n.State == "ready"
		}
	}
	count := 0
	for _, ok := range ready {
		if ok {
			count++
		}
	}
	return count, nil
}

// SetZoneOut takes a zone out or brings it back in.
func (o *Operator) SetZoneOut(ctx context.Context, zone string, out bool) (api.AdminResult, error) {
	var status api.Status
	if err := o.call(ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return api.AdminResult{}, err
	}
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: status.IntentsRev + 1, Reason: "demo"}
	key := o.deployment.Operators[0]
	in.Operator = key.Name
	signed, err := o.parts.SignIntent(in, key)
	if err != nil {
		return api.AdminResult{}, trace.Wrap(err)
	}
	var result api.AdminResult
	if err := o.call(ctx, http.MethodPost, api.PathAdminIntents, signed, &result); err != nil {
		return result, err
	}
	if !result.Accepted {
		return result, trace.CompareFailed("the command for zone %s was not accepted: %s", zone, fmt.Sprint(result))
	}
	return result, nil
}

// poll repeats f until it succeeds or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(err)
		case <-time.After(pollInterval):
		}
	}
}
