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
	leavingGrace = 1500 * time.Millisecond
	goneGrace    = 2300 * time.Millisecond
	outGrace     = 1500 * time.Millisecond
)

// Memory of what an upstream did.
const (
	// forgetSpeed is how long a slow upstream is believed to stay slow.
	forgetSpeed = 3 * time.Second
	// forgetFailing is how long failures count.
	forgetFailing = 4 * time.Second
	// loadLife is how long a report of load is believed.
	loadLife = 150 * time.Millisecond
	// maxSpeed bounds how slow an upstream may look.
	maxSpeed = 30
	// gain is the weight of a new observation.
	gain = 0.3
	// firstDown and lastDown bound the time for which an upstream that could
	// not be reached gets nothing.
	firstDown = 300 * time.Millisecond
	lastDown  = 2 * time.Second
)

// entity is an upstream with what this VM knows of it.
type entity struct {
	Upstream
	leavingAt time.Time
	goneAt    time.Time
	coldUntil time.Time

	idle    []*driftexchange.Conn
	open    int
	flights []*flight

	speed     float64
	speedAt   time.Time
	failing   average
	refusing  average
	load      driftexchange.Load
	loadAt    time.Time
	suspectTo time.Time
	downUntil time.Time
	downPause time.Duration
	coldSent  []bucket
}

// flight is one request at an upstream.
type flight struct {
	entity   *entity
	conn     *driftexchange.Conn
	started  time.Time
	sent     bool
	expected time.Duration
	// version is that of the routes by which the upstream was placed.
	version int64
	// abandoned is set when its result is of no more use.
	abandoned bool
}

func newEntity(u Upstream, now time.Time) *entity {
	e := &entity{Upstream: u, speed: 1}
	if u.ColdPeriod > 0 {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	return e
}

// publish takes over what the platform says now.
func (e *entity) publish(u Upstream, now time.Time) {
	if u.Leaving && e.leavingAt.IsZero() {
		e.leavingAt = now
	}
	if !u.Leaving {
		e.leavingAt = time.Time{}
	}
	if u.ColdPeriod > 0 && u.ColdPeriod != e.ColdPeriod {
		e.coldUntil = now.Add(u.ColdPeriod)
	}
	e.goneAt = time.Time{}
	e.Upstream = u
}

// usable reports whether the upstream may get new work.
func (e *entity) usable(now time.Time, outSince time.Time) bool {
	switch {
	case !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneGrace:
		return false
	case !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > leavingGrace:
		return false
	case !outSince.IsZero() && now.Sub(outSince) > outGrace:
		return false
	default:
		return now.After(e.downUntil)
	}
}

// want is what a request needs of an upstream.
type want struct {
	typical time.Duration
	aim     time.Duration
	// last is set if no other upstream may be tried after this one.
	last bool
}

// facts returns what speaks for and against the upstream.
func (e *entity) facts(now time.Time, w want, domain string, out bool) Candidate {
	f := Candidate{
		TypicalTime: w.typical, Slowdown: e.speedNow(now), Slots: e.Slots, Backlog: len(e.flights),
		Suspected: max(0, e.suspectTo.Sub(now)), FailureRate: e.failing.at(now), RefusalRate: e.refusing.at(now), LatencyObjective: w.aim, LastAttempt: w.last,
		NeedsDial: len(e.idle) == 0, CrossDomain: e.Domain != domain,
		Leaving: !e.leavingAt.IsZero() || !e.goneAt.IsZero() || out,
	}
	if now.Sub(e.loadAt) < loadLife {
		f.Backlog = max(f.Backlog, e.load.Running+e.load.Waiting)
	}
	for _, flight := range e.flights {
		f.Stalled = max(f.Stalled, now.Sub(flight.started)-2*flight.expected)
	}
	return f
}

func (e *entity) speedNow(now time.Time) float64 {
	return 1 + (e.speed-1)*decay(now.Sub(e.speedAt), forgetSpeed)
}

func decay(age, life time.Duration) float64 {
	return math.Exp(-age.Seconds() / life.Seconds())
}

// learn notes how long a request took beside what was usual.
func (e *entity) learn(now time.Time, took, typical time.Duration) {
	ratio := min(maxSpeed, took.Seconds()/max(typical, time.Millisecond).Seconds())
	held := e.speedNow(now)
	e.speed = held + gain*(ratio-held)
	e.speedAt = now
}

// judge notes whether a request failed and whether it was refused.
func (e *entity) judge(now time.Time, failed, refused bool) {
	e.failing.add(now, failed)
	e.refusing.add(now, refused)
}

// average is a share of recent requests that fades when nothing is observed.
type average struct {
	value float64
	noted time.Time
}

func (a *average) at(now time.Time) float64 {
	return a.value * decay(now.Sub(a.noted), forgetFailing)
}

func (a *average) add(now time.Time, hit bool) {
	target := 0.0
	if hit {
		target = 1
	}
	held := a.at(now)
	a.value = held + gain*(target-held)
	a.noted = now
}

// down notes that the upstream could not be reached.
func (e *entity) down(now time.Time) {
	e.downPause = min(max(2*e.downPause, firstDown), lastDown)
	e.downUntil = now.Add(e.downPause)
}

// up notes that the upstream answered.
func (e *entity) up() {
	e.downPause = 0
	e.downUntil = time.Time{}
	e.suspectTo = time.Time{}
}

func (e *entity) removeFlight(f *flight) {
	if i := slices.Index(e.flights, f); i >= 0 {
		e.flights = slices.Delete(e.flights, i, i+1)
	}
}

// coldRoom reports whether a cold upstream bears one more request now, given
// this VM's share of what it bears a second.
func (e *entity) coldRoom(now time.Time, share float64) bool {
	if share <= 0 || now.After(e.coldUntil) {
		return true
	}
	return sum(e.coldSent, now.Add(-time.Second-budgetBucket), now)+1 <= max(1, share)
}
