package driftfront

import (
	"sync"
	"time"
)

// budgetBurst is the most extra attempts that a budget saves up.
const budgetBurst = 20

// redirectShare is the number of retries after refusals that cost an
// upstream nothing, as a share of the first attempts.
const redirectShare = 1

// Extra attempts a second that a front may always make, so that a query in
// quiet times does not wait for the first attempts of others to earn its own.
const (
	redirectFloor = 50
	retryFloor    = 5
)

// budget is a token bucket that first attempts fill and extra attempts
// empty, so that extra attempts stay a share of the first ones. Floor tokens
// a second come on top. It is safe for concurrent use.
type budget struct {
	share float64
	floor float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBudget(share, floor float64) *budget {
	b := &budget{share: share, filled: time.Now()}
	if share > 0 {
		b.floor = floor
		b.tokens = budgetBurst
	}
	return b
}

// earn adds the share of the given number of first attempts.
func (b *budget) earn(first int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := max(budgetBurst, b.share*float64(first))
	b.tokens = min(burst, b.tokens+b.share*float64(first))
}

// take spends one extra attempt, and reports whether there was one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the tokens that the floor has brought since the last time. The
// caller holds the lock.
func (b *budget) fill(now time.Time) {
	brought := b.floor * now.Sub(b.filled).Seconds()
	b.filled = now
	if b.tokens < budgetBurst {
		b.tokens = min(budgetBurst, b.tokens+brought)
	}
}
