package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Limits of what counts as slow, as multiples of the baseline, or of the mean
// deviation above it, whichever is more.
const (
	slowFactor = 2.5
	slowSpread = 6
	warmFactor = 2
	warmSpread = 3
)

// Weights of the newest sample in the moving averages.
const (
	recentWeight = 1.0 / 8
	baseWeight   = 1.0 / 64
	spreadWeight = 1.0 / 32
)

// maxClasses bounds the classes that have a baseline of their own. Classes
// beyond it share one.
const maxClasses = 16

// norm is the service time of one class of work at one upstream. Base and
// Spread are the mean and its mean deviation while the upstream is warm; Base
// is 0 until it has been learned.
type norm struct {
	driftshard.Baseline
	recent time.Duration
	seen   int
}

// normTable holds the service times of one upstream by class.
type normTable struct {
	rows []norm
}

func newNormTable(known []driftshard.Baseline) normTable {
	var t normTable
	for _, k := range known {
		if k.Mean > 0 && len(t.rows) <= maxClasses {
			t.rows = append(t.rows, norm{Baseline: k, recent: k.Mean})
		}
	}
	return t
}

// get returns the row of the class, made at its first use.
func (t *normTable) get(class string) *norm {
	if len(t.rows) >= maxClasses && t.find(class) == nil {
		class = ""
	}
	if n := t.find(class); n != nil {
		return n
	}
	t.rows = append(t.rows, norm{Baseline: driftshard.Baseline{Class: class}})
	return &t.rows[len(t.rows)-1]
}

func (t *normTable) find(class string) *norm {
	for i := range t.rows {
		if t.rows[i].Class == class {
			return &t.rows[i]
		}
	}
	return nil
}

// known reports whether any class has a baseline.
func (t *normTable) known() bool {
	for _, n := range t.rows {
		if n.Mean > 0 {
			return true
		}
	}
	return false
}

// settle makes the recent service times the baselines.
func (t *normTable) settle() {
	for i := range t.rows {
		n := &t.rows[i]
		n.Deviation = scale(n.Deviation, n.recent, n.Mean)
		n.Mean = n.recent
	}
}

// scale changes the spread in proportion to a baseline that moves, and
// guesses it as a quarter of a first baseline.
func scale(spread, to, from time.Duration) time.Duration {
	if from == 0 {
		return to / 4
	}
	return time.Duration(float64(spread) * float64(to) / float64(from))
}

// list returns the baselines that have been learned.
func (t *normTable) list() []driftshard.Baseline {
	var known []driftshard.Baseline
	for _, n := range t.rows {
		if n.Mean > 0 {
			known = append(known, n.Baseline)
		}
	}
	return known
}

// observe moves the recent mean.
func (n *norm) observe(took time.Duration) {
	if n.recent == 0 {
		n.recent = took
		return
	}
	n.recent += time.Duration(recentWeight * float64(took-n.recent))
}

// learn moves the baseline by a sample that was taken while warm.
func (n *norm) learn(took time.Duration) {
	if n.Mean == 0 {
		n.first()
		return
	}
	n.Deviation += time.Duration(spreadWeight * float64((took-n.Mean).Abs()-n.Deviation))
	n.Mean += time.Duration(baseWeight * float64(took-n.Mean))
}

// firstSamples is how many warm replies a class new to a warm upstream needs
// before it has a baseline.
const firstSamples = 8

func (n *norm) first() {
	n.seen++
	if n.seen >= firstSamples {
		n.Mean, n.Deviation = n.recent, n.recent/4
	}
}

// slow reports whether the time is a sign of a cold upstream.
func (n *norm) slow(took time.Duration) bool {
	return n.Mean > 0 && took > max(time.Duration(slowFactor*float64(n.Mean)), n.Mean+slowSpread*n.Deviation)
}

// warm reports whether the time is that of a warm upstream.
func (n *norm) warm(took time.Duration) bool {
	return n.Mean > 0 && took <= max(warmFactor*n.Mean, n.Mean+warmSpread*n.Deviation)
}

// ratio returns the time as a multiple of the baseline, 1 when unknown.
func (n *norm) ratio(took time.Duration) float64 {
	if n.Mean == 0 {
		return 1
	}
	return float64(took) / float64(n.Mean)
}
