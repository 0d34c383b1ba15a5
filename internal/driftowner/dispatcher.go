package driftowner

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// queueSize is how many requests may wait in a lane.
const queueSize = 128

// dispatcher holds the queue, the limit, the connections and the remembered ids of
// one upstream. Its methods take the current time and open no sockets.
type dispatcher struct {
	name    string
	events  driftevent.Recorder
	checker *driftcheck.Checker
	policy  policy

	mu       sync.Mutex
	upstream drifttable.Upstream
	limiter  limiter
	queue    queue
	pool     pool
	ids      idTable
	// inFlight are the tickets that hold a slot.
	inFlight []*queuedRequest
	// orphans are when the upstream is surely done with requests whose
	// connection was closed under them.
	orphans []time.Time
	// previousInFlight is the number of requests that the earlier owner still has in
	// flight, counted until foreignEnd, and foreignFrom is its name.
	previousInFlight    int
	previousInFlightEnd time.Time
	previousOwner       string
	// drainReported is when the earlier owner said that it has nothing in flight.
	drainReported time.Time
	backoff       backoff
	// forceDial makes the next attempt open a new connection.
	forceDial bool
	// tightest is the tightest latency target seen lately.
	tightest tightObjective
	// serviceTime is the smoothed time of a request, warm or cold.
	serviceTime time.Duration
	// leavingSince is when the upstream first said that it leaves, and marked is
	// set once the view has said so too.
	leavingSince     time.Time
	leavingPublished bool
	// notOwned is set while another VM owns the upstream, closed for good.
	notOwned bool
	newOwner string
	// handoverSent is when the new owner last heard of requests in flight here.
	handoverSent time.Time
	closed       bool
}

// policy switches parts of the decisions off, so that each can be measured.
type policy struct {
	fifo, noEarlyRefusal, noReservation, closeOnCancel bool
}

// backoff keeps requests from an upstream that has failed or shed.
type backoff struct {
	end      time.Time
	reason   driftshard.Reason
	failures int
}

// Pauses after failures: the first, and the longest.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

func (p *backoff) start(reason driftshard.Reason, asked time.Duration, now time.Time) {
	wait := min(initialBackoff<<min(p.failures, 8), maxBackoff)
	p.failures++
	p.reason = reason
	p.end = now.Add(max(wait, min(asked, maxBackoff)))
}

// tightObjective is the tightest latency target of the requests of late.
type tightObjective struct {
	objective time.Duration
	seen      time.Time
}

// tightObjectiveTTL is how long a tight target keeps a slot reserved.
const tightObjectiveTTL = time.Second

func (u *tightObjective) record(target time.Duration, now time.Time) {
	if target <= u.objective || now.Sub(u.seen) > tightObjectiveTTL {
		u.objective, u.seen = target, now
	}
}

func newDispatcher(
	u drifttable.Upstream, events driftevent.Recorder, checker *driftcheck.Checker, p policy, now time.Time,
) *dispatcher {
	l := &dispatcher{
		name: u.Name, events: events, checker: checker, policy: p, upstream: u,
		queue: queue{size: queueSize}, pool: newPool(u.Slots, u.Connections), ids: newIDTable(),
	}
	l.limiter = newLimiter(min(u.Slots, l.pool.size), now)
	return l
}

// enqueue admits a request to the queue and grants it a slot if one is free.
// A result that is not nil ends the request here.
func (l *dispatcher) enqueue(t *queuedRequest, hold, now time.Time) driftshard.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := t.request.Query
	if t.request.NonIdempotent && l.ids.has(id, now) {
		return driftshard.Unknown{Reason: driftshard.ReasonDuplicate}
	}
	if refusal := l.checkAdmission(t, hold, now); refusal.Reason != "" {
		refusal.Load = l.load()
		return refusal
	}
	if evicted := l.queue.push(t); evicted != nil {
		if evicted == t {
			return driftshard.NotRun{Reason: driftshard.ReasonFull, Load: l.load()}
		}
		l.refuse(evicted, driftshard.NotRun{Reason: driftshard.ReasonFull})
	}
	if t.request.NonIdempotent {
		l.ids.add(id, now)
	}
	l.tightest.record(t.key.Sub(t.arrived), now)
	l.grantSlots(now)
	return nil
}

// checkAdmission refuses what surely gets no slot in time.
func (l *dispatcher) checkAdmission(t *queuedRequest, hold, now time.Time) (refusal driftshard.NotRun) {
	if refusal := l.checkAvailable(hold, now); refusal.Reason != "" {
		return refusal
	}
	switch {
	case now.Before(l.backoff.end):
		return driftshard.NotRun{Reason: l.backoff.reason, RetryAfter: l.backoff.end.Sub(now)}
	case t.request.NonIdempotent && l.ids.full():
		return driftshard.NotRun{Reason: driftshard.ReasonFull}
	}
	if len(l.inFlight) == 0 {
		l.updateLimiter(func() { l.limiter.expireWarmth(now) })
	}
	if !l.policy.noEarlyRefusal && l.wouldBeLate(t, now) {
		return driftshard.NotRun{Reason: l.lateReason()}
	}
	return driftshard.NotRun{}
}

// checkAvailable tells why the lane may dispatch nothing at all.
func (l *dispatcher) checkAvailable(hold, now time.Time) (refusal driftshard.NotRun) {
	switch {
	case l.closed:
		return driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case l.notOwned:
		return driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: l.newOwner}
	case !l.leavingSince.IsZero():
		return driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case now.Before(hold) && hold.Sub(l.drainReported) > handoverTTL:
		return driftshard.NotRun{Reason: driftshard.ReasonHold, RetryAfter: hold.Sub(now)}
	}
	return driftshard.NotRun{}
}

func (l *dispatcher) lateReason() driftshard.Reason {
	if l.limiter.cold() {
		return driftshard.ReasonCold
	}
	return driftshard.ReasonLate
}

// wouldBeLate estimates whether a request misses its deadline behind those that go
// before it. An idle lane takes every request, so that its estimate cannot
// stay wrong.
func (l *dispatcher) wouldBeLate(t *queuedRequest, now time.Time) bool {
	busy := l.busy(now)
	if busy == 0 && l.queue.len() == 0 {
		return false
	}
	turns := l.queue.countAhead(t.key) + 1 - (l.limiter.limit - busy)
	if turns <= 0 {
		return now.Add(l.serviceTime / 2).After(t.request.Deadline)
	}
	wait := l.serviceTime * time.Duration(turns) / time.Duration(l.limiter.limit)
	need := time.Duration(lateMargin * float64(wait+l.serviceTime))
	return now.Add(need).After(t.request.Deadline)
}

// lateMargin is the share of the estimated time that a request which has to
// wait must have left, so that most of those admitted end in time.
const lateMargin = 1.25

// busy is the number of requests that the upstream may be working on.
func (l *dispatcher) busy(now time.Time) int {
	kept := l.orphans[:0]
	for _, end := range l.orphans {
		if now.Before(end) {
			kept = append(kept, end)
		}
	}
	l.orphans = kept
	if !now.Before(l.previousInFlightEnd) {
		l.previousInFlight = 0
	}
	return len(l.inFlight) + len(l.orphans) + l.previousInFlight
}

// grantSlots grants free slots to waiting requests.
func (l *dispatcher) grantSlots(now time.Time) {
	l.detectOverdue(now)
	if l.closed || l.notOwned || !l.leavingSince.IsZero() || now.Before(l.backoff.end) {
		return
	}
	for busy := l.busy(now); busy < l.limiter.limit; {
		t := l.nextToGrant(busy, now)
		if t == nil {
			return
		}
		l.queue.remove(t)
		l.queue.grantCount++
		if l.cannotFinish(t, busy, now) {
			l.refuse(t, driftshard.NotRun{Reason: driftshard.ReasonLate})
			continue
		}
		t.state = granted
		l.inFlight = append(l.inFlight, t)
		t.signal()
		busy++
	}
}

// detectOverdue takes requests that are overdue in flight as a sign of a cold
// upstream, before any reply.
func (l *dispatcher) detectOverdue(now time.Time) {
	for _, t := range l.inFlight {
		if t.state == sent && l.limiter.overdue(t.request.Class, t.sent, now) {
			l.updateLimiter(func() { l.limiter.enterSuspected(now) })
			return
		}
	}
}

// nextToGrant returns the request to grant next, or nil when the last free slot
// stays reserved.
func (l *dispatcher) nextToGrant(busy int, now time.Time) *queuedRequest {
	t := l.queue.next()
	if t == nil || !l.reserved(t, busy, now) {
		return t
	}
	first := l.queue.heap[0]
	if l.reserved(first, busy, now) {
		return nil
	}
	return first
}

// Limits of the reservation: a request is relaxed when it has this many times
// the tight target left; a slot stays reserved only when this many service
// times do not fit into the target.
const (
	relaxedFactor      = 4
	reserveFactor      = 2
	minReservableLimit = 2
)

// reserved reports whether the last free slot stays free for a request with
// a tight latency target, which would miss it behind a long request.
func (l *dispatcher) reserved(t *queuedRequest, busy int, now time.Time) bool {
	if l.policy.noReservation || l.limiter.limit < minReservableLimit || l.limiter.limit-busy > 1 {
		return false
	}
	if now.Sub(l.tightest.seen) > tightObjectiveTTL || reserveFactor*l.serviceTime <= l.tightest.objective {
		return false
	}
	return t.key.Sub(now) > relaxedFactor*l.tightest.objective
}

// cannotFinish reports whether a request cannot end in time any more.
func (l *dispatcher) cannotFinish(t *queuedRequest, busy int, now time.Time) bool {
	if !now.Before(t.request.Deadline) {
		return true
	}
	if l.policy.noEarlyRefusal || busy == 0 {
		return false
	}
	return now.Add(l.serviceTime / 2).After(t.request.Deadline)
}

// refuse ends a request that has not been sent.
func (l *dispatcher) refuse(t *queuedRequest, refusal driftshard.NotRun) {
	t.state = ended
	refusal.Load = l.load()
	t.refusal = refusal
	if t.request.NonIdempotent {
		l.ids.forget(t.request.Query)
	}
	t.signal()
}

// refuseAll ends every request that waits.
func (l *dispatcher) refuseAll(refusal driftshard.NotRun) {
	for l.queue.len() > 0 {
		t := l.queue.heap[0]
		l.queue.remove(t)
		l.refuse(t, refusal)
	}
}

// releaseSlot takes a ticket off its slot.
func (l *dispatcher) releaseSlot(t *queuedRequest) {
	for i, other := range l.inFlight {
		if other == t {
			l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
			return
		}
	}
}

// load describes the lane to the front.
func (l *dispatcher) load() driftshard.Load {
	return driftshard.Load{
		Queue: l.queue.len(), InFlight: len(l.inFlight) + len(l.orphans) + l.previousInFlight, Limit: l.limiter.limit,
		Cold: l.limiter.cold(), ServiceTime: l.serviceTime,
	}
}

// updateLimiter runs a change of the limiter and records what came of it.
func (l *dispatcher) updateLimiter(change func()) {
	cold, limit := l.limiter.cold(), l.limiter.limit
	change()
	switch {
	case !cold && l.limiter.cold():
		l.events.Record(driftevent.UpstreamCooled, "", l.name, "")
	case cold && !l.limiter.cold():
		l.events.Record(driftevent.UpstreamWarmed, "", l.name, "")
	case limit != l.limiter.limit:
		l.events.Record(driftevent.UpstreamLimit, "", l.name, "")
	}
}
