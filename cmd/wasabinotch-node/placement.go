package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/node"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// placementTimeout bounds the call to the entry.
const placementTimeout = 5 * time.Second

// placementOptions describe the request of explain-placement.
type placementOptions struct {
	Entry             string   `long:"ask" value-name:"IP:PORT" description:"internal address of the running entry: its ip and peer_port"`
	JSON              bool     `long:"json" description:"print JSON instead of a table"`
	Service           string   `long:"service" value-name:"NAME" description:"service of the request, unless --host and --path name its route"`
	Host              string   `long:"host" value-name:"NAME" description:"host of the request"`
	Path              string   `long:"path" value-name:"PATH" description:"path of the request"`
	RequestID         string   `long:"request-id" value-name:"ID" description:"ID of the request; decides where a route splits its traffic"`
	TargetMS          int64    `long:"target-ms" value-name:"MS" description:"target latency in milliseconds; by default that of the route"`
	PromptTokens      int      `long:"prompt-tokens" value-name:"N" description:"length of the prompt"`
	ResponseTokens    int      `long:"response-tokens" value-name:"N" description:"expected length of the response"`
	MaxResponseTokens int      `long:"max-response-tokens" value-name:"N" description:"greatest length of the response"`
	Parts             []string `long:"part" value-name:"ID:TOKENS" description:"part of the prompt; repeat it for each part in order, the last one is the request's own"`
}

// runExplainPlacement asks an entry where a request would go now, and prints its reply.
func runExplainPlacement(ctx context.Context, o *placementOptions, out io.Writer) error {
	q, err := o.query()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	reply, err := node.AskPlacement(ctx, o.Entry, q)
	if err != nil {
		return err
	}
	if o.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	return node.WritePlacement(out, reply)
}

func (o *placementOptions) query() (*wire.PlacementQuery, error) {
	invalid := func(field, reason, remedy string) (*wire.PlacementQuery, error) {
		return nil, &settings.Error{Field: field, Reason: reason, Remedy: remedy}
	}
	switch {
	case o.Entry == "":
		return invalid("--ask", "is missing", "give the internal address of a running entry: its ip and peer_port")
	case o.Service == "" && (o.Host == "" || o.Path == ""):
		return invalid("--service", "neither the service nor host and path are given", "give --service, or --host and --path")
	case o.PromptTokens < 0 || o.ResponseTokens < 0 || o.MaxResponseTokens < 0 || o.TargetMS < 0:
		return invalid("--prompt-tokens, --response-tokens, --max-response-tokens, --target-ms", "is negative", "give positive numbers")
	}
	q := &wire.PlacementQuery{
		Service: o.Service, Host: o.Host, Path: o.Path, RequestID: o.RequestID, TargetMS: o.TargetMS,
		PromptTokens: o.PromptTokens, ResponseTokens: o.ResponseTokens, MaxResponseTokens: o.MaxResponseTokens,
	}
	for _, part := range o.Parts {
		id, tokens, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if id == "" || err != nil || n < 0 {
			return invalid("--part", fmt.Sprintf("%q is not ID:TOKENS", part), "give the part's ID, a colon and its number of tokens")
		}
		q.Parts = append(q.Parts, wire.PlacementPart{ID: id, Tokens: n})
	}
	return q, nil
}
