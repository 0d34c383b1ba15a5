package driftfront

import "sync"

// budgetBurst is the most extra attempts that a budget saves up.
const budgetBurst = 20

// redirectShare is the number of retries after refusals that cost an
// upstream nothing, as a share of the first attempts.
const redirectShare = 1

// budget is a token bucket that first attempts fill and extra attempts
// empty, so that extra attempts stay a share of the first ones. It is safe
// for concurrent use.
type budget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(share float64) *budget {
	b := &budget{share: share}
	if share > 0 {
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
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
