// Package driftcapacity estimates the cost of each role of the system at the
// size that the users expect within two years, from measurements at several
// sizes on one machine.
//
// The measured points are in slopes.json, which TestMeasure writes. A slope is
// the least-squares line through the means of its points. Its spread is the
// largest deviation of a run from the mean of its point.
//
// # Usage
//
//	go test ./internal/driftcapacity -run Measure -measure   # writes slopes.json
//	almonddrift capacity                                     # prints the table
package driftcapacity

import (
	_ "embed"
	"encoding/json"

	"github.com/juju/errors"
)

// Point holds the results of the runs at one size.
type Point struct {
	Size float64   `json:"size"`
	Runs []float64 `json:"runs"`
}

// Slope is a quantity measured at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the results, Per the unit of the size.
	Unit    string  `json:"unit"`
	Per     string  `json:"per"`
	Command string  `json:"command"`
	Points  []Point `json:"points"`
}

// Slopes holds all measured slopes, the content of slopes.json.
type Slopes struct {
	Slopes []Slope `json:"slopes"`
}

//go:embed slopes.json
var slopesJSON []byte

// MeasuredSlopes returns the slopes of slopes.json.
func MeasuredSlopes() (slopes Slopes, err error) {
	defer errors.DeferredAnnotatef(&err, "slopes.json")
	err = json.Unmarshal(slopesJSON, &slopes)
	return slopes, err
}

// Get returns the slope with the given name and whether it exists.
func (s Slopes) Get(name string) (slope Slope, found bool) {
	for _, slope := range s.Slopes {
		if slope.Name == name {
			return slope, true
		}
	}
	return Slope{}, false
}

// Mean returns the mean of the results.
func (p Point) Mean() float64 {
	var sum float64
	for _, r := range p.Runs {
		sum += r
	}
	return sum / float64(len(p.Runs))
}

// Spread returns the largest deviation of a run from the mean of its point, as
// a share of that mean.
func (s Slope) Spread() float64 {
	var spread float64
	for _, p := range s.Points {
		mean := p.Mean()
		for _, r := range p.Runs {
			if mean > 0 {
				spread = max(spread, max(r-mean, mean-r)/mean)
			}
		}
	}
	return spread
}

// FitLine returns the intercept and the gradient of the least-squares line.
func (s Slope) FitLine() (intercept, gradient float64) {
	var n, x, y, xx, xy float64
	for _, p := range s.Points {
		n++
		x += p.Size
		y += p.Mean()
		xx += p.Size * p.Size
		xy += p.Size * p.Mean()
	}
	if n == 0 {
		return 0, 0
	}
	if d := n*xx - x*x; d != 0 {
		gradient = (n*xy - x*y) / d
	}
	return (y - gradient*x) / n, gradient
}

// ValueAt returns the value at a size: the mean of the runs if that size was
// measured, otherwise the value of the line. A falling line is not extrapolated
// beyond the largest measured size; the mean at that size is returned instead.
func (s Slope) ValueAt(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Mean()
		}
	}
	intercept, gradient := s.FitLine()
	last := s.Points[len(s.Points)-1]
	if gradient < 0 && size > last.Size {
		return last.Mean()
	}
	return intercept + gradient*size
}
