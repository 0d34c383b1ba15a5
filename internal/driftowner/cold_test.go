package driftowner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// nightLoad is a quarter more than a warm upstream can serve.
var nightLoad = load{"vm-1", "night", 600 * time.Microsecond, 2 * time.Second}

func TestCold(t *testing.T) {
	t.Run("a new lane to a cold upstream never overloads it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), policy{})
			w.upstream.MakeCold()
			w.drive(t.Context(), 3*time.Second, nightLoad)
			assert.Zero(t, w.over())
			assert.Equal(t, worldSlots, w.lane("vm-1").Limit)
			w.assertSound(t)
		})
	})
	t.Run("an upstream that restarts gets one request until it is warm", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), policy{})
			w.warm(t.Context())
			w.upstream.Restart()
			w.drive(t.Context(), 3*time.Second, nightLoad)
			assert.LessOrEqual(t, w.over(), worldSlots)
			assert.Equal(t, worldSlots, w.lane("vm-1").Limit)
			w.assertSound(t)
		})
	})
	t.Run("warmth is doubted after a long idle time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), policy{})
			w.warm(t.Context())
			time.Sleep(idleTime + time.Second)
			w.upstream.MakeCold()
			w.drive(t.Context(), 3*time.Second, nightLoad)
			assert.Zero(t, w.over())
			w.assertSound(t)
		})
	})
	t.Run("an upstream that stays slow gets its slots back in the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), policy{})
			w.warm(t.Context())
			w.upstream.SetSlowdown(10)
			w.drive(t.Context(), time.Second, load{"vm-1", "night", 10 * time.Millisecond, 2 * time.Second})
			assert.Equal(t, coldFlight, w.lane("vm-1").Limit)
			w.drive(t.Context(), 2*relearnTime, load{"vm-1", "night", 10 * time.Millisecond, 2 * time.Second})
			assert.Equal(t, worldSlots, w.lane("vm-1").Limit)
			w.assertSound(t)
		})
	})
}

// TestExposure asserts the number that docs/decisions/cold.md states: when a
// warm upstream turns cold without warning, it gets no more requests over
// what it bears than there are slots, whatever the load, and none after the
// first sign.
func TestExposure(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), policy{}, driftfake.WithSeed(seed))
			w.warm(t.Context())
			before := w.over()
			go func() {
				time.Sleep(100*time.Millisecond + time.Duration(seed)*time.Millisecond/7)
				w.upstream.MakeCold()
			}()
			w.drive(t.Context(), 3*time.Second, nightLoad)
			assert.LessOrEqual(t, w.over()-before, worldSlots, "seed %d", seed)
			assert.Equal(t, worldSlots, w.lane("vm-1").Limit, "seed %d", seed)
			w.assertSound(t)
		})
	}
}

func TestLimiter(t *testing.T) {
	const base = 3 * time.Millisecond
	now := time.Unix(0, 0)
	reply := func(l *limiter, took time.Duration, report int) {
		at := now
		now = now.Add(took)
		s := sample{class: "c", sent: at, took: took, boot: 1}
		s.load.Queue = report
		l.succeed(s, now)
	}
	warm := func(t *testing.T) *limiter {
		t.Helper()
		l := newLimiter(worldSlots, now)
		for range 1000 {
			reply(&l, base, 0)
		}
		require.Equal(t, worldSlots, l.limit)
		require.False(t, l.cold())
		return &l
	}
	t.Run("grows one, two, four", func(t *testing.T) {
		l := newLimiter(worldSlots, now)
		seen := []int{l.limit}
		for range 1000 {
			reply(&l, base, 0)
			if l.limit != seen[len(seen)-1] {
				seen = append(seen, l.limit)
			}
		}
		assert.Equal(t, []int{1, 2, 4}, seen)
	})
	t.Run("one slow reply is a sign, three warm ones clear it", func(t *testing.T) {
		l := warm(t)
		reply(l, 5*base, 0)
		assert.Equal(t, coldFlight, l.limit)
		for range clearStreak {
			reply(l, base, 0)
		}
		assert.Equal(t, worldSlots, l.limit)
	})
	t.Run("two slow replies make it cold", func(t *testing.T) {
		l := warm(t)
		reply(l, 5*base, 0)
		reply(l, 5*base, 0)
		for range growStreak - 1 {
			reply(l, base, 0)
		}
		assert.Equal(t, coldFlight, l.limit)
		assert.True(t, l.cold())
	})
	t.Run("replies to requests sent before the sign do not count", func(t *testing.T) {
		l := warm(t)
		sent := now
		l.cool(now.Add(time.Microsecond))
		for range 100 {
			l.succeed(sample{class: "c", sent: sent, took: base, boot: 1}, now.Add(base))
		}
		assert.Equal(t, coldFlight, l.limit)
	})
	t.Run("a steady rise of the service time lowers the limit", func(t *testing.T) {
		l := warm(t)
		for range 100 {
			reply(l, 2*base, 0)
		}
		assert.Less(t, l.limit, worldSlots)
		assert.False(t, l.cold())
	})
	t.Run("a report lowers the limit and never raises it", func(t *testing.T) {
		l := warm(t)
		for range 100 {
			reply(l, base, 9)
		}
		assert.Equal(t, worldSlots/2, l.limit)
		l.cool(now)
		reply(l, base, 0)
		assert.Equal(t, coldFlight, l.limit)
	})
	t.Run("a new boot number is cold", func(t *testing.T) {
		l := warm(t)
		l.succeed(sample{class: "c", sent: now, took: base, boot: 2}, now.Add(base))
		assert.Equal(t, coldFlight, l.limit)
	})
}
