package gate

import "time"

const (
	// firstTokenFactor is the ratio of the recent first-token time to the warm
	// baseline above which an endpoint counts as cold.
	firstTokenFactor = 3
	// minBaselineSamples is the number of samples at the warm limit before the
	// baseline is used.
	minBaselineSamples = 32
	// baselineGain and recentGain are the weights of a new sample in the moving averages.
	baselineGain = 0.01
	recentGain   = 0.1
	// baselineFloor is the least baseline used, so that scheduling delays of a
	// busy VM do not look like a cold endpoint.
	baselineFloor = 5 * time.Millisecond
	// gapFactor is the ratio of the recent token gap to the warm baseline from
	// which a rise of the first-token time counts as cold. A busy VM or longer
	// prompts raise the first-token time alone; a full batch raises the gap by half.
	gapFactor = 2
)

// adaptiveLimit is the number of requests that may run at the endpoint at a
// time. It starts at the cold limit, grows with successful requests to the warm
// limit, and returns to the cold limit when the endpoint restarts, reports that
// it is cold, or slows down. It is not safe for concurrent use.
type adaptiveLimit struct {
	coldLimit, warmLimit int
	current              int
	// generation increases whenever current is set. Only successes of requests
	// admitted in the current generation count towards growth.
	generation uint64
	successes  int
	// reportedCold is set if the endpoint's last load report said that it is cold.
	reportedCold bool

	sampleCount        int     // of the baseline
	baselineFirstToken float64 // seconds
	recentFirstToken   float64 // seconds
	// recentGap and baselineGap are the recent and the warm token gap in
	// seconds; 0 if unknown.
	recentGap, baselineGap float64
}

// setBounds sets the cold and the warm limit. The first call sets the current
// limit to the cold limit.
func (l *adaptiveLimit) setBounds(cold, warm int) {
	cold = max(cold, 1)
	warm = max(warm, cold)
	if l.coldLimit == cold && l.warmLimit == warm {
		return
	}
	wasCold := l.current <= l.coldLimit
	l.coldLimit, l.warmLimit = cold, warm
	switch {
	case wasCold:
		l.set(cold)
	case l.current > warm:
		l.set(warm)
	}
}

func (l *adaptiveLimit) set(n int) {
	l.current = n
	l.generation++
	l.successes = 0
}

// resetToCold sets the limit to the cold limit.
func (l *adaptiveLimit) resetToCold() {
	l.recentFirstToken = 0
	l.set(l.coldLimit)
}

func (l *adaptiveLimit) isCold() bool { return l.current < l.warmLimit && l.current <= l.coldLimit }

func (l *adaptiveLimit) resetSuccesses() { l.successes = 0 }

// recordSuccess counts a successful request that was admitted in the given
// generation, and returns the reason if the limit changed, else "". A firstToken
// of 0 is no sample.
func (l *adaptiveLimit) recordSuccess(generation uint64, firstToken time.Duration) string {
	if l.addFirstTokenSample(firstToken) {
		l.resetToCold()
		return "first-token time rose above 3 times the warm baseline"
	}
	if generation != l.generation || l.reportedCold || l.current >= l.warmLimit {
		return ""
	}
	l.successes++
	if l.successes < l.current {
		return ""
	}
	l.set(min(l.warmLimit, l.current+(l.current+1)/2))
	return "as many requests succeeded as the limit admits at a time"
}

// addFirstTokenSample adds a sample of the first-token time and reports whether
// the endpoint has turned cold: the recent mean is more than firstTokenFactor
// times the baseline, and the token gap is not near its baseline. The baseline is
// measured at the warm limit only, and samples above the factor do not raise it.
func (l *adaptiveLimit) addFirstTokenSample(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	s := firstToken.Seconds()
	if l.recentFirstToken == 0 {
		l.recentFirstToken = s
	}
	l.recentFirstToken += recentGain * (s - l.recentFirstToken)
	bound := firstTokenFactor * max(l.baselineFirstToken, baselineFloor.Seconds())
	known := l.sampleCount >= minBaselineSamples
	if l.current >= l.warmLimit && (!known || s <= bound) {
		l.sampleCount++
		gain := max(baselineGain, 1/float64(l.sampleCount))
		l.baselineFirstToken += (s - l.baselineFirstToken) * gain
		l.baselineGap += (l.recentGap - l.baselineGap) * gain
	}
	return known && l.current > l.coldLimit && l.recentFirstToken > bound && !l.gapNearBaseline()
}

// gapNearBaseline reports whether the recent token gap is below gapFactor times the
// warm baseline. It is false while the baseline is unknown.
func (l *adaptiveLimit) gapNearBaseline() bool {
	return l.baselineGap > 0 && l.recentGap < gapFactor*l.baselineGap
}
