package driftfront

import (
	"sync"
	"time"
)

// budgetBurst is the most extra attempts that a budget saves up.
const budgetBurst = 20

// redirectRatio is the number of retries after refusals that cost an
// upstream nothing, as a share of the first attempts.
const redirectRatio = 1

// Extra attempts a second that a front may always make, so that a query in
// quiet times does not wait for the first attempts of others to earn its own.
const (
	minRedirectsPerSecond = 50
	minRetriesPerSecond   = 5
)

// budget is a token bucket that first attempts fill and extra attempts
// empty, so that extra attempts stay a share of the first ones. Floor tokens
// a second come on top. It is safe for concurrent use.
type budget struct {
	ratio        float64
	minPerSecond float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBudget(share, floor float64) *budget {
	b := &budget{ratio: share, filled: time.Now()}
	if share > 0 {
		b.minPerSecond = floor
		b.tokens = budgetBurst
	}
	return b
}

// deposit adds the share of the given number of first attempts.
func (b *budget) deposit(first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := max(budgetBurst, b.ratio*float64(first))
	b.tokens = min(burst, b.tokens+b.ratio*float64(first))
}

// withdraw spends one extra attempt, and reports whether there was one.
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

// refill adds the tokens that the floor has brought since the last time. The
// caller holds the lock.
func (b *budget) refill(now time.Time) {
	brought := b.minPerSecond * now.Sub(b.filled).Seconds()
	b.filled = now
	if b.tokens < budgetBurst {
		b.tokens = min(budgetBurst, b.tokens+brought)
	}
}
