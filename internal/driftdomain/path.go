package driftdomain

import (
	"math"
	"time"
)

// Parameters of the path times.
const (
	// pathGain is the weight of a new observation.
	pathGain = 0.05
	// maxPathStep bounds how far one observation counts as off, so that a pause of an
	// upstream isn't taken for a slow path.
	maxPathStep = 40 * time.Millisecond
	// pathSpan is the time constant with which the times are forgotten.
	pathSpan = 5 * time.Second
	// maxPath bounds the delay of a path.
	maxPath = time.Second
)

// Paths holds the delay to each domain by the times of a VM's own requests. Directions
// can't be told apart by one side's clock, and needn't be: a request takes both.
type Paths struct {
	delays map[string]*delay
}

type delay struct {
	value     time.Duration
	updatedAt time.Time
}

// Observe records that a request to the domain took longer than expected of the work by
// the given time, which may be negative.
func (p *Paths) Observe(now time.Time, domain string, excess time.Duration) {
	if p.delays == nil {
		p.delays = make(map[string]*delay)
	}
	d, ok := p.delays[domain]
	if !ok {
		d = &delay{updatedAt: now}
		p.delays[domain] = d
	}
	previous := d.at(now)
	off := min(maxPathStep, max(-maxPathStep, excess-previous))
	d.value = min(maxPath, max(-maxPath, previous+time.Duration(pathGain*float64(off))))
	d.updatedAt = now
}

// Extra returns by how much the path to the domain is longer than the one inside the own
// domain, at least 0.
func (p *Paths) Extra(now time.Time, own, domain string) time.Duration {
	var here, there time.Duration
	if d, ok := p.delays[own]; ok {
		here = d.at(now)
	}
	if d, ok := p.delays[domain]; ok {
		there = d.at(now)
	}
	return max(0, there-here)
}

func (d *delay) at(now time.Time) time.Duration {
	return time.Duration(float64(d.value) * decay(now.Sub(d.updatedAt), pathSpan))
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
