package fleet

import "strconv"

// RateLimit is the number of requests a second that an endpoint accepts from all
// entries together. The zero value means that the endpoint names no limit.
type RateLimit struct {
	PerSecond float64
	Named     bool
}

// String implements fmt.Stringer.
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// RecordRateLimit records the limit that an endpoint names, and reports whether it has
// changed.
func (f *Fleet) RecordRateLimit(id string, l RateLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep := f.byID[id]
	return ep != nil && f.setRateLimit(ep, l)
}

// RecordRateLimit records the limit that a response of the endpoint names, and reports
// whether it has changed.
func (p *Pick) RecordRateLimit(l RateLimit) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.setRateLimit(p.Endpoint, l)
}

func (f *Fleet) setRateLimit(ep *Endpoint, l RateLimit) bool {
	changed := ep.rateLimit != l
	ep.rateLimit = l
	return changed
}

// RateLimited returns the number of endpoints that name a rate limit.
func (f *Fleet) RateLimited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, ep := range f.byID {
		if ep.rateLimit.Named {
			n++
		}
	}
	return n
}
