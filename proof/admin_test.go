package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
)

func (c *cluster) post(entry, path string, body, answer any) error {
	data, err := json.Marshal(body)
	c.must(err)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	c.must(err)
	return c.roundTrip(req, answer)
}

func (c *cluster) get(entry, path string, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+c.orgs[0].APIKey)
	return c.roundTrip(req, answer)
}

func (c *cluster) roundTrip(req *http.Request, answer any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return json.NewDecoder(resp.Body).Decode(answer)
	}
	r := &api.Refusal{}
	if err := json.NewDecoder(resp.Body).Decode(r); err != nil {
		return fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return r
}

func (c *cluster) signed(b bundle.Bundle) *bundle.Signed {
	sig, err := b.Sign("member", c.member)
	c.must(err)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}
}

// roll rolls out the cluster's bundle at the first entry that takes it.
func (c *cluster) roll() {
	c.t.Helper()
	var result api.AdminResult
	c.eventually(10*time.Second, "bundle rolled out", func() error {
		return c.post(c.entryAddrs()[0], api.PathAdminBundle, c.signed(c.bundle), &result)
	})
}

// next returns the successor of the bundle in force.
func (c *cluster) next() bundle.Bundle {
	digest, err := c.bundle.Digest()
	c.must(err)
	b := c.bundle
	b.Version++
	b.Previous = digest
	return b
}

func (c *cluster) intent(kind, target string, out bool, revision uint64) bundle.Intent {
	in := bundle.Intent{Kind: kind, Target: target, Out: out, Revision: revision}
	c.must(in.Sign("operator", c.operator))
	return in
}

// move takes a zone or VM out or in through an entry.
func (c *cluster) move(entry, kind, target string, out bool) (api.AdminResult, error) {
	c.revision++
	var result api.AdminResult
	err := c.post(entry, api.PathAdminIntents, c.intent(kind, target, out, c.revision), &result)
	return result, err
}

func (c *cluster) status(id string) (api.Status, error) {
	var s api.Status
	err := c.get(c.nodes[id].addr(portHTTP), api.PathStatus, &s)
	return s, err
}

func (c *cluster) eventually(within time.Duration, what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s: %v", within, what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *cluster) awaitStarted() {
	c.t.Helper()
	for _, n := range c.entries() {
		c.eventually(10*time.Second, n.id+" serves", func() error {
			_, err := c.status(n.id)
			return err
		})
	}
}

// awaitReady waits until every running entry sees the named nodes ready with
// the cluster's bundle.
func (c *cluster) awaitReady(ids ...string) {
	c.t.Helper()
	for _, e := range c.entries() {
		select {
		case <-e.exited:
			continue
		default:
		}
		c.eventually(15*time.Second, "all nodes ready at "+e.id, func() error { return c.checkReady(e.id, ids) })
	}
}

func (c *cluster) checkReady(at string, ids []string) error {
	s, err := c.status(at)
	if err != nil {
		return err
	}
	ready := map[string]bool{}
	if s.State == "ready" && s.BundleVersion >= c.bundle.Version {
		ready[s.NodeID] = true
	}
	for _, n := range s.Nodes {
		if n.State == "ready" && n.BundleVersion >= c.bundle.Version {
			ready[n.NodeID] = true
		}
	}
	var errs []error
	for _, id := range ids {
		if !ready[id] {
			errs = append(errs, fmt.Errorf("%s is not ready", id))
		}
	}
	return errors.Join(errs...)
}
