package driftowner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// nightLoad is a load of 125% of the capacity of a warm upstream.
var nightLoad = load{"vm-1", "night", 600 * time.Microsecond, 2 * time.Second}

func TestCold(t *testing.T) {
	t.Run("a new dispatcher does not overload a cold upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.MakeCold()
			w.runLoads(t.Context(), 3*time.Second, nightLoad)
			assert.Zero(t, w.coldOverload())
			assert.Equal(t, testSlots, w.loadAt("vm-1").Limit)
			w.assertInvariants(t)
		})
	})
	t.Run("a restarted upstream gets one request at a time until it is warm", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.upstream.Restart()
			w.runLoads(t.Context(), 3*time.Second, nightLoad)
			assert.LessOrEqual(t, w.coldOverload(), testSlots)
			assert.Equal(t, testSlots, w.loadAt("vm-1").Limit)
			w.assertInvariants(t)
		})
	})
	t.Run("an upstream counts as cold after a long idle time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			time.Sleep(warmthIdleTTL + time.Second)
			w.upstream.MakeCold()
			w.runLoads(t.Context(), 3*time.Second, nightLoad)
			assert.Zero(t, w.coldOverload())
			w.assertInvariants(t)
		})
	})
	t.Run("an upstream that stays slow eventually gets all its slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.upstream.SetSlowdown(10)
			w.runLoads(t.Context(), time.Second, load{"vm-1", "night", 10 * time.Millisecond, 2 * time.Second})
			assert.Equal(t, coldLimit, w.loadAt("vm-1").Limit)
			w.runLoads(t.Context(), 2*relearnBaselineTime, load{"vm-1", "night", 10 * time.Millisecond, 2 * time.Second})
			assert.Equal(t, testSlots, w.loadAt("vm-1").Limit)
			w.assertInvariants(t)
		})
	})
}

// TestExposure guards the bound stated in docs/decisions/cold.md: when a warm
// upstream becomes cold without warning, it gets at most as many excess
// requests as it has slots, whatever the load, and none after the first sign.
func TestExposure(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{}, driftfake.WithSeed(seed))
			w.warmUp(t.Context())
			before := w.coldOverload()
			go func() {
				time.Sleep(100*time.Millisecond + time.Duration(seed)*time.Millisecond/7)
				w.upstream.MakeCold()
			}()
			w.runLoads(t.Context(), 3*time.Second, nightLoad)
			assert.LessOrEqual(t, w.coldOverload()-before, testSlots, "seed %d", seed)
			assert.Equal(t, testSlots, w.loadAt("vm-1").Limit, "seed %d", seed)
			w.assertInvariants(t)
		})
	}
}

// TestFastColdReplyMissed guards against sending more at a time after a reply of a
// cold upstream that took longer than any warm one and yet was not slow (found in
// TestScenarios/fails-04-turns-cold).
func TestFastColdReplyMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t.Context(), policy{}, driftfake.WithServiceTime(3*time.Millisecond, 0))
		w.warmUp(t.Context())
		w.upstream.MakeCold()
		w.upstream.SetSlowdown(0.48)
		assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
		time.Sleep(5 * time.Millisecond)
		w.runLoads(t.Context(), 4*time.Millisecond, load{"vm-1", "night", 2 * time.Millisecond, time.Second})
		assert.Zero(t, w.coldOverload())
		w.assertInvariants(t)
	})
}

func TestLimiter(t *testing.T) {
	const base = 3 * time.Millisecond
	now := time.Unix(0, 0)
	reply := func(l *limiter, took time.Duration, report int) {
		at := now
		now = now.Add(took)
		s := sample{class: "c", sent: at, took: took, incarnation: 1}
		s.load.Queue = report
		l.recordReply(s, now)
	}
	warm := func(t *testing.T) *limiter {
		t.Helper()
		l := newLimiter(testSlots, now)
		for range 1000 {
			reply(&l, base, 0)
		}
		require.Equal(t, testSlots, l.limit)
		require.False(t, l.cold())
		return &l
	}
	t.Run("the limit of a cold upstream grows from one to two to four", func(t *testing.T) {
		l := newLimiter(testSlots, now)
		seen := []int{l.limit}
		for range 1000 {
			reply(&l, base, 0)
			if l.limit != seen[len(seen)-1] {
				seen = append(seen, l.limit)
			}
		}
		assert.Equal(t, []int{1, 2, 4}, seen)
	})
	t.Run("one slow reply lowers the limit, three warm ones restore it", func(t *testing.T) {
		l := warm(t)
		reply(l, 5*base, 0)
		assert.Equal(t, coldLimit, l.limit)
		for range warmStreakToClear {
			reply(l, base, 0)
		}
		assert.Equal(t, testSlots, l.limit)
	})
	t.Run("two slow replies make the upstream cold", func(t *testing.T) {
		l := warm(t)
		reply(l, 5*base, 0)
		reply(l, 5*base, 0)
		for range warmStreakToGrow - 1 {
			reply(l, base, 0)
		}
		assert.Equal(t, coldLimit, l.limit)
		assert.True(t, l.cold())
	})
	t.Run("replies to requests sent before a phase change do not count", func(t *testing.T) {
		l := warm(t)
		sent := now
		l.enterCold(now.Add(time.Microsecond))
		for range 100 {
			l.recordReply(sample{class: "c", sent: sent, took: base, incarnation: 1}, now.Add(base))
		}
		assert.Equal(t, coldLimit, l.limit)
	})
	t.Run("a steady rise of the service time lowers the limit", func(t *testing.T) {
		l := warm(t)
		for range 100 {
			reply(l, 2*base, 0)
		}
		assert.Less(t, l.limit, testSlots)
		assert.False(t, l.cold())
	})
	t.Run("a reply between warm and slow allows one request until a later one is warm", func(t *testing.T) {
		l := warm(t)
		early := now
		reply(l, 9*base/4, 0)
		assert.Equal(t, coldLimit, l.concurrency())
		l.recordReply(sample{class: "c", sent: early.Add(-time.Microsecond), took: base, incarnation: 1}, now)
		assert.Equal(t, coldLimit, l.concurrency(), "sent earlier")
		reply(l, base, 0)
		assert.Equal(t, testSlots, l.concurrency())
	})
	t.Run("the same while it warms up", func(t *testing.T) {
		l := warm(t)
		l.enterCold(now)
		for range warmStreakToGrow {
			reply(l, base, 0)
		}
		assert.Equal(t, 2, l.concurrency())
		reply(l, 9*base/4, 0)
		assert.Equal(t, coldLimit, l.concurrency())
		reply(l, base, 0)
		assert.Equal(t, 2, l.concurrency())
	})
	t.Run("a suspicion that ends with a doubtful reply leaves one request", func(t *testing.T) {
		l := warm(t)
		reply(l, 5*base, 0)
		for range warmStreakToClear {
			reply(l, 9*base/4, 0)
		}
		assert.False(t, l.cold())
		assert.Equal(t, coldLimit, l.concurrency())
	})
	t.Run("a load report lowers the limit and never raises it", func(t *testing.T) {
		l := warm(t)
		for range 100 {
			reply(l, base, 9)
		}
		assert.Equal(t, testSlots/2, l.limit)
		l.enterCold(now)
		reply(l, base, 0)
		assert.Equal(t, coldLimit, l.limit)
	})
	t.Run("a new incarnation is cold", func(t *testing.T) {
		l := warm(t)
		l.recordReply(sample{class: "c", sent: now, took: base, incarnation: 2}, now.Add(base))
		assert.Equal(t, coldLimit, l.limit)
	})
}
