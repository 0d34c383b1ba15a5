package driftfront

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBudget(t *testing.T) {
	t.Run("a spent budget refills without first attempts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := spentBudget(1, 50)
			assert.False(t, b.withdraw())
			time.Sleep(20 * time.Millisecond)
			assert.True(t, b.withdraw())
			assert.False(t, b.withdraw())
		})
	})
	t.Run("a refill stops at the burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := spentBudget(1, 50)
			time.Sleep(time.Hour)
			for range budgetBurst {
				assert.True(t, b.withdraw())
			}
			assert.False(t, b.withdraw())
		})
	})
	t.Run("a budget with the ratio 0 stays empty", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBudget(0, 50)
			time.Sleep(time.Hour)
			assert.False(t, b.withdraw())
		})
	})
}

func spentBudget(ratio, minPerSecond float64) *budget {
	b := newBudget(ratio, minPerSecond)
	for b.withdraw() {
		continue
	}
	return b
}
