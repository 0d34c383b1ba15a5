// Package driftdomain decides when a request leaves its failure domain, and which share of
// the requests of a service does.
//
// Each VM decides for itself, for each service and each other domain, from what it sees:
// the wait that it expects here and there, the time of the path, the bytes that cross, and
// the age of its news of the other side. The package has no input and output and keeps no
// clock. It answers these load patterns: demand that swings in the domains at different
// times, a domain that lacks a part of its upstreams, a link that is slow in one
// direction, and news that is old.
//
// # Usage
//
//	price := driftdomain.DefaultPrice()
//	offer := driftdomain.Offer{Here: wait, There: other, Path: path, Bytes: bytes, Width: typical}
//	share := crossing.Update(now, price, offer)
//	leave := rand.Float64() < share
package driftdomain

import "time"

// Price is what leaving the failure domain is worth, in time of a caller.
type Price struct {
	// Kilobyte is the time that 1,000 bytes between domains are worth.
	Kilobyte time.Duration
	// Path is the time that a crossing is worth beside the delay of the path: one more
	// link has to work.
	Path time.Duration
}

// DefaultPrice returns the price where the settings state none, of services whose
// upstreams report how long work takes.
func DefaultPrice() Price {
	return Price{Kilobyte: 2 * time.Millisecond, Path: 2 * time.Millisecond}
}

// Cost returns what a crossing of the given bytes costs beside the delay of the path.
func (p Price) Cost(bytes int) time.Duration {
	return p.Path + time.Duration(float64(p.Kilobyte)*float64(bytes)/1000)
}

// FixedCost stands for the delay and the traffic of a crossing where neither is known.
const FixedCost = 20 * time.Millisecond

// Offer is the choice between the best upstream of the own domain and that of another.
type Offer struct {
	// Here and There are the expected costs without the crossing.
	Here, There time.Duration
	// Path is the delay of the path in both directions together.
	Path time.Duration
	// Bytes cross between the domains, request and reply.
	Bytes int
	// Width is the gain at which all requests leave: the time of one more request at an
	// upstream.
	Width time.Duration
	// NewsAge is the age of the latest report of the other upstream.
	NewsAge time.Duration
}

// Gain returns how much time a caller gains if the request leaves, after the price.
func (o Offer) Gain(p Price) time.Duration {
	return o.Here - o.There - o.Path - p.Cost(o.Bytes)
}

// Parameters of the share.
const (
	// changeSpan is the time constant with which the share follows its target. Reports
	// from the other domain are about as old.
	changeSpan = 300 * time.Millisecond
	// newsSpan is the time constant with which news of the other domain loses weight.
	newsSpan = time.Second
	// startGain and stopGain are the gains, in widths, at which requests begin and
	// cease to leave.
	startGain, stopGain = 0.25, 0.0
	// searchShare is the smallest share while leaving seems to pay: it brings news.
	searchShare = 0.05
	// maxPeriod bounds the time for which one update counts.
	maxPeriod = time.Second
)

// Share returns which share of the requests should leave by this offer. Leaving is set
// while some do. It rises with the gain: VMs that all see the same short queue there send
// it a part of their requests each, not all of them. As news of the other side gets old,
// the share turns into the one at the fixed cost, by the wait here alone: a long wait is
// known to hurt, while a short one there is not known any more.
func (o Offer) Share(p Price, leaving bool) float64 {
	width := float64(max(o.Width, time.Millisecond))
	widths := float64(o.Gain(p)) / width
	threshold := startGain
	if leaving {
		threshold = stopGain
	}
	fresh := 0.0
	if widths > threshold {
		fresh = max(searchShare, min(1, widths))
	}
	gain := min(o.Gain(p), o.Here-o.There-FixedCost)
	fixed := min(1, max(0, float64(gain)/width))
	weight := decay(o.NewsAge, newsSpan)
	return weight*fresh + (1-weight)*max(fixed, searchShare*min(1, fresh))
}

// Crossing is the state of one service towards one other domain. The zero value sends
// nothing.
type Crossing struct {
	share     float64
	updatedAt time.Time
}

// minShare is the share below which none leave.
const minShare = 0.01

// Update takes an offer into account and returns the share of requests that leave now. It
// follows the offers over some hundreds of milliseconds, so that two domains whose demand
// swings against each other don't exchange their queues.
func (c *Crossing) Update(now time.Time, p Price, o Offer) float64 {
	target := o.Share(p, c.share > minShare)
	weight := 1 - decay(min(now.Sub(c.updatedAt), maxPeriod), changeSpan)
	if c.updatedAt.IsZero() {
		weight = 1 - decay(changeSpan/4, changeSpan)
	}
	c.share += weight * (target - c.share)
	c.updatedAt = now
	if target == 0 && c.share < minShare {
		c.share = 0
	}
	return c.share
}

// Share returns the share of requests that left by the latest offer.
func (c *Crossing) Share() float64 { return c.share }
