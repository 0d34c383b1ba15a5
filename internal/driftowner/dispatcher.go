package driftowner

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// queueSize is the maximum number of requests waiting for one upstream.
const queueSize = 128

// dispatcher holds the queue, the concurrency limit, the connections and the
// recent request IDs of one upstream. Only connect and openStandby open
// connections. The methods that schedule requests take the current time as an
// argument.
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
	// inFlight holds the requests that have a slot.
	inFlight []*queuedRequest
	// orphans holds an entry for each request whose connection was closed
	// before the reply: the time until which it counts as running at the
	// upstream.
	orphans []time.Time
	// previousInFlight is the number of requests that the previous owner,
	// previousOwner, still has in flight. They count until
	// previousInFlightEnd.
	previousInFlight    int
	previousInFlightEnd time.Time
	previousOwner       string
	// drainReported is when the previous owner reported that it has nothing
	// in flight.
	drainReported time.Time
	backoff       backoff
	// forceDial makes the next attempt open a new connection.
	forceDial bool
	// tightest is the tightest recent latency objective.
	tightest tightObjective
	// serviceTime is the moving average of the service time, warm or cold.
	serviceTime time.Duration
	// leavingSince is when the upstream first refused a request because it is
	// shutting down. leavingPublished is set once the view shows that too.
	leavingSince     time.Time
	leavingPublished bool
	// notOwned is set while another VM, newOwner, owns the upstream. closed
	// is permanent.
	notOwned bool
	newOwner string
	// handoverSent is when the new owner was last sent the number of requests
	// in flight here.
	handoverSent time.Time
	closed       bool
}

// policy changes single scheduling rules, so that tests can measure the effect
// of each. The zero value applies all rules.
type policy struct {
	fifo, noEarlyRefusal, noReservation, closeOnCancel bool
}

// backoff delays requests to an upstream that has failed or refused one.
type backoff struct {
	end      time.Time
	reason   driftshard.Reason
	failures int
}

// Backoff after failures: the initial and the maximum delay.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

func (p *backoff) start(reason driftshard.Reason, retryAfter time.Duration, now time.Time) {
	wait := min(initialBackoff<<min(p.failures, 8), maxBackoff)
	p.failures++
	p.reason = reason
	p.end = now.Add(max(wait, min(retryAfter, maxBackoff)))
}

// tightObjective is the tightest latency objective among recent requests.
type tightObjective struct {
	objective time.Duration
	seen      time.Time
}

// tightObjectiveTTL is how long a tight objective keeps a slot reserved.
const tightObjectiveTTL = time.Second

func (u *tightObjective) record(objective time.Duration, now time.Time) {
	if objective <= u.objective || now.Sub(u.seen) > tightObjectiveTTL {
		u.objective, u.seen = objective, now
	}
}

func newDispatcher(
	u drifttable.Upstream, events driftevent.Recorder, checker *driftcheck.Checker, p policy, now time.Time,
) *dispatcher {
	l := &dispatcher{
		name: u.Name, events: events, checker: checker, policy: p, upstream: u,
		queue: queue{size: queueSize}, pool: newPool(u.Slots, u.MaxConnections), ids: newIDTable(),
	}
	l.limiter = newLimiter(min(u.Slots, l.pool.size), now)
	return l
}

// enqueue adds a request to the queue and grants free slots. It returns a
// result if the request is not queued, or nil.
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

// checkAdmission returns a refusal if the request cannot get a slot before its
// deadline, or if the dispatcher accepts no request at present.
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

// checkAvailable returns a refusal if the dispatcher may dispatch no request
// at all. A new owner dispatches nothing before hold, unless the previous owner
// has reported that it has nothing in flight.
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

// wouldBeLate estimates whether a request would miss its deadline behind
// those ahead of it. An idle dispatcher accepts every request, so that a
// wrong estimate gets corrected.
func (l *dispatcher) wouldBeLate(t *queuedRequest, now time.Time) bool {
	busy := l.busy(now)
	if busy == 0 && l.queue.len() == 0 {
		return false
	}
	queuePosition := l.queue.countAhead(t.key) + 1 - (l.limiter.limit - busy)
	if queuePosition <= 0 {
		return now.Add(l.serviceTime / 2).After(t.request.Deadline)
	}
	wait := l.serviceTime * time.Duration(queuePosition) / time.Duration(l.limiter.limit)
	required := time.Duration(lateMargin * float64(wait+l.serviceTime))
	return now.Add(required).After(t.request.Deadline)
}

// lateMargin is the ratio of the time that a request must have left to its
// estimated time, if it has to wait. With the margin, most admitted requests
// finish before their deadline.
const lateMargin = 1.25

// busy returns the number of requests that the upstream may be processing.
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

// grantSlots grants free slots to queued requests.
func (l *dispatcher) grantSlots(now time.Time) {
	l.detectOverdue(now)
	if l.closed || l.notOwned || !l.leavingSince.IsZero() || now.Before(l.backoff.end) {
		return
	}
	for busy := l.busy(now); busy < l.limiter.concurrency(); {
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

// detectOverdue suspects the upstream of being cold if a request in flight is
// overdue, without waiting for its reply.
func (l *dispatcher) detectOverdue(now time.Time) {
	for _, t := range l.inFlight {
		if t.state == sent && l.limiter.overdue(t.request.Class, t.sent, now) {
			l.updateLimiter(func() { l.limiter.enterSuspected(now) })
			return
		}
	}
}

// nextToGrant returns the request that gets the next slot, or nil if the
// queue is empty or the last free slot stays reserved.
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

// Reservation of the last free slot: it stays free if the next request has more
// than relaxedFactor times the tightest objective left, if reserveFactor service
// times do not fit into that objective, and if the limit is at least
// minReservableLimit.
const (
	relaxedFactor      = 4
	reserveFactor      = 2
	minReservableLimit = 2
)

// reserved reports whether the last free slot is kept for a request with a
// tight latency objective, which would miss it behind a long request.
func (l *dispatcher) reserved(t *queuedRequest, busy int, now time.Time) bool {
	if l.policy.noReservation || l.limiter.limit < minReservableLimit || l.limiter.limit-busy > 1 {
		return false
	}
	if now.Sub(l.tightest.seen) > tightObjectiveTTL || reserveFactor*l.serviceTime <= l.tightest.objective {
		return false
	}
	return t.key.Sub(now) > relaxedFactor*l.tightest.objective
}

// cannotFinish reports whether a request can no longer finish before its
// deadline.
func (l *dispatcher) cannotFinish(t *queuedRequest, busy int, now time.Time) bool {
	if !now.Before(t.request.Deadline) {
		return true
	}
	if l.policy.noEarlyRefusal || busy == 0 {
		return false
	}
	return now.Add(l.serviceTime / 2).After(t.request.Deadline)
}

// refuse ends a request that has not been sent and signals the goroutine that
// waits for it.
func (l *dispatcher) refuse(t *queuedRequest, refusal driftshard.NotRun) {
	t.state = ended
	refusal.Load = l.load()
	t.refusal = refusal
	if t.request.NonIdempotent {
		l.ids.forget(t.request.Query)
	}
	t.signal()
}

// refuseAll refuses every queued request.
func (l *dispatcher) refuseAll(refusal driftshard.NotRun) {
	for l.queue.len() > 0 {
		t := l.queue.heap[0]
		l.queue.remove(t)
		l.refuse(t, refusal)
	}
}

// releaseSlot frees the slot of a request.
func (l *dispatcher) releaseSlot(t *queuedRequest) {
	for i, other := range l.inFlight {
		if other == t {
			l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
			return
		}
	}
}

// load returns the load to report with a result.
func (l *dispatcher) load() driftshard.Load {
	return driftshard.Load{
		Queue: l.queue.len(), InFlight: len(l.inFlight) + len(l.orphans) + l.previousInFlight, Limit: l.limiter.limit,
		Cold: l.limiter.cold(), ServiceTime: l.serviceTime,
	}
}

// updateLimiter applies a change to the limiter and records an event if the
// upstream warmed up or cooled down, or if the limit changed.
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
