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
	promise Promise
	do      func(c *Checker, now time.Time)
}

func brokenCalls() []call {
	return []call{
		{"another version", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 2, 1) }},
		{"no version", Snapshot, func(c *Checker, _ time.Time) { c.OneSnapshot("q", 0, 0) }},
		{"planned but not merged", Coverage, func(c *Checker, _ time.Time) {
			c.TrueCoverage("q", []string{"a", "b"}, []string{"a", "b"}, nil, []string{"a"})
		}},
		{"merged but not stated", Coverage, func(c *Checker, _ time.Time) {
			c.TrueCoverage("q", []string{"a", "b"}, []string{"a"}, []string{"b"}, []string{"a", "b"})
		}},
		{"forgotten", Coverage, func(c *Checker, _ time.Time) {
			c.TrueCoverage("q", []string{"a", "b"}, []string{"a"}, nil, []string{"a"})
		}},
		{"counted twice", Coverage, func(c *Checker, _ time.Time) {
			c.TrueCoverage("q", []string{"a", "a"}, []string{"a", "a"}, nil, []string{"a", "a"})
		}},
		{"one depot for another", Coverage, func(c *Checker, _ time.Time) {
			c.TrueCoverage("q", []string{"a", "b"}, []string{"a", "c"}, nil, []string{"a", "c"})
		}},
		{"over the limit", Cold, func(c *Checker, _ time.Time) { c.ColdLimit("q", "u", 2, 1) }},
		{"after the grace", Out, func(c *Checker, now time.Time) {
			c.NotOut("q", "Recife", now.Add(-OutGrace-1), now)
		}},
		{"another attempt", Whole, func(c *Checker, _ time.Time) { c.OwnWhole("q", "a", "b", 1, 1) }},
		{"short", Whole, func(c *Checker, _ time.Time) { c.OwnWhole("q", "a", "a", 1, 2) }},
		{"too long", Whole, func(c *Checker, _ time.Time) { c.OwnWhole("q", "a", "a", 2, 1) }},
		{"may have run", NotRun, func(c *Checker, _ time.Time) { c.TrulyNotRun("q", true) }},
		{"sent again", Once, func(c *Checker, _ time.Time) { c.NotAgain("q", true) }},
		{"twice", Once, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Second), now)
			c.AtMostOnce("q", now.Add(time.Second), now)
		}},
		{"twice with a shorter deadline between", Once, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now.Add(time.Minute), now)
			c.AtMostOnce("q", now, now)
			c.handle = nil
			c.AtMostOnce("other", now, now.Add(50*time.Second))
			c.AtMostOnce("q", now.Add(time.Minute), now.Add(50*time.Second))
		}},
		{"after a pause past the deadline", Once, func(c *Checker, now time.Time) {
			c.AtMostOnce("q", now, now)
			c.AtMostOnce("other", now, now.Add(onceMemory))
			c.AtMostOnce("q", now, now.Add(onceMemory))
		}},
		{"after the grace", Leaving, func(c *Checker, now time.Time) {
			c.NotLeaving("q", "u", now.Add(-OutGrace-1), now)
		}},
		{"in flight", Graceful, func(c *Checker, _ time.Time) { c.NothingCutOff(1) }},
		{"ended twice", Graceful, func(c *Checker, _ time.Time) { c.NothingCutOff(-1) }},
		{"back", Config, func(c *Checker, _ time.Time) { c.Forward("marks", 4, 3) }},
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
	c := NewChecker(events, WithViolation(func(v Violation) { handed = append(handed, v) }))
	b.do(c, time.Now())
	assert.NotEmpty(t, handed)
	for _, v := range handed {
		assert.Equal(t, b.promise, v.Promise)
	}
	assert.NotZero(t, events.Count(driftevent.InvariantViolated))
	for _, count := range c.Violations() {
		assert.Equal(t, count.Promise == b.promise, count.Number > 0, "%s", count.Promise)
	}
}

// soundCalls calls every check with input that keeps its promise.
func soundCalls(c *Checker, now time.Time, depots []string) {
	c.OneSnapshot("q", 2, 2)
	c.TrueCoverage("q", depots, depots[1:], depots[:1], depots[1:])
	c.ColdLimit("q", "u", 1, 1)
	c.NotOut("q", "Recife", now.Add(-OutGrace), now)
	c.NotOut("q", "Recife", time.Time{}, now)
	c.OwnWhole("q", "a", "a", 2, 2)
	c.TrulyNotRun("q", false)
	c.NotAgain("q", false)
	c.NotLeaving("q", "u", now.Add(-OutGrace), now)
	c.NothingCutOff(0)
	c.Forward("marks", 3, 3)
}

func TestSound(t *testing.T) {
	c := NewChecker(driftevent.NewLog("vm-1", 1))
	soundCalls(c, time.Now(), depotNames())
	c.AtMostOnce("q", time.Now(), time.Now())
	assert.Zero(t, c.Total())
}

func TestEveryPromiseIsBroken(t *testing.T) {
	found := make(map[Promise]bool)
	for _, b := range brokenCalls() {
		found[b.promise] = true
	}
	for _, p := range Promises() {
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
