package pipeline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"strings"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxTokens bounds max_tokens, and with it the text kept for resuming a
	// stream.
	maxTokens = 131072
	// prefixBytes is the length of the prompt prefix used for endpoint
	// affinity. It must not reach beyond a shared preamble. Different preambles
	// that begin with the same bytes share a prefix; the balancer's load bound
	// spreads their requests.
	prefixBytes = 64
)

// droppedHeaders are not forwarded between caller and endpoint. Besides
// hop-by-hop headers and the caller's API key, these are the idempotency headers:
// Go's HTTP client retries a request that carries one after a connection failure.
var droppedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	api.HeaderIdempotency, "X-Idempotency-Key",
}

// classify finds the service and determines whether the call is an order.
func (p *Pipeline) classify(next handler) handler {
	return func(c *call) *failure {
		classifyCall := c.classifyModel
		if strings.HasPrefix(c.r.URL.Path, api.PathCall) {
			classifyCall = c.classifyPlain
		}
		if failed := classifyCall(); failed != nil {
			return failed
		}
		return next(c)
	}
}

func (c *call) findService(name, kind, remedy string) *failure {
	c.service = c.snap.Services[name]
	if c.service == nil {
		return notStarted(api.KindUnknownService, fmt.Sprintf("service %q is not in the bundle", name), "use a service of the bundle")
	}
	if c.service.Kind != kind {
		return notStarted(api.KindBadRequest, fmt.Sprintf("service %q is of kind %s", name, c.service.Kind), remedy)
	}
	return nil
}

func (c *call) classifyModel() *failure {
	c.earlierAttemptPossible = false // model requests are idempotent
	name := strings.TrimPrefix(c.r.URL.Path, api.PathGenerate)
	if f := c.findService(name, bundle.KindModel, "use "+api.PathCall); f != nil {
		return f
	}
	if c.r.Method != http.MethodPost {
		return notStarted(api.KindBadRequest, "method is "+c.r.Method, "use POST")
	}
	var g api.GenerateRequest
	if err := json.Unmarshal(c.body, &g); err != nil {
		return notStarted(api.KindBadRequest, "body is not a generate request: "+err.Error(), "send a JSON object with prompt and max_tokens")
	}
	if g.MaxTokens < 1 || g.MaxTokens > maxTokens {
		return notStarted(api.KindBadRequest, fmt.Sprintf("max_tokens is %d", g.MaxTokens), fmt.Sprintf("use 1 to %d", maxTokens))
	}
	c.generateCall = &wire.GenerateCall{Prompt: g.Prompt, MaxTokens: g.MaxTokens}
	c.stream = &streamResponse{c: c}
	c.cost = float64(g.MaxTokens)
	c.prefix = g.Prompt[:min(len(g.Prompt), prefixBytes)]
	c.body = nil
	return nil
}

func (c *call) classifyPlain() *failure {
	name, rest, f := splitCallPath(c.r)
	if f != nil {
		return f
	}
	if f := c.findService(name, bundle.KindPlain, "use "+api.PathGenerate); f != nil {
		return f
	}
	c.isOrder = isOrder(c.service, c.r.Method, rest)
	c.cost = 1
	c.plainCall = &wire.PlainCall{
		Method: c.r.Method,
		Path:   endpointPath(c.r, name),
		Header: forwardedHeaders(c.r.Header),
		Body:   c.body,
	}
	if !c.isOrder {
		c.earlierAttemptPossible = false
		return nil
	}
	return c.parseOrderIdentity()
}

// splitCallPath returns the service and the decoded path of a plain call. It
// refuses paths that an endpoint could interpret differently, since the path
// decides whether the call is an order.
func splitCallPath(r *http.Request) (name, rest string, f *failure) {
	name, rest, found := strings.Cut(strings.TrimPrefix(r.URL.Path, api.PathCall), "/")
	rest = "/" + rest
	clean := path.Clean(rest)
	if strings.HasSuffix(rest, "/") && clean != "/" {
		clean += "/"
	}
	escaped := strings.HasPrefix(r.URL.EscapedPath(), api.PathCall+name+"/")
	if !found || clean != rest || !escaped {
		return "", "", notStarted(api.KindBadRequest, "path is not in its shortest form", "use "+api.PathCall+"SERVICE/PATH without empty or dot segments")
	}
	return name, rest, nil
}

// isOrder reports whether the call is not idempotent.
func isOrder(s *bundle.Service, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return false
	}
	for _, prefix := range s.NonIdempotentPaths {
		if strings.HasPrefix(path, prefix) || strings.HasPrefix(path+"/", prefix) {
			return true
		}
	}
	return false
}

func (c *call) parseOrderIdentity() *failure {
	raw := c.r.Header.Get(api.HeaderIdempotency)
	if raw == "" {
		c.earlierAttemptPossible = false // no agent runs an order without an identity
		return notStarted(api.KindIdentityRequired, "the call may not be repeated and has no "+api.HeaderIdempotency, "use the order_identity of /v1/resolve, or e<order_epoch>.<key>")
	}
	id, err := order.ParseIdentity(raw)
	if err != nil {
		return notStarted(api.KindBadRequest, err.Error(), "use the order_identity of /v1/resolve, or e<order_epoch>.<key>")
	}
	id.Organisation = c.organisation
	c.identity = id
	return nil
}

// endpointPath returns the escaped path and query of the endpoint's request.
func endpointPath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), api.PathCall+service)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeaders returns the headers that are forwarded between caller and
// endpoint, in either direction.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		name = http.CanonicalHeaderKey(name)
		if !strings.HasPrefix(name, "Wasabinotch-") {
			out[name] = values
		}
	}
	for _, listed := range out["Connection"] {
		for _, name := range strings.Split(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}
