package driftrelay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesSpan is the span over which the times of a class are remembered, at least.
	timesSpan = 30 * time.Second
	// maxRecentTime bounds the times that are told apart.
	maxRecentTime = 5 * time.Minute
	// recentTimeDigits is the precision of the times, in decimal digits.
	recentTimeDigits = 1
	// manyTimes is how many times tell their expectedPercentile.
	manyTimes          = 100
	expectedPercentile = 99
	// fewTimesFactor is how many times the longest of a few requests one more may take.
	fewTimesFactor = 1.5
)

// recentTimes holds how long requests of one class took of late.
type recentTimes struct {
	windows *hdrhistogram.WindowedHistogram
	rotated time.Time
}

func newRecentTimes() *recentTimes {
	return &recentTimes{windows: hdrhistogram.NewWindowed(2, 1, maxRecentTime.Milliseconds(), recentTimeDigits)}
}

// add adds the time that a request took, which has ended now.
func (t *recentTimes) add(now time.Time, took time.Duration) {
	t.rotate(now)
	took = min(took, maxRecentTime) + time.Millisecond - 1
	_ = t.windows.Current.RecordValue(max(1, took.Milliseconds()))
}

// expected returns how long one more request may be expected to take: all but one in
// a hundred took no longer, or it is well above the longest of a few. It returns 0 if
// nothing is known.
func (t *recentTimes) expected(now time.Time) time.Duration {
	t.rotate(now)
	times := t.windows.Merge()
	if times.TotalCount() >= manyTimes {
		return time.Duration(times.ValueAtPercentile(expectedPercentile)) * time.Millisecond
	}
	return time.Duration(fewTimesFactor*float64(times.Max())) * time.Millisecond
}

// rotate forgets times that are too old.
func (t *recentTimes) rotate(now time.Time) {
	switch age := now.Sub(t.rotated); {
	case age < timesSpan:
		return
	case age >= 2*timesSpan:
		t.windows.Rotate()
	}
	t.windows.Rotate()
	t.rotated = now
}
