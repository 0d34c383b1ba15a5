package driftspeed

import (
	"math"
	"time"
)

// Prices and bounds of the health requests that ask an upstream for its factor.
const (
	// ProbePrice is what a health request is worth in time of callers: it takes a
	// connection and, where health requests wait for a slot, a slot.
	ProbePrice = 4 * time.Millisecond
	// DialPrice is what a connection that has to be opened for it is worth beside that.
	DialPrice = 12 * time.Millisecond
	// MaxVMRate is how many such requests a VM sends per second.
	MaxVMRate = 5.0
	// MaxUpstreamRate is how many an upstream gets per second from the whole fleet.
	MaxUpstreamRate = 0.5
)

// Choice is the choice between the best and the second best upstream of a service.
type Choice struct {
	// Best and Second are their expected costs.
	Best, Second time.Duration
	// BestDeviation and SecondDeviation are the standard deviations of the costs for
	// want of fresh reports.
	BestDeviation, SecondDeviation time.Duration
	// RequestRate is how many requests per second this VM places at the service.
	RequestRate float64
}

// Gains returns how much time callers gain if the report of the best, or of the second
// best upstream, is learnt now: the requests that this VM places while the report holds
// go to the other one, if that turns out to be faster.
func (c Choice) Gains() (best, second time.Duration) {
	requests := c.RequestRate * CurrentSpan.Seconds()
	gap := float64(c.Second - c.Best)
	best = time.Duration(requests * ExpectedExcess(-gap, float64(c.BestDeviation)))
	second = time.Duration(requests * ExpectedExcess(-gap, float64(c.SecondDeviation)))
	return best, second
}

// ProbePays reports whether a health request gains callers more time than it costs. It
// handles VMs whose upstreams have not replied to them lately: with few requests a report
// isn't worth its price, with many the replies bring it.
func ProbePays(gain time.Duration, needsDial bool) bool {
	price := ProbePrice
	if needsDial {
		price += DialPrice
	}
	return gain > price
}

// UpstreamInterval returns the time between two probes of one VM to the same upstream, so
// that those of all VMs that place requests keep to MaxUpstreamRate.
func UpstreamInterval(vms int) time.Duration {
	return time.Duration(float64(max(1, vms)) / MaxUpstreamRate * float64(time.Second))
}

// Allowance bounds the probes of one VM. The zero value allows one at once.
type Allowance struct {
	next time.Time
}

// Take reports whether the VM may send a probe now, and counts it.
func (a *Allowance) Take(now time.Time) bool {
	if now.Before(a.next) {
		return false
	}
	a.next = now.Add(time.Duration(float64(time.Second) / MaxVMRate))
	return true
}

// ExpectedExcess returns how far a normally distributed number exceeds 0 on average.
func ExpectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 {
		return max(0, mean)
	}
	x := mean / deviation
	return mean*math.Erfc(-x/math.Sqrt2)/2 + deviation*math.Exp(-x*x/2)/math.Sqrt(2*math.Pi)
}
