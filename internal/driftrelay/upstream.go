package driftrelay

import (
	"math"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Upstream is one upstream as the platform publishes it.
type Upstream struct {
	// ID names the incarnation of the upstream.
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Leaving is set once it has announced that it will end.
	Leaving bool
	// ColdPeriod is how long it stays cold after it was published.
	ColdPeriod time.Duration
}

// View is what the platform publishes, decoded.
type View struct {
	Table     *driftroute.Table
	Upstreams []Upstream
	// OutOfService are the failure domains that get no new work.
	OutOfService []string
}

// Times after which an upstream gets nothing more. An upstream serves for at
// least 3 s after it has announced that it leaves or was taken off the list,
// on the published sites; entries that lapsed with the platform are back
// within 2 s.
const (
	leavingGrace      = 1500 * time.Millisecond
	removedGrace      = 2300 * time.Millisecond
	outOfServiceGrace = 1500 * time.Millisecond
)

// Memory of what an upstream did.
const (
	// slowdownDecay is how long a slow upstream is believed to stay slow.
	slowdownDecay = 3 * time.Second
	// failureDecay is how long failures count.
	failureDecay = 4 * time.Second
	// maxLoadAge is how long a report of load is believed.
	maxLoadAge = 150 * time.Millisecond
	// maxSlowdown bounds how slow an upstream may look.
	maxSlowdown = 30
	// averageGain is the weight of a new observation.
	averageGain = 0.3
	// minDownBackoff and lastDown bound the time for which an upstream that could
	// not be reached gets nothing.
	minDownBackoff = 300 * time.Millisecond
	maxDownBackoff = 2 * time.Second
)

// upstreamState is an upstream with what this VM knows of it.
type upstreamState struct {
	Upstream
	leavingAt time.Time
	removedAt time.Time
	coldUntil time.Time

	idleConns []*driftexchange.Conn
	openConns int
	inFlight  []*attempt

	slowdown     float64
	slowdownAt   time.Time
	failureRate  movingAverage
	refusalRate  movingAverage
	load         driftexchange.Load
	loadAt       time.Time
	suspectUntil time.Time
	downUntil    time.Time
	downBackoff  time.Duration
	coldSent     []bucket
}

// attempt is one request at an upstream.
type attempt struct {
	upstream *upstreamState
	conn     *driftexchange.Conn
	started  time.Time
	sent     bool
	expected time.Duration
	// version is that of the routes by which the upstream was placed.
	version int64
	// abandoned is set when its result is of no more use.
	abandoned bool
}

func newUpstreamState(u Upstream, now time.Time) *upstreamState {
	e := &upstreamState{Upstream: u, slowdown: 1}
	if u.ColdPeriod > 0 {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	return e
}

// applyPublished takes over what the platform says now.
func (e *upstreamState) applyPublished(u Upstream, now time.Time) {
	if u.Leaving && e.leavingAt.IsZero() {
		e.leavingAt = now
	}
	if !u.Leaving {
		e.leavingAt = time.Time{}
	}
	if u.ColdPeriod > 0 && u.ColdPeriod != e.ColdPeriod {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	e.removedAt = time.Time{}
	e.Upstream = u
}

// usable reports whether the upstream may get new work.
func (e *upstreamState) usable(now time.Time, outSince time.Time) bool {
	switch {
	case !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedGrace:
		return false
	case !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > leavingGrace:
		return false
	case !outSince.IsZero() && now.Sub(outSince) > outOfServiceGrace:
		return false
	default:
		return now.After(e.downUntil)
	}
}

// requirements is what a request needs of an upstream.
type requirements struct {
	typicalTime      time.Duration
	latencyObjective time.Duration
	// lastAttempt is set if no other upstream may be tried after this one.
	lastAttempt bool
}

// candidate returns what speaks for and against the upstream.
func (e *upstreamState) candidate(now time.Time, w requirements, domain string, out bool) Candidate {
	f := Candidate{
		TypicalTime: w.typicalTime, Slowdown: e.currentSlowdown(now), Slots: e.Slots, Backlog: len(e.inFlight),
		Suspected: max(0, e.suspectUntil.Sub(now)), FailureRate: e.failureRate.at(now), RefusalRate: e.refusalRate.at(now), LatencyObjective: w.latencyObjective, LastAttempt: w.lastAttempt,
		NeedsDial: len(e.idleConns) == 0, CrossDomain: e.Domain != domain,
		Leaving: !e.leavingAt.IsZero() || !e.removedAt.IsZero() || out,
	}
	if now.Sub(e.loadAt) < maxLoadAge {
		f.Backlog = max(f.Backlog, e.load.Running+e.load.Waiting)
	}
	for _, flight := range e.inFlight {
		f.Stalled = max(f.Stalled, now.Sub(flight.started)-2*flight.expected)
	}
	return f
}

func (e *upstreamState) currentSlowdown(now time.Time) float64 {
	return 1 + (e.slowdown-1)*decay(now.Sub(e.slowdownAt), slowdownDecay)
}

func decay(age, life time.Duration) float64 {
	return math.Exp(-age.Seconds() / life.Seconds())
}

// recordServiceTime notes how long a request took beside what was usual.
func (e *upstreamState) recordServiceTime(now time.Time, took, typical time.Duration) {
	ratio := min(maxSlowdown, took.Seconds()/max(typical, time.Millisecond).Seconds())
	held := e.currentSlowdown(now)
	e.slowdown = held + averageGain*(ratio-held)
	e.slowdownAt = now
}

// recordOutcome notes whether a request failed and whether it was refused.
func (e *upstreamState) recordOutcome(now time.Time, failed, refused bool) {
	e.failureRate.add(now, failed)
	e.refusalRate.add(now, refused)
}

// movingAverage is a share of recent requests that fades when nothing is observed.
type movingAverage struct {
	value     float64
	updatedAt time.Time
}

func (a *movingAverage) at(now time.Time) float64 {
	return a.value * decay(now.Sub(a.updatedAt), failureDecay)
}

func (a *movingAverage) add(now time.Time, hit bool) {
	target := 0.0
	if hit {
		target = 1
	}
	held := a.at(now)
	a.value = held + averageGain*(target-held)
	a.updatedAt = now
}

// markUnreachable notes that the upstream could not be reached.
func (e *upstreamState) markUnreachable(now time.Time) {
	e.downBackoff = min(max(2*e.downBackoff, minDownBackoff), maxDownBackoff)
	e.downUntil = now.Add(e.downBackoff)
}

// markReachable notes that the upstream answered.
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

// allowsColdRequest reports whether a cold upstream bears one more request now, given
// this VM's share of what it bears a second.
func (e *upstreamState) allowsColdRequest(now time.Time, share float64) bool {
	if share <= 0 || now.After(e.coldUntil) {
		return true
	}
	return sum(e.coldSent, now.Add(-time.Second-budgetBucket), now)+1 <= max(1, share)
}
