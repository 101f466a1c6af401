package gate

import "time"

const (
	// firstTokenFactor is the rise of first-token time over the warm baseline
	// at which an endpoint counts as cold.
	firstTokenFactor = 3
	// baselineSamples is the number of warm completions before the baseline is used.
	baselineSamples = 32
	// baselineGain and recentGain are the weights of a new sample.
	baselineGain = 0.01
	recentGain   = 0.1
	// baselineFloor keeps scheduling noise of a busy VM from looking like a cold endpoint.
	baselineFloor = 5 * time.Millisecond
	// gapFactor is the rise of the token gap over the warm baseline that
	// confirms a rise of first-token time. A busy VM or longer prompts raise
	// first-token time alone; a full batch raises the gap by half.
	gapFactor = 2
)

// limit is the adaptive number of concurrent requests. It is not safe for
// concurrent use.
type limit struct {
	cold, warm int
	current    int
	// generation changes with current. Only completions of requests admitted
	// in the current generation count towards growth.
	generation uint64
	good       int
	reportCold bool

	samples  int
	baseline float64 // seconds
	recent   float64 // seconds
	// gap is the recent token gap and baselineGap the warm one, in seconds; 0 if unknown.
	gap, baselineGap float64
}

// configure sets the bounds from the bundle. The first call sets the limit to cold.
func (l *limit) configure(cold, warm int) {
	cold = max(cold, 1)
	warm = max(warm, cold)
	if l.cold == cold && l.warm == warm {
		return
	}
	wasCold := l.current <= l.cold
	l.cold, l.warm = cold, warm
	switch {
	case wasCold:
		l.set(cold)
	case l.current > warm:
		l.set(warm)
	}
}

func (l *limit) set(n int) {
	l.current = n
	l.generation++
	l.good = 0
}

// turnCold lowers the limit to the cold limit.
func (l *limit) turnCold() {
	l.recent = 0
	l.set(l.cold)
}

func (l *limit) isCold() bool { return l.current < l.warm && l.current <= l.cold }

// bad restarts the count of good completions.
func (l *limit) bad() { l.good = 0 }

// completed counts a good completion admitted in the given generation and
// returns a reason if the limit changed.
func (l *limit) completed(generation uint64, firstToken time.Duration) string {
	if l.slow(firstToken) {
		l.turnCold()
		return "first-token time rose above 3 times the warm baseline"
	}
	if generation != l.generation || l.reportCold || l.current >= l.warm {
		return ""
	}
	l.good++
	if l.good < l.current {
		return ""
	}
	l.set(min(l.warm, l.current+(l.current+1)/2))
	return "good completions reached the limit"
}

// slow adds a sample of the first-token time and reports whether the recent
// mean is too far above the warm baseline. The baseline is measured at the
// warm limit only, and samples above the factor do not raise it.
func (l *limit) slow(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	s := firstToken.Seconds()
	if l.recent == 0 {
		l.recent = s
	}
	l.recent += recentGain * (s - l.recent)
	bound := firstTokenFactor * max(l.baseline, baselineFloor.Seconds())
	known := l.samples >= baselineSamples
	if l.current >= l.warm && (!known || s <= bound) {
		l.samples++
		gain := max(baselineGain, 1/float64(l.samples))
		l.baseline += (s - l.baseline) * gain
		l.baselineGap += (l.gap - l.baselineGap) * gain
	}
	return known && l.current > l.cold && l.recent > bound && !l.steady()
}

// steady reports whether tokens come about as fast as from the warm endpoint.
func (l *limit) steady() bool {
	return l.baselineGap > 0 && l.gap < gapFactor*l.baselineGap
}
