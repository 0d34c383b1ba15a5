package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// phase is the warm-up phase that a limiter infers for its upstream.
type phase int

const (
	// phaseLearning is cold without a baseline: one request in flight.
	phaseLearning phase = iota
	// phaseWarming is cold with a baseline: the limit doubles after enough
	// warm replies.
	phaseWarming
	// phaseSuspected follows a sign that a warm upstream may be cold: one
	// request in flight until the next replies confirm or clear the
	// suspicion.
	phaseSuspected
	// phaseWarm is warm: the limit follows the service time, up to the slots.
	phaseWarm
)

// coldLimit is the concurrency limit of a cold upstream.
const coldLimit = 1

// Evidence required for a change of phase or limit.
const (
	warmStreakToGrow    = 8                // warm replies in a row before a cold limit doubles
	warmStreakToClear   = 3                // replies in a row, none of them slow, that clear a suspicion
	baselineSamples     = 64               // replies before the first baseline
	baselineTime        = time.Second      // time before the first baseline
	relearnBaselineTime = 10 * time.Second // time before a slower baseline replaces a known one
	adjustInterval      = 8                // replies between two adjustments of a warm limit
	queueReportsToLower = 4                // reports of a queue in a row that lower the limit
	warmthIdleTTL       = 10 * time.Second // time without a reply after which an upstream counts as cold
)

// Smoothed service times, as multiples of the baseline, above which a warm limit
// is lowered by one and below which it is raised by one.
const (
	congestedRatio   = 1.5
	uncongestedRatio = 1.25
)

// limiter is the adaptive concurrency limit of one upstream. Replies and
// failures change it. Its methods take the current time as an argument.
type limiter struct {
	slots int
	limit int
	phase phase
	// limitBeforeSuspicion is the limit to restore when a suspicion is
	// cleared.
	limitBeforeSuspicion int
	// phaseStart is when the phase began. Replies to requests sent earlier do
	// not count for it.
	phaseStart time.Time
	// doubtfulSent is when the last request was sent whose reply was not warm, zero
	// if a later one was.
	doubtfulSent  time.Time
	lastReply     time.Time
	incarnation   uint64
	warmStreak    int
	samples       int
	queueReports  int
	smoothedRatio float64
	baselines     baselineTable
}

func newLimiter(slots int, now time.Time) limiter {
	return limiter{slots: max(slots, 1), limit: coldLimit, phaseStart: now, smoothedRatio: 1}
}

// sample is one reply of an upstream.
type sample struct {
	class       string
	sent        time.Time
	took        time.Duration
	incarnation uint64
	load        driftshard.Load
}

func (l *limiter) cold() bool {
	return l.phase != phaseWarm
}

// concurrency returns how many requests may be in flight: the limit, and one while
// no warm reply has followed one that was not warm.
func (l *limiter) concurrency() int {
	if !l.doubtfulSent.IsZero() {
		return coldLimit
	}
	return l.limit
}

// enterCold makes the upstream cold: the limit returns to one request.
func (l *limiter) enterCold(now time.Time) {
	l.phase = phaseLearning
	if l.baselines.hasBaseline() {
		l.phase = phaseWarming
	}
	l.resetPhase(coldLimit, now)
}

func (l *limiter) resetPhase(limit int, now time.Time) {
	l.limit, l.phaseStart, l.doubtfulSent = limit, now, time.Time{}
	l.warmStreak, l.samples, l.queueReports, l.smoothedRatio = 0, 0, 0, 1
}

// enterSuspected allows one request in flight until more replies confirm or
// clear the suspicion.
func (l *limiter) enterSuspected(now time.Time) {
	l.phase, l.limitBeforeSuspicion = phaseSuspected, l.limit
	l.resetPhase(coldLimit, now)
}

// suspectRestart is called when an idle connection was found closed, since
// the upstream may have restarted. It suspects a warm upstream and makes one
// that is warming up cold again.
func (l *limiter) suspectRestart(now time.Time) {
	switch {
	case l.phase == phaseWarm:
		l.enterSuspected(now)
	case l.limit > coldLimit:
		l.enterCold(now)
	}
}

// expireWarmth makes an upstream cold that has been idle for warmthIdleTTL.
func (l *limiter) expireWarmth(now time.Time) {
	if l.phase == phaseWarm && now.Sub(l.lastReply) > warmthIdleTTL {
		l.enterCold(now)
	}
}

// updateIncarnation records the upstream's incarnation and reports whether it
// has changed.
func (l *limiter) updateIncarnation(incarnation uint64) bool {
	changed := incarnation != 0 && l.incarnation != 0 && incarnation != l.incarnation
	if incarnation != 0 {
		l.incarnation = incarnation
	}
	return changed
}

// recordReply updates the baseline, the phase and the limit with one reply.
func (l *limiter) recordReply(s sample, now time.Time) {
	l.lastReply = now
	if l.updateIncarnation(s.incarnation) {
		l.enterCold(now)
		return
	}
	if s.sent.Before(l.phaseStart) {
		return
	}
	n := l.baselines.getOrCreate(s.class)
	n.updateRecent(s.took)
	l.samples++
	switch l.phase {
	case phaseLearning:
		l.learnBaseline(now)
	case phaseWarming:
		l.warmUp(n, s.took, now)
	case phaseSuspected:
		l.resolveSuspicion(n, s.took, now)
	case phaseWarm:
		l.adjustWarmLimit(n, s.took, now)
	}
	l.recordDoubt(n, s)
	l.applyLoadReport(s.load)
}

// learnBaseline sets the first baseline after baselineSamples replies and
// baselineTime. Until then, one request is in flight at a time.
func (l *limiter) learnBaseline(now time.Time) {
	if l.samples >= baselineSamples && now.Sub(l.phaseStart) >= baselineTime {
		l.baselines.resetToRecent()
		l.phase = phaseWarming
		l.resetPhase(coldLimit, now)
	}
}

// warmUp doubles the limit after enough warm replies. An upstream that stays
// slower than its baseline gets a new baseline after relearnBaselineTime.
func (l *limiter) warmUp(n *classBaseline, took time.Duration, now time.Time) {
	switch {
	case n.Mean == 0:
		return
	case n.isWarm(took):
		l.warmStreak++
	case n.isSlow(took) && l.limit > coldLimit:
		l.enterCold(now)
		return
	default:
		l.warmStreak = 0
	}
	if l.warmStreak >= warmStreakToGrow {
		l.raiseColdLimit(now)
		return
	}
	if l.limit == coldLimit && l.samples >= baselineSamples && now.Sub(l.phaseStart) >= relearnBaselineTime {
		l.baselines.resetToRecent()
		l.resetPhase(coldLimit, now)
	}
}

func (l *limiter) raiseColdLimit(now time.Time) {
	l.resetPhase(min(2*l.limit, l.slots), now)
	if l.limit == l.slots {
		l.phase = phaseWarm
	}
}

// resolveSuspicion confirms a suspicion on a slow reply, and clears it after
// warmStreakToClear replies that are not slow.
func (l *limiter) resolveSuspicion(n *classBaseline, took time.Duration, now time.Time) {
	if n.isSlow(took) {
		l.enterCold(now)
		return
	}
	l.warmStreak++
	if l.warmStreak >= warmStreakToClear {
		l.phase = phaseWarm
		l.resetPhase(l.limitBeforeSuspicion, now)
	}
}

// adjustWarmLimit adjusts the limit of a warm upstream to its service time.
func (l *limiter) adjustWarmLimit(n *classBaseline, took time.Duration, now time.Time) {
	if n.isSlow(took) {
		l.enterSuspected(now)
		return
	}
	l.smoothedRatio += recentWeight * (n.ratio(took) - l.smoothedRatio)
	if l.smoothedRatio > slowFactor {
		l.enterCold(now)
		return
	}
	if l.smoothedRatio <= congestedRatio {
		n.updateBaseline(took)
	}
	if l.samples < adjustInterval {
		return
	}
	switch {
	case l.smoothedRatio > congestedRatio && l.limit > 1:
		l.limit--
		l.samples = 0
	case l.smoothedRatio < uncongestedRatio && l.limit < l.slots && l.queueReports == 0:
		l.limit++
		l.samples = 0
	}
}

// recordDoubt records whether a reply was warm, in any phase. A warm reply clears
// only doubts about requests that were sent before its own. It handles the fastest
// replies of a cold upstream, which are slower than warm ones and not yet slow.
func (l *limiter) recordDoubt(n *classBaseline, s sample) {
	switch {
	case n.Mean == 0:
	case !n.isWarm(s.took):
		if s.sent.After(l.doubtfulSent) {
			l.doubtfulSent = s.sent
		}
	case s.sent.After(l.doubtfulSent):
		l.doubtfulSent = time.Time{}
	}
}

// applyLoadReport lowers the limit when the upstream keeps reporting a queue,
// to no less than half the slots, since reports can be wrong. A report never
// raises the limit.
func (l *limiter) applyLoadReport(load driftshard.Load) {
	if load.Queue <= 0 {
		l.queueReports = 0
		return
	}
	l.queueReports++
	if l.queueReports%queueReportsToLower == 0 && l.limit > (l.slots+1)/2 {
		l.limit--
		l.samples = 0
	}
}

// overdue reports whether a request in flight has already taken so long that
// the upstream may have become cold.
func (l *limiter) overdue(class string, sent, now time.Time) bool {
	if l.phase != phaseWarm || sent.Before(l.phaseStart) {
		return false
	}
	n := l.baselines.find(class)
	return n != nil && n.isSlow(now.Sub(sent))
}

// setSlots sets the published number of slots.
func (l *limiter) setSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.slots)
	l.limitBeforeSuspicion = min(l.limitBeforeSuspicion, l.slots)
}

// applyHandover applies the state of the previous owner. It never raises a
// limit above what this limiter has inferred from its own replies.
func (l *limiter) applyHandover(h driftshard.Handover, now time.Time) {
	if !l.baselines.hasBaseline() {
		l.baselines = newBaselineTable(h.Baselines)
	}
	if l.lastReply.IsZero() && l.baselines.hasBaseline() {
		l.initFromHandover(h, now)
		return
	}
	if l.phase == phaseLearning && l.baselines.hasBaseline() {
		l.enterCold(now)
	}
	if h.Cold && l.phase == phaseWarm {
		l.enterCold(now)
	}
}

// initFromHandover starts from the previous owner's state, before any reply.
func (l *limiter) initFromHandover(h driftshard.Handover, now time.Time) {
	l.incarnation = h.Incarnation
	l.phase = phaseWarming
	if !h.Cold {
		l.phase = phaseWarm
		l.lastReply = now
	}
	l.resetPhase(min(max(h.Limit, coldLimit), l.slots), now)
}
