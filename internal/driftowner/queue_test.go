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

// fireObjective is the latency objective of the class "fire".
const fireObjective = 40 * time.Millisecond

// fireLoad sends urgent requests at a low rate.
var fireLoad = load{"vm-1", "fire", 20 * time.Millisecond, fireObjective}

// percentile returns the time at the given quantile.
func percentile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// TestUrgent guards against an urgent class missing its latency objective
// while another class overloads the upstream.
func TestUrgent(t *testing.T) {
	for _, service := range []time.Duration{3 * time.Millisecond, 25 * time.Millisecond} {
		t.Run(service.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t.Context(), policy{}, driftfake.WithServiceTime(service, 0.5))
				w.warmUp(t.Context())
				results := w.runLoads(t.Context(), 5*time.Second, nightLoad, fireLoad)
				night, fire := results[0], results[1]
				assert.LessOrEqual(t, percentile(fire.took, 0.99), fireObjective)
				assert.GreaterOrEqual(t, fire.done, 248, "refused %d unknown %d", fire.refused, fire.unknown)
				assert.Positive(t, night.done)
				assert.LessOrEqual(t, percentile(night.refusalTook, 0), 5*time.Millisecond)
				w.assertInvariants(t)
			})
		})
	}
}

// TestNoClassStarves guards against an urgent class that is over capacity
// taking every slot from the other class.
func TestNoClassStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t.Context(), policy{})
		w.warmUp(t.Context())
		urgent := load{"vm-1", "fire", 400 * time.Microsecond, fireObjective}
		slow := load{"vm-1", "night", 50 * time.Millisecond, 2 * time.Second}
		results := w.runLoads(t.Context(), 10*time.Second, urgent, slow)
		assert.Positive(t, results[0].refused, "the urgent class is over capacity")
		assert.GreaterOrEqual(t, results[1].done, 190, "of 200")
	})
}

// TestOverload guards against accepting requests that then miss their deadline:
// at three times its capacity, an upstream must still answer nearly as many
// requests in time as it can serve, and the rest must be refused quickly.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t.Context(), policy{})
		w.warmUp(t.Context())
		capacity := testSlots * int(5*time.Second/(3*time.Millisecond))
		triple := load{"vm-1", "fire", 250 * time.Microsecond, fireObjective}
		r := w.runLoads(t.Context(), 5*time.Second, triple)[0]
		assert.GreaterOrEqual(t, r.done-r.overObjective, capacity*9/10)
		assert.LessOrEqual(t, percentile(r.refusalTook, 0.99), 5*time.Millisecond)
		assert.LessOrEqual(t, r.unknown, r.done/100)
		w.assertInvariants(t)
	})
}

func TestQueueOrder(t *testing.T) {
	now := time.Unix(0, 0)
	push := func(q *queue, id string, key time.Duration) *queuedRequest {
		t := &queuedRequest{key: now.Add(key), arrived: now, request: driftshard.Request{Query: id}}
		now = now.Add(time.Microsecond)
		return q.push(t)
	}
	t.Run("the earliest key first, and the oldest request at every fairness interval", func(t *testing.T) {
		q := queue{size: 100}
		push(&q, "old", time.Hour)
		for range 50 {
			push(&q, "new", time.Second)
		}
		for i := range fairnessInterval {
			next := q.next()
			assert.Equal(t, i == fairnessInterval-1, next.request.Query == "old")
			q.remove(next)
			q.grantCount++
		}
	})
	t.Run("a full queue evicts the latest key", func(t *testing.T) {
		q := queue{size: 2}
		push(&q, "a", time.Second)
		push(&q, "b", time.Hour)
		assert.Equal(t, "b", push(&q, "c", time.Minute).request.Query)
		assert.Equal(t, "d", push(&q, "d", time.Hour).request.Query)
		assert.Equal(t, 2, q.len())
	})
}
