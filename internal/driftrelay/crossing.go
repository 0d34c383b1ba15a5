package driftrelay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdomain"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// crossings is what a VM keeps of requests that leave its failure domain.
type crossings struct {
	// price is that of the settings, nil if they state none.
	price *driftdomain.Price
	paths driftdomain.Paths
	// services holds the state by service.
	services map[string]*serviceCrossings
}

// serviceCrossings is the state of one service.
type serviceCrossings struct {
	domains map[string]*domainCrossing
	// bytes is the usual size of a request and its reply.
	bytes float64
}

// domainCrossing is the state of one service towards one other domain.
type domainCrossing struct {
	driftdomain.Crossing
	// leaving is set from when the larger part leaves until none does.
	leaving bool
}

// Sizes of what crosses between domains.
const (
	// headBytes is that of the heads of a request and its reply.
	headBytes = 600
	// bytesGain is the weight of a new observation.
	bytesGain = 0.05
)

// SetCrossingPrice sets what leaving the failure domain is worth, nil if that is to be as
// the upstreams call for: by the default price where they report how long work takes, and
// by a fixed cost elsewhere.
func (r *Relay) SetCrossingPrice(price *driftdomain.Price) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crossings.price = price
}

// crossingPrice returns the price for the service, and false if a fixed cost is in force.
// The caller holds the lock.
func (r *Relay) crossingPrice(service string) (driftdomain.Price, bool) {
	if service == forwardService {
		return driftdomain.Price{}, false
	}
	if r.crossings.price != nil {
		return *r.crossings.price, true
	}
	_, reports := r.speeds.services[service]
	return driftdomain.DefaultPrice(), reports
}

func (r *Relay) crossingsOf(service string) *serviceCrossings {
	c, ok := r.crossings.services[service]
	if !ok {
		if r.crossings.services == nil {
			r.crossings.services = make(map[string]*serviceCrossings)
		}
		c = &serviceCrossings{domains: make(map[string]*domainCrossing), bytes: headBytes}
		r.crossings.services[service] = c
	}
	return c
}

// forgetCrossings drops the state of services without upstreams. The caller holds the
// lock.
func (r *Relay) forgetCrossings() {
	for service := range r.crossings.services {
		if len(r.services[service]) == 0 {
			delete(r.crossings.services, service)
		}
	}
}

// crossing returns what it costs to send a request of the service to the domain, 0 if it
// is the own one. The caller holds the lock.
func (r *Relay) crossing(price driftdomain.Price, service, domain string, now time.Time) time.Duration {
	if domain == r.self.Domain {
		return 0
	}
	return r.crossings.paths.Extra(now, r.self.Domain, domain) + price.Cost(int(r.crossingsOf(service).bytes))
}

// recordCrossing records the size of a reply and how long the request took, and returns
// that time without the path to the other domain, but at least half of the typical one.
// The caller holds the lock.
func (r *Relay) recordCrossing(f *attempt, took, typical time.Duration, bytes int, now time.Time) time.Duration {
	e := f.upstream
	if _, inForce := r.crossingPrice(e.Service); !inForce {
		return took
	}
	c := r.crossingsOf(e.Service)
	c.bytes += bytesGain * (float64(bytes+headBytes) - c.bytes)
	// A request that found others waiting says nothing of the path.
	if !e.queued {
		// What the upstream reports counts, and not its slowdown seen, which would take in
		// the path first.
		r.crossings.paths.Observe(now, e.Domain, took-time.Duration(float64(typical)*e.speed.Reported(now)))
	}
	if e.Domain == r.self.Domain {
		return took
	}
	return max(min(took, typical/2), took-r.crossings.paths.Extra(now, r.self.Domain, e.Domain))
}

// option is an upstream that a request may be sent to.
type option struct {
	upstream *upstreamState
	facts    Candidate
	cost     time.Duration
}

// options are the upstreams of a service that a request may be sent to: the best two, and
// the best of each domain where leaving the own one has a price.
type options struct {
	price        driftdomain.Price
	priced       bool
	best, second option
	domains      []option
}

// usualDomains is how many domains most services have upstreams in.
const usualDomains = 3

func (o *options) add(c option) {
	switch {
	case o.best.upstream == nil || c.cost < o.best.cost:
		o.second, o.best = o.best, c
	case o.second.upstream == nil || c.cost < o.second.cost:
		o.second = c
	}
	if !o.priced {
		return
	}
	i := slices.IndexFunc(o.domains, func(d option) bool { return d.upstream.Domain == c.upstream.Domain })
	switch {
	case o.domains == nil:
		o.domains = append(make([]option, 0, usualDomains), c)
	case i < 0:
		o.domains = append(o.domains, c)
	case c.cost < o.domains[i].cost:
		o.domains[i] = c
	}
}

// newOptions returns no options yet for the service. The caller holds the lock.
func (r *Relay) newOptions(service string) (o options) {
	o.price, o.priced = r.crossingPrice(service)
	return o
}

// addOption adds an upstream to the options. The caller holds the lock.
func (r *Relay) addOption(o *options, e *upstreamState, w requirements, m *room, out bool, now time.Time) {
	facts := e.candidate(now, w, r.self.Domain, out)
	if o.priced {
		facts.Crossing, facts.CrossDomain = r.crossing(o.price, e.Service, e.Domain, now), false
	}
	o.add(option{upstream: e, facts: facts, cost: EstimateCost(facts) + m.queuePrice(facts, now) + rand.N(costJitter)})
}

// choose returns the upstream to which the request is sent. The caller holds the lock.
func (r *Relay) choose(o *options, service driftroute.Service, w requirements, now time.Time) (placement, bool) {
	if o.best.upstream == nil {
		return placement{}, false
	}
	r.askSpeed(o, service, w, now)
	chosen := o.best
	if o.priced {
		chosen = r.stayOrLeave(o, w, now)
	}
	return placement{upstream: chosen.upstream, cost: chosen.cost}, true
}

// stayOrLeave chooses between the best upstream of the own domain and the best of the
// others. A share leaves because of load; where the own one is impaired, or there is none,
// the lowest cost decides, since to wait for it helps no caller. The caller holds the lock.
func (r *Relay) stayOrLeave(o *options, w requirements, now time.Time) option {
	var here, there option
	for _, d := range o.domains {
		switch {
		case d.upstream.Domain == r.self.Domain:
			here = d
		case there.upstream == nil || d.cost < there.cost:
			there = d
		}
	}
	if here.upstream == nil || there.upstream == nil {
		return o.best
	}
	if impairment(here.facts) > there.facts.Crossing {
		r.metrics.countCrossing(o.best, r.self.Domain, "impaired")
		return o.best
	}
	c := r.crossingsOf(here.upstream.Service)
	chosen, draw := here, rand.Float64()
	for _, d := range o.domains {
		if d.upstream == here.upstream {
			continue
		}
		bytes := int(c.bytes)
		offer := driftdomain.Offer{
			Here: here.cost, There: d.cost - d.facts.Crossing, Path: d.facts.Crossing - o.price.Cost(bytes), Bytes: bytes,
			Width: w.typicalTime, NewsAge: now.Sub(d.upstream.loadAt),
		}
		if d.upstream != there.upstream {
			// Only the best other domain is an offer.
			offer.Here = 0
		}
		state, ok := c.domains[d.upstream.Domain]
		if !ok {
			state = new(domainCrossing)
			c.domains[d.upstream.Domain] = state
		}
		share := state.Update(now, o.price, offer)
		r.recordLeavingDomain(state, here.upstream.Service, d.upstream.Domain)
		if draw >= 0 && draw < share {
			chosen = d
		}
		draw -= share
	}
	r.metrics.countCrossing(chosen, r.self.Domain, "share")
	return chosen
}

// recordLeavingDomain records when the larger part of a service's requests begins to
// leave, and when none leaves any more.
func (r *Relay) recordLeavingDomain(c *domainCrossing, service, domain string) {
	switch share := c.Share(); {
	case !c.leaving && share > 0.5:
		c.leaving = true
		r.events.Record(driftevent.DomainLeft, "", service, "most requests go to "+domain)
	case c.leaving && share == 0:
		c.leaving = false
		r.events.Record(driftevent.DomainLeft, "", service, "none go to "+domain)
	}
}

// impairment returns the part of the cost that an upstream has beside its load: it doesn't
// answer, fails, refuses, is about to end, or has no connection.
func impairment(f Candidate) time.Duration {
	sound := f
	sound.Stalled, sound.Suspected, sound.FailureRate, sound.RefusalRate = 0, 0, 0, 0
	sound.Leaving, sound.NeedsDial = false, false
	return EstimateCost(f) - EstimateCost(sound)
}
