package driftrelay

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftspeed"
)

// workFactor returns by which factor requests take longer than usual at the upstream. It
// is the slowdown seen where the upstream does not report it.
func (e *upstreamState) workFactor(now time.Time) float64 {
	return e.speed.Factor(now, e.currentSlowdown(now))
}

// speeds is what a VM keeps of the services whose upstreams report how long work takes.
type speeds struct {
	// services holds them, with the rate at which this VM places requests there.
	services map[string]*rateMeter
	// allowance bounds the health requests of this VM that ask for it.
	allowance driftspeed.Allowance
}

func newSpeeds() speeds { return speeds{services: make(map[string]*rateMeter)} }

// speedRateSpan is the span over which the rate of a service is counted.
const speedRateSpan = 500 * time.Millisecond

// recordSpeed records by which factor work takes longer, by a reply of the upstream, if it
// says so. The caller holds the lock.
func (r *Relay) recordSpeed(e *upstreamState, load driftexchange.Load, now time.Time) {
	e.queued = load.Waiting > 0
	if load.WorkFactor <= 0 {
		return
	}
	if _, ok := r.speeds.services[e.Service]; !ok {
		r.speeds.services[e.Service] = &rateMeter{since: now}
		r.events.Record(driftevent.SpeedReported, "", e.Service, "first by "+e.ID)
	}
	e.speed.Report(now, load.WorkFactor)
}

// countPlaced counts an attempt at an upstream of the service. The caller holds the lock.
func (s speeds) countPlaced(service string) {
	if rate, ok := s.services[service]; ok {
		rate.count++
	}
}

// askSpeed asks one of the two upstreams for the factor by a health request, if the
// choice between them is worth it. The caller holds the lock.
func (r *Relay) askSpeed(o *options, service driftroute.Service, w requirements, now time.Time) {
	rate, ok := r.speeds.services[service.Name]
	if !ok || o.second.upstream == nil || service.HealthPath == "" {
		return
	}
	if now.Sub(rate.since) >= speedRateSpan {
		rate.update(now)
	}
	deviation := func(e *upstreamState) time.Duration {
		return time.Duration(float64(w.typicalTime) * e.workFactor(now) * e.speed.Uncertainty(now))
	}
	gainBest, gainSecond := driftspeed.Choice{
		Best: o.best.cost, Second: o.second.cost, RequestRate: rate.perSecond,
		BestDeviation: deviation(o.best.upstream), SecondDeviation: deviation(o.second.upstream),
	}.Gains()
	e, gain := o.best.upstream, gainBest
	if gainSecond > gainBest {
		e, gain = o.second.upstream, gainSecond
	}
	needsDial := len(e.idleConns) == 0
	switch {
	case !driftspeed.ProbePays(gain, needsDial), now.Before(e.probes.askAfter):
		return
	case e.countsAsCold(service, now), e.rateLimit.named, !e.leavingAt.IsZero(), !e.removedAt.IsZero():
		return
	case !r.canProbe(e, service, now) || !r.speeds.allowance.Take(now):
		return
	}
	e.probes.askAfter = now.Add(driftspeed.UpstreamInterval(len(r.otherEntries) + 1))
	r.metrics.countSpeedProbe(service.Name)
	r.startProbe(e, service, now)
}

// fits reports whether an attempt for the request that starts now may end before the VM
// stops, if it does, and before the query's deadline.
func (s *scatter) fits(l *shardRequest, now time.Time) bool {
	return s.fitsBeforeStop(l, now) && s.endsInTime(l, now)
}

// endsInTime reports whether the best upstream may answer before the query's deadline.
func (s *scatter) endsInTime(l *shardRequest, now time.Time) bool {
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, reports := r.speeds.services[l.service]; !reports {
		return true
	}
	typical := r.typicalTime(s.query.Route)
	best, ok := s.chooseNext(l, typical, now)
	if !ok || !best.upstream.speed.Reports() || EndsInTime(s.query.Deadline.Sub(now), typical, best.upstream.workFactor(now)) {
		return true
	}
	l.notes = append(l.notes, "no upstream can answer before the deadline")
	return false
}

// EndsInTime reports whether a request of the given typical time may end in the time that
// is left, at an upstream where it takes longer by the factor. It handles upstreams that
// are all slow: a caller that can't have its answer in time is told so at once, and no
// slot is taken for it.
func EndsInTime(left, typical time.Duration, factor float64) bool {
	return float64(left) >= shortestWork*factor*float64(typical)
}

// shortestWork is the time of short requests of a class, as a share of the typical one.
const shortestWork = 0.5
