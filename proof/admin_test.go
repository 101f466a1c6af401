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

func (c *cluster) postJSON(entry, path string, body, response any) error {
	data, err := json.Marshal(body)
	c.must(err)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	c.must(err)
	return c.roundTrip(req, response)
}

func (c *cluster) getJSON(entry, path string, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+c.organisations[0].APIKey)
	return c.roundTrip(req, response)
}

func (c *cluster) roundTrip(req *http.Request, response any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return json.NewDecoder(resp.Body).Decode(response)
	}
	r := &api.Refusal{}
	if err := json.NewDecoder(resp.Body).Decode(r); err != nil {
		return fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return r
}

func (c *cluster) signBundle(b bundle.Bundle) *bundle.Signed {
	sig, err := b.Sign("member", c.memberKey)
	c.must(err)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}
}

// rollOut rolls out the cluster's bundle through the first entry, with retries,
// since the entry may not be ready to accept it yet.
func (c *cluster) rollOut() {
	c.t.Helper()
	var result api.AdminResult
	c.eventually(10*time.Second, "the bundle is rolled out", func() error {
		return c.postJSON(c.entryAddrs()[0], api.PathAdminBundle, c.signBundle(c.bundle), &result)
	})
}

// nextBundle returns an unchanged successor of the bundle in force, with the next
// version and the digest of its predecessor.
func (c *cluster) nextBundle() bundle.Bundle {
	digest, err := c.bundle.Digest()
	c.must(err)
	b := c.bundle
	b.Version++
	b.Previous = digest
	return b
}

func (c *cluster) signedIntent(kind, target string, out bool, revision uint64) bundle.Intent {
	in := bundle.Intent{Kind: kind, Target: target, Out: out, Revision: revision}
	c.must(in.Sign("operator", c.operatorKey))
	return in
}

// sendIntent takes a zone or VM out of service or returns it to service through
// an entry.
func (c *cluster) sendIntent(entry, kind, target string, out bool) (api.AdminResult, error) {
	c.intentRevision++
	var result api.AdminResult
	err := c.postJSON(entry, api.PathAdminIntents, c.signedIntent(kind, target, out, c.intentRevision), &result)
	return result, err
}

func (c *cluster) nodeStatus(id string) (api.Status, error) {
	var s api.Status
	err := c.getJSON(c.nodes[id].addr(portHTTP), api.PathStatus, &s)
	return s, err
}

// eventually polls check until it returns nil, and ends the test if it still
// fails after within.
func (c *cluster) eventually(within time.Duration, condition string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s: %v", within, condition, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitEntriesServe waits until every entry answers status requests.
func (c *cluster) awaitEntriesServe() {
	c.t.Helper()
	for _, n := range c.entries() {
		c.eventually(10*time.Second, n.id+" answers status requests", func() error {
			_, err := c.nodeStatus(n.id)
			return err
		})
	}
}

// awaitReady waits until every running entry sees the given nodes as ready with
// the cluster's bundle.
func (c *cluster) awaitReady(ids ...string) {
	c.t.Helper()
	for _, e := range c.entries() {
		select {
		case <-e.exited:
			continue
		default:
		}
		c.eventually(15*time.Second, "all nodes are ready in the view of "+e.id, func() error { return c.checkReady(e.id, ids) })
	}
}

// checkReady returns an error that names the given nodes that are not ready with
// the cluster's bundle in the view of an entry.
func (c *cluster) checkReady(entryID string, ids []string) error {
	s, err := c.nodeStatus(entryID)
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
