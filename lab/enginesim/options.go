package enginesim

import "time"

// Options describe an engine. Zero values take the defaults of DefaultOptions.
type Options struct {
	// Name is shown in the model field of responses.
	Name string
	// ColdCapacity and WarmCapacity are the numbers of concurrent requests that
	// a cold and a warm engine sustain.
	ColdCapacity int
	WarmCapacity int
	// CapacityGainPerRequest is the capacity gained by each completed request
	// until the engine is warm. 0.5 matches an agent that raises its limit by half
	// after as many completions as the limit.
	CapacityGainPerRequest float64
	// QueueLimit is the number of requests that a warm engine queues beyond
	// WarmCapacity; further ones get status 503.
	QueueLimit int
	// BaseStepTime is the duration of a decoding step with one running request,
	// and StepTimePerRequest is added for each further one.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// PrefillTimePerKiB is the time to process 1024 bytes of prompt that are not
	// in the prefix cache.
	PrefillTimePerKiB time.Duration
	// PrefixCacheBytes is the size of the prefix cache, in prompt bytes.
	PrefixCacheBytes int
	// ColdSlowdown is the factor on step and prefill times of an engine at
	// ColdCapacity; it falls linearly to 1 as the engine warms up.
	ColdSlowdown float64
	// ReportLag is the age of the state shown by GET /load.
	ReportLag time.Duration
	// RestartDelay is the time between a crash and the automatic restart.
	RestartDelay time.Duration
}

// DefaultOptions returns the options of a small engine.
func DefaultOptions() Options {
	return Options{
		Name:                   "sim",
		ColdCapacity:           2,
		WarmCapacity:           16,
		CapacityGainPerRequest: 1,
		QueueLimit:             64,
		BaseStepTime:           5 * time.Millisecond,
		StepTimePerRequest:     200 * time.Microsecond,
		PrefillTimePerKiB:      8 * time.Millisecond,
		PrefixCacheBytes:       256 << 10,
		ColdSlowdown:           4,
		ReportLag:              200 * time.Millisecond,
		RestartDelay:           500 * time.Millisecond,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Name, d.Name)
	setDefault(&o.ColdCapacity, d.ColdCapacity)
	setDefault(&o.WarmCapacity, d.WarmCapacity)
	setDefault(&o.CapacityGainPerRequest, d.CapacityGainPerRequest)
	setDefault(&o.QueueLimit, d.QueueLimit)
	setDefault(&o.BaseStepTime, d.BaseStepTime)
	setDefault(&o.StepTimePerRequest, d.StepTimePerRequest)
	setDefault(&o.PrefillTimePerKiB, d.PrefillTimePerKiB)
	setDefault(&o.PrefixCacheBytes, d.PrefixCacheBytes)
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
