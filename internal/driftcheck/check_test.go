package driftcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// call is one use of a check, kept so that each promise has a table of
// inputs that hold and inputs that are broken.
type call struct {
	name    string
	promise Invariant
	do      func(c *Checker, now time.Time)
}

func brokenCalls() []call {
	return []call{
		{"another version", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 2, 1) }},
		{"no version", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 0, 0) }},
		{"planned but not merged", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a", "b"}, nil, []string{"a"})
		}},
		{"merged but not stated", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a"}, []string{"b"}, []string{"a", "b"})
		}},
		{"forgotten", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a"}, nil, []string{"a"})
		}},
		{"counted twice", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "a"}, []string{"a", "a"}, nil, []string{"a", "a"})
		}},
		{"one depot for another", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a", "c"}, nil, []string{"a", "c"})
		}},
		{"over the limit", ColdUpstream, func(c *Checker, _ time.Time) { c.WithinColdLimit("q", "u", 2, 1) }},
		{"after the grace", MarkedOut, func(c *Checker, now time.Time) {
			c.NotMarkedOut("q", "Recife", now.Add(-NewWorkGrace-1), now)
		}},
		{"another attempt", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "b", 1, 1) }},
		{"short", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "a", 1, 2) }},
		{"too long", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "a", 2, 1) }},
		{"may have run", NotRun, func(c *Checker, _ time.Time) { c.NoAttemptRan("q", true) }},
		{"sent again", AtMostOnce, func(c *Checker, _ time.Time) { c.NoUnsafeRetry("q", true) }},
		{"twice", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Second), now)
			c.AtMostOnce("q", now.Add(time.Second), now)
		}},
		{"twice with a shorter deadline between", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Minute), now)
			c.AtMostOnce("q", now, now)
			c.handle = nil
			c.AtMostOnce("other", now, now.Add(50*time.Second))
			c.AtMostOnce("q", now.Add(time.Minute), now.Add(50*time.Second))
		}},
		{"after a pause past the deadline", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now, now)
			c.AtMostOnce("other", now, now.Add(onceMemory))
			c.AtMostOnce("q", now, now.Add(onceMemory))
		}},
		{"after the grace", LeavingUpstream, func(c *Checker, now time.Time) {
			c.NotLeaving("q", "u", now.Add(-NewWorkGrace-1), now)
		}},
		{"in flight", GracefulShutdown, func(c *Checker, _ time.Time) { c.DrainedAtShutdown(1) }},
		{"ended twice", GracefulShutdown, func(c *Checker, _ time.Time) { c.DrainedAtShutdown(-1) }},
		{"back", ConfigRevision, func(c *Checker, _ time.Time) { c.MonotonicRevision("marks", 4, 3) }},
	}
}

func TestBroken(t *testing.T) {
	for _, b := range brokenCalls() {
		t.Run(string(b.promise)+"/"+b.name, func(t *testing.T) {
			assertFound(t, b)
		})
	}
}

// assertFound asserts that a broken input is counted under its own promise
// alone, recorded as an event and handed to the handler.
func assertFound(t *testing.T, b call) {
	t.Helper()
	var handed []Violation
	events := driftevent.NewLog("vm-1", 1)
	c := NewChecker(events, WithViolationHandler(func(v Violation) { handed = append(handed, v) }))
	b.do(c, time.Now())
	assert.NotEmpty(t, handed)
	for _, v := range handed {
		assert.Equal(t, b.promise, v.Invariant)
	}
	assert.NotZero(t, events.Count(driftevent.PromiseViolated))
	for _, count := range c.Violations() {
		assert.Equal(t, count.Invariant == b.promise, count.Number > 0, "%s", count.Invariant)
	}
}

// soundCalls calls every check with input that keeps its promise.
func soundCalls(c *Checker, now time.Time, depots []string) {
	c.OneSnapshot("q", 2, 2)
	c.AccurateCoverage("q", depots, depots[1:], depots[:1], depots[1:])
	c.WithinColdLimit("q", "u", 1, 1)
	c.NotMarkedOut("q", "Recife", now.Add(-NewWorkGrace), now)
	c.NotMarkedOut("q", "Recife", time.Time{}, now)
	c.CompleteMatchingReply("q", "a", "a", 2, 2)
	c.NoAttemptRan("q", false)
	c.NoUnsafeRetry("q", false)
	c.NotLeaving("q", "u", now.Add(-NewWorkGrace), now)
	c.DrainedAtShutdown(0)
	c.MonotonicRevision("marks", 3, 3)
}

func TestSound(t *testing.T) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	soundCalls(c, time.Now(), depotNames())
	c.AtMostOnce("q", time.Now(), time.Now())
	assert.Zero(t, c.Total())
}

func TestEveryPromiseIsBroken(t *testing.T) {
	found := make(map[Invariant]bool)
	for _, b := range brokenCalls() {
		found[b.promise] = true
	}
	for _, p := range Invariants() {
		assert.True(t, found[p], "%s", p)
	}
}

func depotNames() []string {
	return []string{"d-4", "d-2", "d-9", "d-1", "d-7", "d-3", "d-8", "d-5", "d-6", "d-0"}
}

func BenchmarkSound(b *testing.B) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	now, depots := time.Now(), depotNames()
	b.ReportAllocs()
	for b.Loop() {
		soundCalls(c, now, depots)
	}
}

func TestSoundAllocatesNothing(t *testing.T) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	now, depots := time.Now(), depotNames()
	assert.Zero(t, testing.AllocsPerRun(100, func() { soundCalls(c, now, depots) }))
}
