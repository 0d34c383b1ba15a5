package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// phase is what a limiter believes about its upstream.
type phase int

const (
	// learning is cold without a baseline: one request in flight.
	learning phase = iota
	// warming is cold with a baseline: the limit doubles on warm replies.
	warming
	// suspected is warm with one slow reply: one request in flight until the
	// next replies tell.
	suspected
	// warmed is warm: the limit follows the service time below the slots.
	warmed
)

// coldFlight is how many requests a cold upstream gets at a time.
const coldFlight = 1

// Evidence that a phase needs before the next one.
const (
	growStreak    = 8                // warm replies before a cold limit doubles
	clearStreak   = 3                // warm replies that clear a suspicion
	learnSamples  = 64               // replies before a first baseline
	learnTime     = time.Second      // time before a first baseline
	relearnTime   = 10 * time.Second // time before a slower baseline replaces a known one
	adjustSamples = 8                // replies between two adjustments of a warm limit
	reportStreak  = 4                // reports of a queue in a row that lower the limit
	idleTime      = 10 * time.Second // time without a reply after which warmth is doubted
)

// Smoothed service times, as multiples of the baseline, that lower the limit
// by one and let it grow by one.
const (
	congestedRatio = 1.5
	clearRatio     = 1.25
)

// limiter decides how many requests an upstream gets at a time. It sees
// replies and failures and holds no clock.
type limiter struct {
	slots int
	limit int
	phase phase
	// before is the limit that a cleared suspicion restores.
	before int
	// since is when the phase began; replies to requests that were sent
	// earlier say nothing about it.
	since   time.Time
	replied time.Time
	boot    uint64
	streak  int
	samples int
	reports int
	ratio   float64
	norms   normTable
}

func newLimiter(slots int, now time.Time) limiter {
	return limiter{slots: max(slots, 1), limit: coldFlight, since: now, ratio: 1}
}

// sample is one reply of an upstream.
type sample struct {
	class string
	sent  time.Time
	took  time.Duration
	boot  uint64
	load  driftshard.Load
}

func (l *limiter) cold() bool {
	return l.phase != warmed
}

// cool goes back to one request in flight.
func (l *limiter) cool(now time.Time) {
	l.phase = learning
	if l.norms.known() {
		l.phase = warming
	}
	l.restart(coldFlight, now)
}

func (l *limiter) restart(limit int, now time.Time) {
	l.limit, l.since = limit, now
	l.streak, l.samples, l.reports, l.ratio = 0, 0, 0, 1
}

// suspect goes to one request in flight until more replies tell.
func (l *limiter) suspect(now time.Time) {
	l.phase, l.before = suspected, l.limit
	l.restart(coldFlight, now)
}

// doubt suspects a warm upstream whose idle connection was found closed: it
// may have restarted. One that still warms up starts over.
func (l *limiter) doubt(now time.Time) {
	switch {
	case l.phase == warmed:
		l.suspect(now)
	case l.limit > coldFlight:
		l.cool(now)
	}
}

// rest doubts the warmth of an upstream that has been idle for long.
func (l *limiter) rest(now time.Time) {
	if l.phase == warmed && now.Sub(l.replied) > idleTime {
		l.cool(now)
	}
}

// rebooted notes the incarnation and reports whether it has changed.
func (l *limiter) rebooted(boot uint64) bool {
	changed := boot != 0 && l.boot != 0 && boot != l.boot
	if boot != 0 {
		l.boot = boot
	}
	return changed
}

// succeed takes one reply into account.
func (l *limiter) succeed(s sample, now time.Time) {
	l.replied = now
	if l.rebooted(s.boot) {
		l.cool(now)
		return
	}
	if s.sent.Before(l.since) {
		return
	}
	n := l.norms.get(s.class)
	n.observe(s.took)
	l.samples++
	switch l.phase {
	case learning:
		l.learn(now)
	case warming:
		l.warm(n, s.took, now)
	case suspected:
		l.clear(n, s.took, now)
	case warmed:
		l.adjust(n, s.took, now)
	}
	l.heed(s.load)
}

// learn waits for enough replies, one at a time, to know a baseline.
func (l *limiter) learn(now time.Time) {
	if l.samples >= learnSamples && now.Sub(l.since) >= learnTime {
		l.norms.settle()
		l.phase = warming
		l.restart(coldFlight, now)
	}
}

// warm doubles the limit on warm replies. An upstream that stays slower than
// it was gets a new baseline in the end.
func (l *limiter) warm(n *norm, took time.Duration, now time.Time) {
	switch {
	case n.Mean == 0:
		return
	case n.warm(took):
		l.streak++
	case n.slow(took) && l.limit > coldFlight:
		l.cool(now)
		return
	default:
		l.streak = 0
	}
	if l.streak >= growStreak {
		l.grow(now)
		return
	}
	if l.limit == coldFlight && l.samples >= learnSamples && now.Sub(l.since) >= relearnTime {
		l.norms.settle()
		l.restart(coldFlight, now)
	}
}

func (l *limiter) grow(now time.Time) {
	l.restart(min(2*l.limit, l.slots), now)
	if l.limit == l.slots {
		l.phase = warmed
	}
}

// clear ends a suspicion, or confirms it.
func (l *limiter) clear(n *norm, took time.Duration, now time.Time) {
	if n.slow(took) {
		l.cool(now)
		return
	}
	l.streak++
	if l.streak >= clearStreak {
		l.phase = warmed
		l.restart(l.before, now)
	}
}

// adjust moves the limit of a warm upstream by its own service time.
func (l *limiter) adjust(n *norm, took time.Duration, now time.Time) {
	if n.slow(took) {
		l.suspect(now)
		return
	}
	l.ratio += recentWeight * (n.ratio(took) - l.ratio)
	if l.ratio > slowFactor {
		l.cool(now)
		return
	}
	if l.ratio <= congestedRatio {
		n.learn(took)
	}
	if l.samples < adjustSamples {
		return
	}
	switch {
	case l.ratio > congestedRatio && l.limit > 1:
		l.limit--
		l.samples = 0
	case l.ratio < clearRatio && l.limit < l.slots && l.reports == 0:
		l.limit++
		l.samples = 0
	}
}

// heed lets the upstream's own report lower the limit, to half the slots and
// no further, since reports mislead. A report never raises the limit.
func (l *limiter) heed(load driftshard.Load) {
	if load.Queue <= 0 {
		l.reports = 0
		return
	}
	l.reports++
	if l.reports%reportStreak == 0 && l.limit > (l.slots+1)/2 {
		l.limit--
		l.samples = 0
	}
}

// overdue reports whether a request in flight is itself a sign that the
// upstream has turned cold.
func (l *limiter) overdue(class string, sent, now time.Time) bool {
	if l.phase != warmed || sent.Before(l.since) {
		return false
	}
	n := l.norms.find(class)
	return n != nil && n.slow(now.Sub(sent))
}

// resize takes over the published number of slots.
func (l *limiter) resize(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.slots)
	l.before = min(l.before, l.slots)
}

// adopt takes over what the earlier owner knew. It never raises a limit over
// what this limiter has seen for itself.
func (l *limiter) adopt(h driftshard.Handover, now time.Time) {
	if !l.norms.known() {
		l.norms = newNormTable(h.Baselines)
	}
	if l.replied.IsZero() && l.norms.known() {
		l.take(h, now)
		return
	}
	if l.phase == learning && l.norms.known() {
		l.cool(now)
	}
	if h.Cold && l.phase == warmed {
		l.cool(now)
	}
}

// take starts from the earlier owner's state, before any reply.
func (l *limiter) take(h driftshard.Handover, now time.Time) {
	l.boot = h.Incarnation
	l.phase = warming
	if !h.Cold {
		l.phase = warmed
		l.replied = now
	}
	l.restart(min(max(h.Limit, coldFlight), l.slots), now)
}
