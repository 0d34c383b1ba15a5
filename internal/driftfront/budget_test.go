package driftfront

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBudget(t *testing.T) {
	t.Run("a spent budget fills by its floor in quiet times", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := spentBudget(1, 50)
			assert.False(t, b.withdraw())
			time.Sleep(20 * time.Millisecond)
			assert.True(t, b.withdraw())
			assert.False(t, b.withdraw())
		})
	})
	t.Run("the floor saves up no more than the burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := spentBudget(1, 50)
			time.Sleep(time.Hour)
			for range budgetBurst {
				assert.True(t, b.withdraw())
			}
			assert.False(t, b.withdraw())
		})
	})
	t.Run("a budget without a share stays empty", func(t *testing.T) {
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
