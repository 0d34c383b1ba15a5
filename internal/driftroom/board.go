package driftroom

import (
	"cmp"
	"slices"
	"time"
)

// Times of a Board.
const (
	// Hold is the time within which other VMs learn of a demand. A VM counts a greater
	// demand of its own only after it has announced it for so long, and a smaller one of
	// another VM only after it has known it for so long.
	Hold = time.Second
	// MaxGap is the longest time between two announcements of a VM. One that was silent for
	// longer, such as one that was paused, may have missed those of others, and starts anew.
	MaxGap = Hold / 2
	// Expiry is the silence after which the demand of another VM no longer counts.
	Expiry = 2 * Hold
	// maxVMs bounds the other VMs whose demand is held.
	maxVMs = 512
)

// StartShare is the share of the slots that all VMs together may use regardless of
// demands, each an equal part: a VM with a new demand uses its part of it until the
// others know.
const StartShare = 0.1

// Fleet is what a VM knows of the number of VMs.
type Fleet struct {
	// Reached is how many VMs are alive, this one included, and Known how many there may
	// be, on both sides of a partition.
	Reached, Known int
	// Foreign is how many requests the upstreams of the service are seen to have that no
	// VM in reach has announced, negative if that is unknown.
	Foreign float64
}

// inReach returns the share of the VMs that are in reach.
func (f Fleet) inReach() float64 {
	return min(1, float64(max(1, f.Reached))/float64(max(1, f.Known)))
}

// Available returns how many of the slots the VMs in reach may use together. It handles a
// partition in which both sides reach the upstreams: each side uses at most its part by
// number of VMs, or what the other side is seen to leave. VMs that have ended leave all.
func (f Fleet) Available(slots float64) float64 {
	return available(slots, f.inReach(), f.Foreign)
}

func available(slots, inReach, foreign float64) float64 {
	switch {
	case inReach >= 1:
		return slots
	case foreign < 0:
		return inReach * slots
	default:
		return max(inReach*slots, slots-foreign)
	}
}

// sample is a demand at a time.
type sample struct {
	at     time.Time
	demand float64
}

// history holds the demands of one claimant at one VM, the latest last. Its first sample
// may be older than Hold: that demand held until the second one.
type history struct {
	rank    Rank
	floor   float64
	running float64
	samples []sample
}

// recent adds a sample and drops those that no longer held within Hold.
func recent(samples []sample, demand float64, now time.Time) []sample {
	samples = append(samples, sample{at: now, demand: demand})
	return dropOld(samples, now)
}

// dropOld drops the samples that no longer held within Hold.
func dropOld(samples []sample, now time.Time) []sample {
	for len(samples) > 1 && now.Sub(samples[1].at) >= Hold {
		samples = samples[1:]
	}
	return samples
}

func compareSamples(a, b sample) int { return cmp.Compare(a.demand, b.demand) }

// least returns the smallest demand within Hold, 0 if it has been announced for less.
func (h *history) least(now time.Time) float64 {
	if len(h.samples) == 0 || now.Sub(h.samples[0].at) < Hold {
		return 0
	}
	return slices.MinFunc(dropOld(h.samples, now), compareSamples).demand
}

// greatest returns the greatest demand within Hold.
func (h *history) greatest(now time.Time) (greatest float64) {
	return slices.MaxFunc(dropOld(h.samples, now), compareSamples).demand
}

// vmDemand is the demand of one VM.
type vmDemand struct {
	heardAt time.Time
	claims  map[Claimant]*history
}

func newVMDemand() *vmDemand { return &vmDemand{claims: make(map[Claimant]*history)} }

// set replaces the demand. A claimant that is no longer named demands nothing.
func (d *vmDemand) set(claims []Claim, now time.Time) {
	d.heardAt = now
	named := make(map[Claimant]bool, len(claims))
	for _, c := range claims {
		named[c.Claimant] = true
		h, ok := d.claims[c.Claimant]
		if !ok {
			h = new(history)
			d.claims[c.Claimant] = h
		}
		h.rank, h.floor, h.running = c.Rank, c.Floor, max(0, c.Running)
		h.samples = recent(h.samples, max(0, c.Demand), now)
	}
	for claimant, h := range d.claims {
		if named[claimant] {
			continue
		}
		h.running = 0
		h.samples = recent(h.samples, 0, now)
		if h.greatest(now) == 0 {
			delete(d.claims, claimant)
		}
	}
}

// Board holds the demand of all VMs for the slots of one service, as one VM knows it.
type Board struct {
	own    *vmDemand
	others map[string]*vmDemand
	// inReach holds the shares of the VMs that were in reach.
	inReach []sample
	// unmet is the most urgent rank that gets less than it demands, nil if none does.
	unmet *Rank
}

// NewBoard returns a Board that knows of no demand.
func NewBoard() *Board {
	return &Board{own: newVMDemand(), others: make(map[string]*vmDemand)}
}

// Announce records the demand that this VM tells the others from now on.
func (b *Board) Announce(claims []Claim, now time.Time) {
	if !b.Announced(now) {
		clear(b.own.claims)
	}
	b.own.set(claims, now)
}

// Hear records the demand that another VM has told. Demands of more than maxVMs are
// dropped.
func (b *Board) Hear(vm string, claims []Claim, now time.Time) {
	d, ok := b.others[vm]
	if !ok {
		if len(b.others) >= maxVMs {
			return
		}
		d = newVMDemand()
		b.others[vm] = d
	}
	d.set(claims, now)
}

// Expire forgets the VMs that have been silent for Expiry, and reports whether any is
// left.
func (b *Board) Expire(now time.Time) bool {
	for vm, d := range b.others {
		if now.Sub(d.heardAt) >= Expiry {
			delete(b.others, vm)
		}
	}
	return len(b.others) > 0
}

// Others returns the sums of the latest demands of the other VMs, and of what they have
// in flight.
func (b *Board) Others(now time.Time) (demand, running float64) {
	for _, d := range b.others {
		if now.Sub(d.heardAt) >= Expiry {
			continue
		}
		for _, h := range d.claims {
			demand += h.samples[len(h.samples)-1].demand
			running += h.running
		}
	}
	return demand, running
}

// Part is the part of the slots that this VM may use for one claimant.
type Part struct {
	Claimant
	Rank Rank
	// Slots is how many slots it may use on average, Floor how many of them are the
	// claimant's floor.
	Slots, Floor float64
}

// Parts returns this VM's parts of the slots, the most urgent first. If all VMs hear of
// each other's demands within Hold, the parts of all VMs add up to no more than the
// slots: each VM counts its own demand at its least and that of others at its greatest
// of that time, and Divide gives a claim no more for a lower demand of its own or a
// higher one of another. It handles demand that moves from VM to VM while news of it is
// on the way. A VM that has announced nothing for longer than MaxGap has
// no part.
func (b *Board) Parts(slots float64, fleet Fleet, now time.Time) (parts []Part) {
	// VMs that have come back in reach are not known by their demands yet.
	b.inReach = recent(b.inReach, fleet.inReach(), now)
	usable := available(slots, slices.MinFunc(b.inReach, compareSamples).demand, fleet.Foreign)
	claims := b.total(now)
	demanded := 0.0
	for _, c := range claims {
		demanded += c.Demand
	}
	// What nobody demands yet is lent in proportion, so that a part is no limit to a VM
	// whose demand varies while there is room for all.
	spare := max(1, usable/max(demanded, 1e-9))
	given := Divide(usable, claims)
	b.unmet = nil
	for i, c := range claims {
		if b.unmet == nil && c.Demand-given[i] > metTolerance {
			b.unmet = &claims[i].Rank
		}
		h, ok := b.own.claims[c.Claimant]
		if !ok {
			continue
		}
		part := Part{Claimant: c.Claimant, Rank: c.Rank}
		if c.Demand > 0 && b.Announced(now) {
			own := h.least(now) / c.Demand
			part.Slots, part.Floor = given[i]*own*spare, min(given[i], c.Floor*usable)*own
		}
		parts = append(parts, part)
	}
	return parts
}

// total returns the demands of all VMs by claimant, the most urgent first: this VM's at
// its least and that of others at its greatest within Hold.
func (b *Board) total(now time.Time) (claims []Claim) {
	sums := make(map[Claimant]Claim)
	add := func(claimant Claimant, h *history, demand float64) {
		c := sums[claimant]
		c.Claimant, c.Rank, c.Floor = claimant, h.rank, h.floor
		c.Demand += demand
		sums[claimant] = c
	}
	for claimant, h := range b.own.claims {
		own := 0.0
		if b.Announced(now) {
			own = h.least(now)
		}
		add(claimant, h, own)
	}
	for _, d := range b.others {
		if now.Sub(d.heardAt) >= Expiry {
			continue
		}
		for claimant, h := range d.claims {
			add(claimant, h, h.greatest(now))
		}
	}
	for _, c := range sums {
		claims = append(claims, c)
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(a.Rank.Compare(b.Rank), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Domain, b.Domain))
	})
	return claims
}

// metTolerance is the demand that may be unmet, for want of precision.
const metTolerance = 1e-6

// Meets reports whether all claimants that are as urgent, or more, got all that they
// demand at all VMs when Parts was last called.
func (b *Board) Meets(rank Rank) bool { return b.unmet == nil || rank.Compare(*b.unmet) < 0 }

// Sum returns the slots of all parts. It is at least this VM's part of StartShare.
func Sum(parts []Part, slots float64, fleet Fleet) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p.Slots
	}
	return max(sum, StartShare*slots/float64(max(1, fleet.Known, fleet.Reached)))
}

// Announced reports whether this VM has announced its demand within MaxGap.
func (b *Board) Announced(now time.Time) bool { return now.Sub(b.own.heardAt) <= MaxGap }
