package loadgen

import (
	"time"

	"github.com/gravitational/trace"
)

// Organisation is a customer organisation on whose behalf requests are sent.
type Organisation struct {
	Name   string `json:"name"`
	APIKey string `json:"key"`
	// Weight is the relative probability that a request is sent for this
	// organisation. Default 1.
	Weight float64 `json:"weight"`
}

// Config describes the load.
type Config struct {
	// EntryAddrs are the HTTP addresses (IP:port) of the entries that callers
	// send resolve requests to.
	EntryAddrs    []string
	Organisations []Organisation
	// Zones are assigned to the callers in turn. A caller names its availability
	// zone in resolve requests; without Zones it names none.
	Zones []string
	// CallersPerOrganisation is the number of callers of each organisation. Each
	// caller has a separate cache of resolve responses. Default 8.
	CallersPerOrganisation int
	ModelService           string
	PlainService           string
	// ModelRate, StockRate and OrderRate are mean rates in requests per second;
	// 0 sends no requests of the class.
	ModelRate float64
	StockRate float64
	OrderRate float64
	// CallerKeyFraction is the fraction of orders, 0 to 1, whose idempotency
	// key is chosen by the caller; the others use an order identity issued by an
	// entry.
	CallerKeyFraction float64
	// MaxOrders bounds the number of orders that Run schedules; 0 for no bound.
	MaxOrders int
	// PromptPrefixes is the number of distinct shared prompt prefixes. Default 8.
	PromptPrefixes int
	// PromptPrefixBytes is the size of a shared prompt prefix. Default 2048.
	PromptPrefixBytes int
	// MaxTokens bounds a model response, in tokens. Default 32.
	MaxTokens int
	// Duration is the time during which requests are scheduled.
	Duration time.Duration
	// AttemptTimeout bounds one attempt of a request. Default 30 s.
	AttemptTimeout time.Duration
	// MaxAttempts bounds the attempts of one model request or lookup. Default 4.
	MaxAttempts int
	// OrderTimeout bounds the time for one order, retries included. Default 20 s.
	OrderTimeout time.Duration
	// MaxInFlight bounds the requests in flight. Requests beyond it are not sent
	// and are counted as skipped. Default 20000.
	MaxInFlight int
	// Seed determines the random send times and contents of requests, so that a
	// schedule can be reproduced.
	Seed uint64
}

func (c *Config) fillDefaults() error {
	if len(c.EntryAddrs) == 0 {
		return trace.BadParameter("no entry addresses are given; give at least one IP:port")
	}
	if len(c.Organisations) == 0 {
		return trace.BadParameter("no organisations are given; give at least one with its API key")
	}
	if c.ModelRate < 0 || c.StockRate < 0 || c.OrderRate < 0 || c.CallerKeyFraction < 0 || c.CallerKeyFraction > 1 {
		return trace.BadParameter("rates must not be negative, and the fraction of orders with callers' keys must be between 0 and 1")
	}
	setDefault(&c.CallersPerOrganisation, 8)
	setDefault(&c.PromptPrefixes, 8)
	setDefault(&c.PromptPrefixBytes, 2048)
	setDefault(&c.MaxTokens, 32)
	setDefault(&c.AttemptTimeout, 30*time.Second)
	setDefault(&c.MaxAttempts, 4)
	setDefault(&c.OrderTimeout, 20*time.Second)
	setDefault(&c.MaxInFlight, 20000)
	for i := range c.Organisations {
		setDefault(&c.Organisations[i].Weight, 1)
	}
	return nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
