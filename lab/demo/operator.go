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

const (
	// rollOutTimeout bounds the retries of a command. It includes the time in which
	// the daemons start.
	rollOutTimeout = 20 * time.Second
	callTimeout    = 5 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// Operator sends an operator's commands to the first entry of a deployment.
type Operator struct {
	entry      string // IP:port
	client     http.Client
	deps       Deps
	deployment *deploy.Deployment
}

// NewOperator returns an Operator for the deployment.
func NewOperator(deps Deps, d *deploy.Deployment) *Operator {
	return &Operator{entry: d.Entries[0].HTTPAddr, client: http.Client{Timeout: callTimeout}, deps: deps, deployment: d}
}

// call sends in as JSON and decodes the response into out. A status other than 200
// is an error.
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
	r.Header.Set("Authorization", "Bearer "+o.deployment.Organisations[0].APIKey)
	resp, err := o.client.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("%s %s returned status %s: %s", method, path, resp.Status, data)
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// RollOut signs the bundle with as many members' keys as the threshold requires and
// rolls it out. It retries until the entry has started, for at most rollOutTimeout;
// sending the same bundle again is safe.
func (o *Operator) RollOut(ctx context.Context) (api.AdminResult, error) {
	d := o.deployment
	signed, err := o.deps.SignBundle(d.Bundle, d.Members[:d.Entries[0].Threshold])
	if err != nil {
		return api.AdminResult{}, trace.Wrap(err)
	}
	var result api.AdminResult
	err = poll(ctx, rollOutTimeout, func() error {
		return o.call(ctx, http.MethodPost, api.PathAdminBundle, signed, &result)
	})
	return result, err
}

// AwaitInForce waits until every node is ready with the bundle in force, for at most
// rollOutTimeout, and returns the number of nodes that are.
func (o *Operator) AwaitInForce(ctx context.Context, version uint64) (int, error) {
	want := len(o.deployment.Entries) + len(o.deployment.Agents)
	nodes := 0
	err := poll(ctx, rollOutTimeout, func() (err error) {
		if nodes, err = o.countInForce(ctx, version); err != nil {
			return err
		}
		if nodes < want {
			return trace.LimitExceeded("%d of %d nodes are ready with bundle %d", nodes, want, version)
		}
		return nil
	})
	return nodes, err
}

// countInForce returns the number of ready nodes with the bundle in force.
func (o *Operator) countInForce(ctx context.Context, version uint64) (int, error) {
	var status api.Status
	if err := o.call(ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return 0, err
	}
	// The entry that reports its status may or may not list itself among the nodes.
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

// SetZoneOut takes a zone out of service if out is true, and returns it to service
// otherwise.
func (o *Operator) SetZoneOut(ctx context.Context, zone string, out bool) (api.AdminResult, error) {
	var status api.Status
	if err := o.call(ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return api.AdminResult{}, err
	}
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: status.IntentsRev + 1, Reason: "demo"}
	key := o.deployment.Operators[0]
	in.Operator = key.Name
	signed, err := o.deps.SignIntent(in, key)
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

// poll calls f until it succeeds. After the timeout, or when ctx is done, it returns
// the last error of f.
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
