package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
)

// commandTimeout includes the time for which an entry waits until the other zones
// confirm a command.
const commandTimeout = 10 * time.Second

// maxResponseBytes bounds a response of an entry.
const maxResponseBytes = 8 << 20

// client sends requests to entries in turn until one of them responds.
type client struct {
	entries    []string
	apiKey     string
	httpClient *http.Client
}

// do sends a request to the entries in turn until one responds, and decodes the
// response into response. A refusal is a response, except that of an entry without a
// bundle. If no entry responds, a command may or may not have taken effect; the error
// says that the same command can be repeated, which is safe.
func (c *client) do(method, path string, body, response any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return trace.Wrap(err)
		}
	}
	var errs []error
	for _, entry := range c.entries {
		err := c.send(method, "http://"+entry+path, data, response)
		var refusal *api.Refusal
		if err == nil || (errors.As(err, &refusal) && refusal.Kind != api.KindNoBundle) {
			return err
		}
		errs = append(errs, err)
	}
	return trace.ConnectionProblem(errors.Join(errs...), "no entry responded; repeat the same command, with other --entry addresses if needed")
}

func (c *client) send(method, url string, data []byte, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+c.apiKey)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return trace.Wrap(json.Unmarshal(raw, response))
	}
	refusal := &api.Refusal{}
	if err := json.Unmarshal(raw, refusal); err != nil || refusal.Kind == "" {
		return trace.BadParameter("%s responded %s: %.200s", url, resp.Status, raw)
	}
	return refusal
}
