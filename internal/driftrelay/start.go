package driftrelay

import (
	"time"
)

// Times of StartReturnDelay.
const (
	// usualStart is the time after its start within which a VM usually knows a
	// configuration.
	usualStart = 500 * time.Millisecond
	// minOutage is how long an outage of the platform lasts at least, as far as a
	// VM that has just started can tell.
	minOutage = time.Second
	// maxStartDelay bounds the delay, so that callers with much time left find out
	// soon after a long outage.
	maxStartDelay = 3 * time.Second
	// startSpread is the part of the delay over which callers return.
	startSpread = 0.25
)

// StartReturnDelay returns when a caller may return to a VM that has started the given
// time ago and knows no configuration yet. Jitter is random in [0, 1). It handles a
// whole fleet that starts while the platform is unavailable: every VM refuses, most
// callers try once more, and one that returns too early is lost. The outage is expected
// to last for as long again as it has. Callers shorten the delay by themselves if they
// have less time left.
func StartReturnDelay(sinceStart time.Duration, jitter float64) time.Duration {
	delay := retrySoon
	if sinceStart > usualStart {
		delay = min(max(minOutage, sinceStart), maxStartDelay)
	}
	return delay + time.Duration(startSpread*jitter*float64(delay))
}
