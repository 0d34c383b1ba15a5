package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// A service time is slow above slowFactor times the mean, or slowDeviations
// deviations above the mean, whichever is more. A service time is warm up to
// warmFactor times the mean, or warmDeviations deviations above the mean,
// whichever is more.
const (
	slowFactor     = 2.5
	slowDeviations = 6
	warmFactor     = 2
	warmDeviations = 3
)

// Weights of the newest sample in the moving averages.
const (
	recentWeight    = 1.0 / 8
	meanWeight      = 1.0 / 64
	deviationWeight = 1.0 / 32
)

// maxClasses is the number of classes with a baseline of their own. Further
// classes share one.
const maxClasses = 16

// classBaseline holds the service times of one class at one upstream. Mean
// and Deviation describe the warm upstream; Mean is 0 until it is known.
type classBaseline struct {
	driftshard.Baseline
	recent  time.Duration
	replies int
}

// baselineTable holds the baselines of one upstream by class.
type baselineTable struct {
	rows []classBaseline
}

func newBaselineTable(known []driftshard.Baseline) baselineTable {
	var t baselineTable
	for _, k := range known {
		if k.Mean > 0 && len(t.rows) <= maxClasses {
			t.rows = append(t.rows, classBaseline{Baseline: k, recent: k.Mean})
		}
	}
	return t
}

// getOrCreate returns the baseline of the class, which it adds on first use.
func (t *baselineTable) getOrCreate(class string) *classBaseline {
	if len(t.rows) >= maxClasses && t.find(class) == nil {
		class = ""
	}
	if n := t.find(class); n != nil {
		return n
	}
	t.rows = append(t.rows, classBaseline{Baseline: driftshard.Baseline{Class: class}})
	return &t.rows[len(t.rows)-1]
}

func (t *baselineTable) find(class string) *classBaseline {
	for i := range t.rows {
		if t.rows[i].Class == class {
			return &t.rows[i]
		}
	}
	return nil
}

// hasBaseline reports whether the baseline of any class is known.
func (t *baselineTable) hasBaseline() bool {
	for _, n := range t.rows {
		if n.Mean > 0 {
			return true
		}
	}
	return false
}

// resetToRecent makes the recent service times the baselines.
func (t *baselineTable) resetToRecent() {
	for i := range t.rows {
		n := &t.rows[i]
		n.Deviation = scaleDeviation(n.Deviation, n.recent, n.Mean)
		n.Mean = n.recent
	}
}

// scaleDeviation scales the deviation with the mean. The first deviation is
// estimated as a quarter of the mean.
func scaleDeviation(deviation, newMean, oldMean time.Duration) time.Duration {
	if oldMean == 0 {
		return newMean / 4
	}
	return time.Duration(float64(deviation) * float64(newMean) / float64(oldMean))
}

// list returns the known baselines.
func (t *baselineTable) list() []driftshard.Baseline {
	var known []driftshard.Baseline
	for _, n := range t.rows {
		if n.Mean > 0 {
			known = append(known, n.Baseline)
		}
	}
	return known
}

// updateRecent updates the moving average of recent service times.
func (n *classBaseline) updateRecent(took time.Duration) {
	if n.recent == 0 {
		n.recent = took
		return
	}
	n.recent += time.Duration(recentWeight * float64(took-n.recent))
}

// updateBaseline updates the baseline with a service time of the warm
// upstream.
func (n *classBaseline) updateBaseline(took time.Duration) {
	if n.Mean == 0 {
		n.initBaseline()
		return
	}
	n.Deviation += time.Duration(deviationWeight * float64((took-n.Mean).Abs()-n.Deviation))
	n.Mean += time.Duration(meanWeight * float64(took-n.Mean))
}

// initialSamples is the number of replies after which a class that is new to
// a warm upstream gets a baseline.
const initialSamples = 8

func (n *classBaseline) initBaseline() {
	n.replies++
	if n.replies >= initialSamples {
		n.Mean, n.Deviation = n.recent, n.recent/4
	}
}

// isSlow reports whether the service time suggests a cold upstream.
func (n *classBaseline) isSlow(took time.Duration) bool {
	return n.Mean > 0 && took > max(time.Duration(slowFactor*float64(n.Mean)), n.Mean+slowDeviations*n.Deviation)
}

// isWarm reports whether the service time is typical of the warm upstream.
func (n *classBaseline) isWarm(took time.Duration) bool {
	return n.Mean > 0 && took <= max(warmFactor*n.Mean, n.Mean+warmDeviations*n.Deviation)
}

// ratio returns the service time as a multiple of the baseline, or 1 without
// a baseline.
func (n *classBaseline) ratio(took time.Duration) float64 {
	if n.Mean == 0 {
		return 1
	}
	return float64(took) / float64(n.Mean)
}
