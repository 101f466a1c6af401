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

// commandTimeout covers the wait of an entry for the other zones to confirm.
const commandTimeout = 10 * time.Second

// maxAnswerBytes bounds an answer of an entry.
const maxAnswerBytes = 8 << 20

// client asks entries in turn until one answers.
type client struct {
	entries []string
	apiKey  string
	http    *http.Client
}

// do sends a request to the first entry that can be reached. A refusal is an
// answer and ends the search. An error that leaves the result of a command
// open is reported as such: repeating the same command is safe.
func (c *client) do(method, path string, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return trace.Wrap(err)
		}
	}
	var errs []error
	for _, entry := range c.entries {
		err := c.ask(method, "http://"+entry+path, data, answer)
		var refusal *api.Refusal
		if err == nil || (errors.As(err, &refusal) && refusal.Kind != api.KindNoBundle) {
			return err
		}
		errs = append(errs, err)
	}
	return trace.ConnectionProblem(errors.Join(errs...), "no entry answered; repeat the same command, with other --entry addresses if needed")
}

func (c *client) ask(method, url string, data []byte, answer any) error {
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
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return trace.Wrap(json.Unmarshal(raw, answer))
	}
	refusal := &api.Refusal{}
	if err := json.Unmarshal(raw, refusal); err != nil || refusal.Kind == "" {
		return trace.BadParameter("%s answered %s: %.200s", url, resp.Status, raw)
	}
	return refusal
}
