package driftrelay

import (
	"math"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftspeed"
)

// Upstream is one upstream as the platform publishes it.
type Upstream struct {
	// ID identifies the upstream, mostly one incarnation of it.
	ID string
	// Incarnation tells apart the starts of an upstream that keeps its ID; a later
	// one is greater.
	Incarnation int64
	Service     string
	Address     string
	Domain      string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is set once it has announced that it will end.
	Leaving bool
	// ColdPeriod is how long it stays cold after it was published.
	ColdPeriod time.Duration
}

// View is the decoded state that the platform publishes.
type View struct {
	Table     *driftroute.Table
	Upstreams []Upstream
	// OutOfService lists the failure domains that get no new requests.
	OutOfService []string
}

// Parameters of the statistics on an upstream.
const (
	// slowdownDecay is the time constant with which a measured slowdown decays.
	slowdownDecay = 3 * time.Second
	// failureDecay is the time constant with which failures and refusals decay.
	failureDecay = 4 * time.Second
	// maxSlowdown limits the slowdown of a single observation.
	maxSlowdown = 30
	// averageGain is the weight of a new observation.
	averageGain = 0.3
	// minDownBackoff and maxDownBackoff bound the time for which an unreachable
	// upstream gets no requests.
	minDownBackoff = 300 * time.Millisecond
	maxDownBackoff = 2 * time.Second
)

// upstreamState is an upstream with the state that this VM keeps for it.
type upstreamState struct {
	Upstream
	leavingAt time.Time
	removedAt time.Time
	coldUntil time.Time
	probes    probes

	idleConns []*driftexchange.Conn
	// openConns counts the connections that are open or being opened, established
	// holds those that are open.
	openConns   int
	established map[*driftexchange.Conn]*connProof
	inFlight    []*attempt

	slowdown   float64
	slowdownAt time.Time
	speed      driftspeed.Model
	// queued is set if requests waited for a slot by the latest report.
	queued      bool
	failureRate movingAverage
	refusalRate movingAverage
	// othersLoad is how many requests of other VMs the upstream had at loadAt.
	othersLoad   float64
	loadAt       time.Time
	suspectUntil time.Time
	downUntil    time.Time
	downBackoff  time.Duration
	rateLimit    rateLimit
	closed       closure
	coldSent     []bucket
	connUnits    unitShare
	coldUnits    unitShare
	rateUnits    unitShare
}

// attempt is one request sent to one upstream.
type attempt struct {
	upstream *upstreamState
	conn     *driftexchange.Conn
	// exchange is that of the attempt on conn, which may carry others after it.
	exchange *driftexchange.Exchange
	started  time.Time
	sent     bool
	expected time.Duration
	// version is that of the configuration by which the upstream was chosen.
	version int64
	// incarnation is that of the upstream when it was chosen.
	incarnation int64
	// abandoned is set when the result is no longer needed.
	abandoned bool
	// room and claim are those in which the attempt is counted, nil if the slots of the
	// service were not arbitrated when it started.
	room  *room
	claim *ownClaim
}

func newUpstreamState(u Upstream, now time.Time) *upstreamState {
	e := &upstreamState{Upstream: u, slowdown: 1, established: make(map[*driftexchange.Conn]*connProof)}
	if u.ColdPeriod > 0 {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	return e
}

// applyPublished applies the published state of the upstream.
func (e *upstreamState) applyPublished(u Upstream, now time.Time) {
	if u.Incarnation != e.Incarnation && !e.closed.until.IsZero() {
		// The reply may have been one of the new incarnation.
		e.closed.until, e.closed.trial = now, true
	}
	if u.Incarnation != e.Incarnation || (e.Leaving && !u.Leaving) {
		e.leavingAt = time.Time{}
	}
	if u.Leaving && e.leavingAt.IsZero() {
		e.leavingAt = now
	}
	if u.ColdPeriod > 0 && (u.ColdPeriod != e.ColdPeriod || u.Incarnation != e.Incarnation) {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	e.removedAt = time.Time{}
	// Attempts read ID, Service and Address without the lock; they never change.
	e.Incarnation, e.Domain, e.Slots, e.Leaving, e.ColdPeriod = u.Incarnation, u.Domain, u.Slots, u.Leaving, u.ColdPeriod
}

// acceptsRequests reports whether the upstream may get new requests.
func (e *upstreamState) acceptsRequests(now time.Time, outSince time.Time, g graces) bool {
	return e.inService(now, outSince, g) && e.closed.allows(now, len(e.inFlight))
}

// inService reports whether the upstream may get new requests unless it is closed to
// this VM.
func (e *upstreamState) inService(now time.Time, outSince time.Time, g graces) bool {
	switch {
	case !e.removedAt.IsZero() && now.Sub(e.removedAt) > g.removed:
		return false
	case !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > g.leaving:
		return false
	case !outSince.IsZero() && now.Sub(outSince) > g.outOfService:
		return false
	default:
		return now.After(e.downUntil)
	}
}

// requirements are the properties of a request that affect the choice of its
// upstream.
type requirements struct {
	typicalTime      time.Duration
	latencyObjective time.Duration
	// lastAttempt is set if no other upstream may be tried after this one.
	lastAttempt bool
	// repeatable is set if the request may go again to an upstream where it has failed.
	repeatable bool
	// averageLoad is how many requests of other VMs an upstream of the service has on
	// average.
	averageLoad float64
}

// candidate describes the upstream as a candidate for a request.
func (e *upstreamState) candidate(now time.Time, w requirements, domain string, out bool) Candidate {
	f := Candidate{
		TypicalTime: w.typicalTime, Slowdown: e.workFactor(now), Slots: e.Slots,
		Suspected: max(0, e.suspectUntil.Sub(now)), FailureRate: e.failureRate.at(now), RefusalRate: e.refusalRate.at(now), LatencyObjective: w.latencyObjective, LastAttempt: w.lastAttempt, Repeatable: w.repeatable,
		NeedsDial: len(e.idleConns) == 0, CrossDomain: e.Domain != domain,
		Leaving: !e.leavingAt.IsZero() || !e.removedAt.IsZero() || out,
	}
	for _, a := range e.inFlight {
		f.Stalled = max(f.Stalled, now.Sub(a.started)-2*a.expected)
	}
	f.Backlog, f.Deviation = EstimateBacklog(len(e.inFlight), e.othersLoad, now.Sub(e.loadAt), w.typicalTime, w.averageLoad)
	return f
}

func (e *upstreamState) currentSlowdown(now time.Time) float64 {
	return 1 + (e.slowdown-1)*decay(now.Sub(e.slowdownAt), slowdownDecay)
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-age.Seconds() / timeConstant.Seconds())
}

// recordServiceTime updates the slowdown by the time that a request took,
// relative to the typical time.
func (e *upstreamState) recordServiceTime(now time.Time, took, typical time.Duration) {
	ratio := min(maxSlowdown, took.Seconds()/max(typical, time.Millisecond).Seconds())
	e.speed.Observe(now.Add(-took), now, ratio)
	previous := e.currentSlowdown(now)
	e.slowdown = previous + averageGain*(ratio-previous)
	e.slowdownAt = now
}

// recordOutcome records whether a request failed and whether it was refused.
func (e *upstreamState) recordOutcome(now time.Time, failed, refused bool) {
	e.failureRate.add(now, failed)
	e.refusalRate.add(now, refused)
}

// movingAverage is an exponential moving average of a rate, which decays while
// nothing is observed.
type movingAverage struct {
	value     float64
	updatedAt time.Time
}

func (a *movingAverage) at(now time.Time) float64 {
	return a.value * decay(now.Sub(a.updatedAt), failureDecay)
}

func (a *movingAverage) add(now time.Time, occurred bool) {
	observed := 0.0
	if occurred {
		observed = 1
	}
	previous := a.at(now)
	a.value = previous + averageGain*(observed-previous)
	a.updatedAt = now
}

// markUnreachable records that the upstream could not be reached, and backs
// off.
func (e *upstreamState) markUnreachable(now time.Time) {
	e.downBackoff = min(max(2*e.downBackoff, minDownBackoff), maxDownBackoff)
	e.downUntil = now.Add(e.downBackoff)
}

// markReachable records that the upstream answered.
func (e *upstreamState) markReachable() {
	e.downBackoff = 0
	e.downUntil = time.Time{}
	e.suspectUntil = time.Time{}
}

func (e *upstreamState) removeAttempt(f *attempt) {
	if i := slices.Index(e.inFlight, f); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
	}
}

// allowsColdRequest reports whether a cold upstream can take one more request
// of this VM now. The caller holds the lock.
func (r *Relay) allowsColdRequest(e *upstreamState, service driftroute.Service, now time.Time) bool {
	perSecond, limited := r.coldRate(e, service)
	return !limited || sumBuckets(e.coldSent, now.Add(-time.Second-bucketWidth), now)+1 <= float64(perSecond)
}
