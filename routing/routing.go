// Package routing holds the operator's configuration in the form that an entry uses:
// routes by host and path prefix, services by name, and organisations by API key.
package routing

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines whether a request may be retried once it may have run.
type Kind int

// The kinds of requests.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// Target is one service of a route with its weight in the traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Route configures how requests to one host and path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream,
	// that meets the service's target.
	TargetLatency time.Duration
	// TargetGap is the longest interval between two events of a stream that meets the
	// target.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority       int
	Targets        []Target
	MaxAttempts    int
	AllowAnonymous bool
	// Resumable is set if a stream may be continued at another endpoint.
	Resumable bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the largest number of requests in progress at an endpoint,
	// 0 for no limit.
	MaxConnections int
	// ColdPerSecond is the request rate that a cold endpoint sustains, 0 for no limit.
	ColdPerSecond float64
	// Engine is nil for services that aren't model engines.
	Engine *Engine
}

// Engine holds the published performance figures of a service's model engines.
type Engine struct {
	Slots int
	// StepTime is the time of one decoding step of an engine without requests,
	// StepTimePerRequest the time that each request in decoding adds to a step.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerSecond is the rate at which prompts are processed.
	PromptTokensPerSecond float64
	// MeanPromptTokens and MeanResponseTokens are the mean lengths of prompts and
	// responses.
	MeanPromptTokens, MeanResponseTokens float64
	ExpertSets, Experts                  int
	// ExpertSlots is the number of experts of one set that a rank can hold, SpareSlots
	// the number of experts of one set that a new map may add to a rank.
	ExpertSlots, SpareSlots int
	// ExpertBytes is the size of one expert, LinkBytesPerSecond the rate at which
	// experts are copied.
	ExpertBytes, LinkBytesPerSecond float64
}

// claimRange is how many times the usual cost a request may be counted as, or be counted
// below it: what callers state of their requests are only claims.
const claimRange = 8

// SlotSeconds returns the seconds for which a request with the given numbers of prompt and
// response tokens is expected to occupy a slot of a full engine, 0 if the engine's figures
// are unknown. Numbers that are 0 are taken as the usual ones.
func (e *Engine) SlotSeconds(promptTokens, responseTokens int) float64 {
	if e.PromptTokensPerSecond <= 0 || e.StepTime <= 0 {
		return 0
	}
	perResponseToken := (e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest).Seconds()
	of := func(prompt, response float64) float64 {
		return prompt/e.PromptTokensPerSecond + response*perResponseToken
	}
	usual := of(e.MeanPromptTokens, e.MeanResponseTokens)
	prompt, response := float64(promptTokens), float64(responseTokens)
	if prompt <= 0 {
		prompt = e.MeanPromptTokens
	}
	if response <= 0 {
		response = e.MeanResponseTokens
	}
	cost := of(prompt, response)
	if usual <= 0 {
		return cost
	}
	return min(max(cost, usual/claimRange), usual*claimRange)
}

// Limits bounds the requests that callers may send. A zero BodyBytes means no limit;
// for other zero fields the entry's defaults apply.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a holder of API keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route if it isn't nil.
	Priority *int
	Keys     []string
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
	keys     map[string]*Organisation
	// ranks holds the ranks that a service's requests can have, most urgent first.
	ranks map[string][]rank
	seed  maphash.Seed
}

// New builds a configuration. Without organisations, requests need no API key. It
// returns an error if a route names an unknown service.
func New(version uint64, routes []*Route, services []*Service, organisations []*Organisation, limits Limits) (*Config, error) {
	c := &Config{
		Version: version, Limits: limits, seed: maphash.MakeSeed(),
		services: make(map[string]*Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		for _, t := range r.Targets {
			if c.services[t.Service] == nil {
				return nil, fmt.Errorf("configuration %d: route %q names unknown service %q; add the service or correct the route", version, r.Name, t.Service)
			}
		}
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i, o := range organisations {
		if i == 0 {
			c.keys = make(map[string]*Organisation)
		}
		for _, k := range o.Keys {
			c.keys[k] = o
		}
	}
	c.ranks = serviceRanks(routes, organisations)
	return c, nil
}

// rank orders the requests of a service. An organisation's priority takes precedence over
// the route's, which decides among requests of equal organisations. Requests without an
// organisation's priority have the route's in its place.
type rank struct{ organisation, route int }

func rankOf(r *Route, o *Organisation) rank {
	if o != nil && o.Priority != nil {
		return rank{*o.Priority, r.Priority}
	}
	return rank{r.Priority, r.Priority}
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
}

// serviceRanks returns, by service, the ranks that its requests can have, most urgent
// first.
func serviceRanks(routes []*Route, organisations []*Organisation) map[string][]rank {
	priorities := make(map[int]*Organisation)
	plain := len(organisations) == 0
	for _, o := range organisations {
		if o.Priority == nil {
			plain = true
		} else {
			priorities[*o.Priority] = o
		}
	}
	found := make(map[string]map[rank]bool)
	for _, r := range routes {
		for _, t := range r.Targets {
			if found[t.Service] == nil {
				found[t.Service] = make(map[rank]bool)
			}
			if plain || r.AllowAnonymous {
				found[t.Service][rankOf(r, nil)] = true
			}
			for _, o := range priorities {
				found[t.Service][rankOf(r, o)] = true
			}
		}
	}
	byService := make(map[string][]rank, len(found))
	for service, ranks := range found {
		byService[service] = slices.SortedFunc(maps.Keys(ranks), rank.compare)
	}
	return byService
}

// Ranks returns the number of different ranks that a service's requests can have.
func (c *Config) Ranks(service string) int { return len(c.ranks[service]) }

// Rank returns the place of a request among the ranks of its service, 0 for the most urgent
// ones. o is nil for anonymous callers.
func (c *Config) Rank(service string, r *Route, o *Organisation) int {
	place, _ := slices.BinarySearchFunc(c.ranks[service], rankOf(r, o), rank.compare)
	return place
}

// Match returns the route with the longest prefix of path for a host, or nil. The case
// of the host and its port are ignored.
func (c *Config) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// EachService calls f for each service, in no particular sequence.
func (c *Config) EachService(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// TargetGaps returns, by service, the shortest target gap of the service's routes.
// Services without a target gap are left out.
func (c *Config) TargetGaps() map[string]time.Duration {
	gaps := make(map[string]time.Duration)
	for _, routes := range c.hosts {
		for _, r := range routes {
			for _, t := range r.Targets {
				if old, ok := gaps[t.Service]; r.TargetGap > 0 && (!ok || r.TargetGap < old) {
					gaps[t.Service] = r.TargetGap
				}
			}
		}
	}
	return gaps
}

// Organisation returns the holder of an API key, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.keys[key] }

// HasKeys reports whether there are organisations, which requests name by their API keys.
func (c *Config) HasKeys() bool { return c.keys != nil }

// NeedsKey reports whether requests on the route must carry a known API key.
func (c *Config) NeedsKey(r *Route) bool { return c.HasKeys() && !r.AllowAnonymous }

// Target returns the service for a request. The choice depends only on the request's ID,
// so that retries under one configuration go to the same service.
func (c *Config) Target(r *Route, requestID string) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := float64(maphash.String(c.seed, requestID)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
