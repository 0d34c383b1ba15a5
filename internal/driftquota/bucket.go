package driftquota

import (
	"math"
	"time"
)

// bucket is the token bucket of one account at its granter.
type bucket struct {
	tokens float64
	at     time.Duration
	// rate is in tokens a second, capacity in tokens.
	rate     float64
	capacity float64
	// lapse is set if the capacity is below one token, for one of many sides of a
	// partition: a token is then lost if it is not used within this many more, so
	// that not every side holds one. Phase spreads the tokens of the sides over time.
	lapse float64
	phase float64
}

// set fills the bucket until now and changes its rate and capacity. Tokens beyond
// the capacity are lost.
func (b *bucket) set(now time.Duration, rate, capacity float64, window time.Duration) {
	b.fill(now)
	small := capacity < 1
	switch {
	case small && b.capacity >= 1:
		b.tokens = min(b.tokens, capacity) - b.phase
	case !small:
		b.tokens = min(b.tokens, capacity)
	}
	b.rate, b.capacity, b.lapse = rate, capacity, 0
	if small {
		b.lapse = rate * window.Seconds() / 4
	}
}

// fill adds the tokens since the last time.
func (b *bucket) fill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens += b.rate * (now - b.at).Seconds()
	b.at = now
	if b.capacity >= 1 {
		b.tokens = min(b.tokens, b.capacity)
		return
	}
	if bound := 1 + b.lapse; b.tokens > bound {
		b.tokens = math.Mod(b.tokens, bound)
	}
}

// take takes up to the given number of whole tokens, of which some stay.
func (b *bucket) take(wanted int, stay float64) int {
	taken := max(0, min(wanted, int(b.tokens-stay)))
	b.tokens -= float64(taken)
	return taken
}

// giveBack adds tokens that were taken and not used.
func (b *bucket) giveBack(tokens int) {
	b.tokens = min(b.tokens+float64(tokens), max(1, b.capacity))
}

// wait returns how long it takes until there is one whole token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}
