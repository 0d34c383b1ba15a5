package driftfront

import (
	"sync"
	"time"
)

// budgetBurst is the largest number of extra attempts that a budget
// accumulates.
const budgetBurst = 20

// redirectRatio is the number of retries after refusals that put no load on an
// upstream, allowed for each first attempt.
const redirectRatio = 1

// Extra attempts per second that are always allowed, so that a query at low
// traffic does not depend on the first attempts of others.
const (
	minRedirectsPerSecond = 50
	minRetriesPerSecond   = 5
)

// budget is a token bucket that first attempts fill and extra attempts empty,
// so that extra attempts stay in proportion to the first ones. It also gains
// minPerSecond tokens a second. It is safe for concurrent use.
type budget struct {
	ratio        float64
	minPerSecond float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBudget(ratio, minPerSecond float64) *budget {
	b := &budget{ratio: ratio, filled: time.Now()}
	if ratio > 0 {
		b.minPerSecond = minPerSecond
		b.tokens = budgetBurst
	}
	return b
}

// deposit adds the tokens for the given number of first attempts.
func (b *budget) deposit(first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := max(budgetBurst, b.ratio*float64(first))
	b.tokens = min(burst, b.tokens+b.ratio*float64(first))
}

// withdraw spends one token for an extra attempt, and reports whether there
// was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens that have accrued at minPerSecond since the last call.
// The caller holds the lock.
func (b *budget) refill(now time.Time) {
	accrued := b.minPerSecond * now.Sub(b.filled).Seconds()
	b.filled = now
	if b.tokens < budgetBurst {
		b.tokens = min(budgetBurst, b.tokens+accrued)
	}
}
