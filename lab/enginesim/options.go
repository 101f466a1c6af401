package enginesim

import "time"

// Options describe an engine. Zero values take the defaults of DefaultOptions.
type Options struct {
	// Name is shown in the model field of answers.
	Name string
	// ColdCapacity and WarmCapacity are the numbers of concurrent requests that
	// a cold and a warm engine sustain.
	ColdCapacity int
	WarmCapacity int
	// WarmPerRequest is the capacity gained by each served request until the
	// engine is warm. An agent that raises its limit by half after as many
	// completions as the limit gains 0.5 per request.
	WarmPerRequest float64
	// QueueLimit is the number of requests that a warm engine keeps waiting
	// beyond WarmCapacity; further ones are answered with status 503.
	QueueLimit int
	// StepBase is the time of a decoding step with one running request, and
	// StepPerRequest is added for each further one.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillPerKB is the time to process 1024 bytes of prompt that the prefix
	// cache does not hold.
	PrefillPerKB time.Duration
	// CacheBytes is the size of the prompt-prefix cache, in prompt bytes.
	CacheBytes int
	// ColdSlowdown multiplies step and prefill times of a wholly cold engine;
	// it falls linearly to 1 as the engine warms up.
	ColdSlowdown float64
	// ReportLag is the age of the state shown by GET /load.
	ReportLag time.Duration
	// RestartDelay is the time between a crash and the next start.
	RestartDelay time.Duration
}

// DefaultOptions returns the options of a small engine.
func DefaultOptions() Options {
	return Options{
		Name:           "sim",
		ColdCapacity:   2,
		WarmCapacity:   16,
		WarmPerRequest: 1,
		QueueLimit:     64,
		StepBase:       5 * time.Millisecond,
		StepPerRequest: 200 * time.Microsecond,
		PrefillPerKB:   8 * time.Millisecond,
		CacheBytes:     256 << 10,
		ColdSlowdown:   4,
		ReportLag:      200 * time.Millisecond,
		RestartDelay:   500 * time.Millisecond,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Name, d.Name)
	setDefault(&o.ColdCapacity, d.ColdCapacity)
	setDefault(&o.WarmCapacity, d.WarmCapacity)
	setDefault(&o.WarmPerRequest, d.WarmPerRequest)
	setDefault(&o.QueueLimit, d.QueueLimit)
	setDefault(&o.StepBase, d.StepBase)
	setDefault(&o.StepPerRequest, d.StepPerRequest)
	setDefault(&o.PrefillPerKB, d.PrefillPerKB)
	setDefault(&o.CacheBytes, d.CacheBytes)
	setDefault(&o.ColdSlowdown, d.ColdSlowdown)
	setDefault(&o.ReportLag, d.ReportLag)
	setDefault(&o.RestartDelay, d.RestartDelay)
	o.WarmCapacity = max(o.WarmCapacity, o.ColdCapacity)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
