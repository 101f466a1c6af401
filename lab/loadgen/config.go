package loadgen

import (
	"time"

	"github.com/gravitational/trace"
)

// Organisation is a customer on whose behalf requests are sent.
type Organisation struct {
	Name   string `json:"name"`
	APIKey string `json:"key"` // API key
	// Weight is the organisation's part of the requests, relative to the others. Default 1.
	Weight float64 `json:"weight"`
}

// Config describes the load.
type Config struct {
	// EntryAddrs are HTTP addresses (IP:port) of some entries that are asked to resolve.
	EntryAddrs    []string
	Organisations []Organisation
	// Zones are the zones that callers name when they resolve; empty for none.
	Zones []string
	// CallersPerOrganisation is the number of callers of one organisation, each
	// with its own resolve cache. Default 8.
	CallersPerOrganisation int
	ModelService           string
	PlainService           string
	// Rates are in requests per second; 0 sends none.
	ModelRate float64
	StockRate float64
	OrderRate float64
	// CallerKeyFraction is the fraction of orders, 0 to 1, that carry a caller's own
	// key; the others carry an issued identity.
	CallerKeyFraction float64
	// MaxOrders ends the sending of orders after this number; 0 for no end.
	MaxOrders int
	// PromptPrefixes is the number of distinct shared prompt prefixes. Default 8.
	PromptPrefixes int
	// PromptPrefixBytes is the size of a shared prompt prefix. Default 2048.
	PromptPrefixBytes int
	// MaxTokens bounds a model answer, in tokens. Default 32.
	MaxTokens int
	// Duration is the time during which requests are scheduled.
	Duration time.Duration
	// AttemptTimeout bounds one attempt. Default 30 s.
	AttemptTimeout time.Duration
	// MaxAttempts bounds the attempts of one model request or lookup. Default 4.
	MaxAttempts int
	// OrderTimeout bounds the repeats of one order. Default 20 s.
	OrderTimeout time.Duration
	// MaxInFlight bounds the requests without an answer; further ones are
	// counted as skipped. Default 20000.
	MaxInFlight int
	// Seed makes the schedule reproducible.
	Seed uint64
}

func (c *Config) fillDefaults() error {
	if len(c.EntryAddrs) == 0 {
		return trace.BadParameter("no entry addresses are given; name at least one IP:port")
	}
	if len(c.Organisations) == 0 {
		return trace.BadParameter("no organisations are given; name at least one with its API key")
	}
	if c.ModelRate < 0 || c.StockRate < 0 || c.OrderRate < 0 || c.CallerKeyFraction < 0 || c.CallerKeyFraction > 1 {
		return trace.BadParameter("a rate is negative or own_key_share is not from 0 to 1")
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
