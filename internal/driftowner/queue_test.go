package driftowner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// fireTarget is the latency target of the emergency check.
const fireTarget = 40 * time.Millisecond

// fireLoad is a trickle of emergency checks.
var fireLoad = load{"vm-1", "fire", 20 * time.Millisecond, fireTarget}

// percentile returns the value below which the share of the times lies.
func percentile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func TestUrgent(t *testing.T) {
	for _, service := range []time.Duration{3 * time.Millisecond, 25 * time.Millisecond} {
		t.Run(service.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t.Context(), policy{}, driftfake.WithServiceTime(service, 0.5))
				w.warm(t.Context())
				results := w.drive(t.Context(), 5*time.Second, nightLoad, fireLoad)
				night, fire := results[0], results[1]
				assert.LessOrEqual(t, percentile(fire.took, 0.99), fireTarget)
				assert.GreaterOrEqual(t, fire.done, 248, "refused %d unknown %d", fire.refused, fire.unknown)
				assert.Positive(t, night.done)
				assert.LessOrEqual(t, percentile(night.refuse, 0), 5*time.Millisecond)
				w.assertSound(t)
			})
		})
	}
}

func TestNoClassStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), policy{})
		w.warm(t.Context())
		urgent := load{"vm-1", "fire", 400 * time.Microsecond, fireTarget}
		slow := load{"vm-1", "night", 50 * time.Millisecond, 2 * time.Second}
		results := w.drive(t.Context(), 10*time.Second, urgent, slow)
		assert.Positive(t, results[0].refused, "the urgent class is over capacity")
		assert.GreaterOrEqual(t, results[1].done, 190, "of 200")
	})
}

func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), policy{})
		w.warm(t.Context())
		capacity := worldSlots * int(5*time.Second/(3*time.Millisecond))
		triple := load{"vm-1", "fire", 250 * time.Microsecond, fireTarget}
		r := w.drive(t.Context(), 5*time.Second, triple)[0]
		assert.GreaterOrEqual(t, r.done-r.late, capacity*9/10)
		assert.LessOrEqual(t, percentile(r.refuse, 0.99), 5*time.Millisecond)
		assert.LessOrEqual(t, r.unknown, r.done/100)
		w.assertSound(t)
	})
}

func TestQueueOrder(t *testing.T) {
	now := time.Unix(0, 0)
	push := func(q *queue, id string, key time.Duration) *ticket {
		t := &ticket{key: now.Add(key), arrived: now, request: driftshard.Request{Query: id}}
		now = now.Add(time.Microsecond)
		return q.push(t)
	}
	t.Run("the earliest key first, and the oldest once in a while", func(t *testing.T) {
		q := queue{size: 100}
		push(&q, "old", time.Hour)
		for range 50 {
			push(&q, "new", time.Second)
		}
		for i := range shareInterval {
			next := q.next()
			assert.Equal(t, i == shareInterval-1, next.request.Query == "old")
			q.remove(next)
			q.grants++
		}
	})
	t.Run("a full queue lets the latest key go", func(t *testing.T) {
		q := queue{size: 2}
		push(&q, "a", time.Second)
		push(&q, "b", time.Hour)
		assert.Equal(t, "b", push(&q, "c", time.Minute).request.Query)
		assert.Equal(t, "d", push(&q, "d", time.Hour).request.Query)
		assert.Equal(t, 2, q.len())
	})
}
