// Package driftspeed estimates by which factor an upstream takes longer than usual at
// this moment. Upstreams whose machines are shared may report that factor in their
// replies; a report is true for some hundreds of milliseconds, may be missing, and may be
// wrong.
//
// The package has no input and output and keeps no clock. It answers three load patterns:
// upstreams of different speed, upstreams that others disturb for less than a second, and
// upstreams whose report is untrue.
//
// # Usage
//
//	var model driftspeed.Model
//	model.Report(now, 2.5)               // by a reply
//	model.Observe(started, now, took/typical) // by the time that a request took
//	factor := model.Factor(now, slowdown)
package driftspeed

import (
	"math"
	"time"
)

// Parameters of the model.
const (
	// MinFactor and MaxFactor bound a report, so that no single one keeps an upstream
	// without requests or draws all of them to it.
	MinFactor = 0.4
	MaxFactor = 4.0
	// CurrentSpan is the time constant with which a report gives way to the mean of
	// the reports.
	CurrentSpan = 400 * time.Millisecond
	// memorySpan is the time constant with which the mean of the reports gives way to
	// the times seen, and that of the mean itself.
	memorySpan = 3 * time.Second
	// maxObserved bounds the factor of one observation.
	maxObserved = 30
	// observationGain is the weight of a new observation, repeatedGain that of one
	// that is late like the one before.
	observationGain, repeatedGain = 0.2, 0.5
	// maxDeviation bounds how far a single observation counts as off, as a logarithm:
	// by a factor of about two.
	maxDeviation = 0.7
	// maxError bounds the deviations by which reports are judged, as a logarithm.
	maxError = 1.5
	// distrustSpan is how much worse times have to be predicted with the reports than
	// without them until the reports are ignored, as a logarithm.
	distrustSpan = 0.25
)

// Model is what one VM knows of the speed of one upstream. The zero value knows nothing.
// Factors are kept as logarithms, so that twice as long and half as long weigh the same.
type Model struct {
	firstAt    time.Time
	reportedAt time.Time
	observedAt time.Time
	reported   float64
	mean       float64
	// correction is the part of the times seen that reports don't explain, and
	// plain the times seen without regard to reports.
	correction, plain float64
	// errorWith and errorWithout are the mean deviations of the times seen from those
	// that were predicted with and without reports.
	errorWith, errorWithout float64
	// lateAt is when the latest request ended that took far longer than predicted,
	// zero if one has been as predicted since.
	lateAt time.Time
}

// Reports says whether the upstream has ever reported its factor.
func (m *Model) Reports() bool { return !m.firstAt.IsZero() }

// ReportAge returns the age of the latest report. It is meaningful if Reports is true.
func (m *Model) ReportAge(now time.Time) time.Duration { return now.Sub(m.reportedAt) }

// Report records the factor that the upstream reports; 1 means as usual. Values that are
// not positive numbers are ignored, others are bounded.
func (m *Model) Report(now time.Time, factor float64) {
	if !(factor > 0) {
		return
	}
	value := math.Log(min(max(factor, MinFactor), MaxFactor))
	if !m.Reports() {
		m.firstAt, m.mean = now, value
	}
	m.mean += (value - m.mean) * (1 - decay(now.Sub(m.reportedAt), memorySpan))
	m.reported, m.reportedAt = value, now
}

// Observe records that a request took the given multiple of the typical time of its
// class. A pause makes single requests late and is over when they end, so one late
// request counts little; a second one that started after the first had ended shows that
// the upstream is slow, whatever it reports.
func (m *Model) Observe(started, now time.Time, ratio float64) {
	if !m.Reports() || !(ratio > 0) {
		return
	}
	observed := math.Log(min(max(ratio, 1/float64(maxObserved)), maxObserved))
	reported := m.expectedReport(now)
	off, offPlain := observed-reported-m.correction, observed-m.plain
	m.errorWith += observationGain * (min(maxError, math.Abs(off)) - m.errorWith)
	m.errorWithout += observationGain * (min(maxError, math.Abs(offPlain)) - m.errorWithout)
	gain, bound := observationGain, maxDeviation
	switch late := off > maxDeviation; {
	case !late:
		m.lateAt = time.Time{}
	case m.lateAt.IsZero():
		m.lateAt = now
	case started.After(m.lateAt):
		gain, bound = repeatedGain, math.Inf(1)
	}
	m.correction += gain * clamp(off, bound)
	m.plain += gain * clamp(offPlain, bound)
	m.observedAt = now
}

// expectedReport returns the logarithm of the factor that the upstream would report now.
func (m *Model) expectedReport(now time.Time) float64 {
	return m.mean + (m.reported-m.mean)*decay(m.ReportAge(now), CurrentSpan)
}

// Reported returns the factor that the upstream would report now, 1 if it reports none.
func (m *Model) Reported(now time.Time) float64 { return math.Exp(m.expectedReport(now)) }

// Trust returns how far the reports count, from 0 to 1. It handles upstreams whose
// reports are untrue: as long as the times seen are predicted worse with the reports than
// without them, they count less or not at all.
func (m *Model) Trust() float64 {
	return min(1, max(0, 1-(m.errorWith-m.errorWithout)/distrustSpan))
}

// Factor returns by which factor the upstream is expected to take longer than usual.
// Seen is that factor by the times seen alone. It is the result for upstreams that
// report nothing, and what a report gives way to. A report that no request has confirmed
// for seconds gives way too: an upstream that claims to be slow gets a request again, by
// which the claim is judged.
func (m *Model) Factor(now time.Time, seen float64) float64 {
	if !m.Reports() {
		return seen
	}
	confirmed := m.observedAt
	if confirmed.Before(m.firstAt) {
		confirmed = m.firstAt
	}
	weight := m.Trust() * decay(m.ReportAge(now), memorySpan) * decay(now.Sub(confirmed), memorySpan)
	return math.Exp(weight*(m.expectedReport(now)+m.correction) + (1-weight)*math.Log(max(seen, 1/float64(maxObserved))))
}

// Uncertainty returns the standard deviation of the factor for want of a fresh report, as
// a share of it: 0 with a report of this moment.
func (m *Model) Uncertainty(now time.Time) float64 {
	if !m.Reports() {
		return disturbanceDeviation
	}
	return disturbanceDeviation * (1 - decay(m.ReportAge(now), CurrentSpan)) * m.Trust()
}

// disturbanceDeviation is the standard deviation of the factor of upstreams that others
// disturb at times, as a share of it.
const disturbanceDeviation = 0.5

func clamp(value, bound float64) float64 { return min(bound, max(-bound, value)) }

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
