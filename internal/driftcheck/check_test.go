package driftcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// checkCall is a sequence of checks that violates one invariant.
type checkCall struct {
	name      string
	invariant Invariant
	do        func(c *Checker, now time.Time)
}

func violatingCalls() []checkCall {
	return []checkCall{
		{"version differs", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 2, 1) }},
		{"not pinned to a version", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 0, 0) }},
		{"reported as searched but not merged", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a", "b"}, nil, []string{"a"})
		}},
		{"merged but reported as missing", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a"}, []string{"b"}, []string{"a", "b"})
		}},
		{"neither searched nor missing", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a"}, nil, []string{"a"})
		}},
		{"counted twice", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "a"}, []string{"a", "a"}, nil, []string{"a", "a"})
		}},
		{"a depot that was not requested", Coverage, func(c *Checker, _ time.Time) {
			c.AccurateCoverage("q", []string{"a", "b"}, []string{"a", "c"}, nil, []string{"a", "c"})
		}},
		{"over the limit", ColdUpstream, func(c *Checker, _ time.Time) { c.WithinColdLimit("q", "u", 2, 1) }},
		{"after the grace", MarkedOut, func(c *Checker, now time.Time) {
			c.NotMarkedOut("q", "Recife", now.Add(-NewWorkGrace-1), now)
		}},
		{"reply to another attempt", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "b", 1, 1) }},
		{"too few rows", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "a", 1, 2) }},
		{"too many rows", CompleteReply, func(c *Checker, _ time.Time) { c.CompleteMatchingReply("q", "a", "a", 2, 1) }},
		{"an attempt may have run", NotRun, func(c *Checker, _ time.Time) { c.NoAttemptRan("q", true) }},
		{"sent again", AtMostOnce, func(c *Checker, _ time.Time) { c.NoUnsafeRetry("q", true) }},
		{"dispatched twice", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Second), now)
			c.AtMostOnce("q", now.Add(time.Second), now)
		}},
		{"dispatched twice with a shorter deadline in between", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Minute), now)
			c.AtMostOnce("q", now, now)
			c.onViolation = nil
			c.AtMostOnce("other", now, now.Add(50*time.Second))
			c.AtMostOnce("q", now.Add(time.Minute), now.Add(50*time.Second))
		}},
		{"dispatched again after a pause past the deadline", AtMostOnce, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now, now)
			c.AtMostOnce("other", now, now.Add(dispatchRetention))
			c.AtMostOnce("q", now, now.Add(dispatchRetention))
		}},
		{"after the grace", LeavingUpstream, func(c *Checker, now time.Time) {
			c.NotLeaving("q", "u", now.Add(-NewWorkGrace-1), now)
		}},
		{"a request is in flight", GracefulShutdown, func(c *Checker, _ time.Time) { c.DrainedAtShutdown(1) }},
		{"the end of a request was counted twice", GracefulShutdown, func(c *Checker, _ time.Time) { c.DrainedAtShutdown(-1) }},
		{"an older revision", ConfigRevision, func(c *Checker, _ time.Time) { c.MonotonicRevision("marks", 4, 3) }},
	}
}

func TestViolations(t *testing.T) {
	for _, call := range violatingCalls() {
		t.Run(string(call.invariant)+"/"+call.name, func(t *testing.T) {
			assertViolationRecorded(t, call)
		})
	}
}

// assertViolationRecorded asserts that a violation is counted under its own
// invariant only, recorded as an event and passed to the handler.
func assertViolationRecorded(t *testing.T, call checkCall) {
	t.Helper()
	var handled []Violation
	events := driftevent.NewLog("vm-1", 1)
	c := NewChecker(events, WithViolationHandler(func(v Violation) { handled = append(handled, v) }))
	call.do(c, time.Now())
	assert.NotEmpty(t, handled)
	for _, v := range handled {
		assert.Equal(t, call.invariant, v.Invariant)
	}
	assert.NotZero(t, events.Count(driftevent.InvariantViolated))
	for _, count := range c.Violations() {
		assert.Equal(t, count.Invariant == call.invariant, count.Number > 0, "%s", count.Invariant)
	}
}

// validCalls calls the checks with input that violates no invariant. It leaves
// out AtMostOnce, which a second call with the same id would violate.
func validCalls(c *Checker, now time.Time, depots []string) {
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

func TestNoViolation(t *testing.T) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	validCalls(c, time.Now(), depotNames())
	c.AtMostOnce("q", time.Now(), time.Now())
	assert.Zero(t, c.Total())
}

func TestEveryInvariantHasViolation(t *testing.T) {
	found := make(map[Invariant]bool)
	for _, call := range violatingCalls() {
		found[call.invariant] = true
	}
	for _, p := range Invariants() {
		assert.True(t, found[p], "%s", p)
	}
}

func depotNames() []string {
	return []string{"d-4", "d-2", "d-9", "d-1", "d-7", "d-3", "d-8", "d-5", "d-6", "d-0"}
}

func BenchmarkChecks(b *testing.B) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	now, depots := time.Now(), depotNames()
	b.ReportAllocs()
	for b.Loop() {
		validCalls(c, now, depots)
	}
}

func TestChecksDoNotAllocate(t *testing.T) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	now, depots := time.Now(), depotNames()
	assert.Zero(t, testing.AllocsPerRun(100, func() { validCalls(c, now, depots) }))
}
