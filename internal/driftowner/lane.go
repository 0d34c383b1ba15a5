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

// lane holds the queue, the limit, the connections and the remembered ids of
// one upstream. Its methods take the current time and open no sockets.
type lane struct {
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
	// flights are the tickets that hold a slot.
	flights []*ticket
	// ghosts are when the upstream is surely done with requests whose
	// connection was closed under them.
	ghosts []time.Time
	// foreign is the number of requests that the earlier owner still has in
	// flight, counted until foreignEnd, and foreignFrom is its name.
	foreign     int
	foreignEnd  time.Time
	foreignFrom string
	// cleared is when the earlier owner said that it has nothing in flight.
	cleared time.Time
	pause   pause
	// renew makes the next attempt open a new connection.
	renew bool
	// urgent is the tightest latency target seen lately.
	urgent urgency
	// service is the smoothed time of a request, warm or cold.
	service time.Duration
	// parted is when the upstream first said that it leaves, and marked is
	// set once the view has said so too.
	parted time.Time
	marked bool
	// lost is set while another VM owns the upstream, closed for good.
	lost  bool
	owner string
	// told is when the new owner last heard of requests in flight here.
	told   time.Time
	closed bool
}

// policy switches parts of the decisions off, so that each can be measured.
type policy struct {
	fifo, patient, unreserved, closing bool
}

// pause keeps requests from an upstream that has failed or shed.
type pause struct {
	end      time.Time
	reason   driftshard.Reason
	failures int
}

// Pauses after failures: the first, and the longest.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

func (p *pause) start(reason driftshard.Reason, asked time.Duration, now time.Time) {
	wait := min(firstPause<<min(p.failures, 8), maxPause)
	p.failures++
	p.reason = reason
	p.end = now.Add(max(wait, min(asked, maxPause)))
}

// urgency is the tightest latency target of the requests of late.
type urgency struct {
	target time.Duration
	seen   time.Time
}

// urgencyLife is how long a tight target keeps a slot reserved.
const urgencyLife = time.Second

func (u *urgency) note(target time.Duration, now time.Time) {
	if target <= u.target || now.Sub(u.seen) > urgencyLife {
		u.target, u.seen = target, now
	}
}

func newLane(
	u drifttable.Upstream, events driftevent.Recorder, checker *driftcheck.Checker, p policy, now time.Time,
) *lane {
	l := &lane{
		name: u.Name, events: events, checker: checker, policy: p, upstream: u,
		queue: queue{size: queueSize}, pool: newPool(u.Slots, u.MaxConnections), ids: newIDTable(),
	}
	l.limiter = newLimiter(min(u.Slots, l.pool.size), now)
	return l
}

// enter admits a request to the queue and grants it a slot if one is free.
// A result that is not nil ends the request here.
func (l *lane) enter(t *ticket, hold, now time.Time) driftshard.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := t.request.Query
	if t.request.Once && l.ids.has(id, now) {
		return driftshard.Unknown{Reason: driftshard.ReasonDuplicate}
	}
	if refusal := l.admit(t, hold, now); refusal.Reason != "" {
		refusal.Load = l.load()
		return refusal
	}
	if evicted := l.queue.push(t); evicted != nil {
		if evicted == t {
			return driftshard.NotRun{Reason: driftshard.ReasonFull, Load: l.load()}
		}
		l.refuse(evicted, driftshard.NotRun{Reason: driftshard.ReasonFull})
	}
	if t.request.Once {
		l.ids.add(id, now)
	}
	l.urgent.note(t.key.Sub(t.arrived), now)
	l.pump(now)
	return nil
}

// admit refuses what surely gets no slot in time.
func (l *lane) admit(t *ticket, hold, now time.Time) (refusal driftshard.NotRun) {
	if refusal := l.barred(hold, now); refusal.Reason != "" {
		return refusal
	}
	switch {
	case now.Before(l.pause.end):
		return driftshard.NotRun{Reason: l.pause.reason, Retry: l.pause.end.Sub(now)}
	case t.request.Once && l.ids.full():
		return driftshard.NotRun{Reason: driftshard.ReasonFull}
	}
	if len(l.flights) == 0 {
		l.observe(func() { l.limiter.rest(now) })
	}
	if !l.policy.patient && l.late(t, now) {
		return driftshard.NotRun{Reason: l.lateReason()}
	}
	return driftshard.NotRun{}
}

// barred tells why the lane may dispatch nothing at all.
func (l *lane) barred(hold, now time.Time) (refusal driftshard.NotRun) {
	switch {
	case l.closed:
		return driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case l.lost:
		return driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: l.owner}
	case !l.parted.IsZero():
		return driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case now.Before(hold) && hold.Sub(l.cleared) > handoverLife:
		return driftshard.NotRun{Reason: driftshard.ReasonHold, Retry: hold.Sub(now)}
	}
	return driftshard.NotRun{}
}

func (l *lane) lateReason() driftshard.Reason {
	if l.limiter.cold() {
		return driftshard.ReasonCold
	}
	return driftshard.ReasonLate
}

// late estimates whether a request misses its deadline behind those that go
// before it. An idle lane takes every request, so that its estimate cannot
// stay wrong.
func (l *lane) late(t *ticket, now time.Time) bool {
	busy := l.busy(now)
	if busy == 0 && l.queue.len() == 0 {
		return false
	}
	turns := l.queue.ahead(t.key) + 1 - (l.limiter.limit - busy)
	if turns <= 0 {
		return now.Add(l.service / 2).After(t.request.Deadline)
	}
	wait := l.service * time.Duration(turns) / time.Duration(l.limiter.limit)
	need := time.Duration(lateMargin * float64(wait+l.service))
	return now.Add(need).After(t.request.Deadline)
}

// lateMargin is the share of the estimated time that a request which has to
// wait must have left, so that most of those admitted end in time.
const lateMargin = 1.25

// busy is the number of requests that the upstream may be working on.
func (l *lane) busy(now time.Time) int {
	kept := l.ghosts[:0]
	for _, end := range l.ghosts {
		if now.Before(end) {
			kept = append(kept, end)
		}
	}
	l.ghosts = kept
	if !now.Before(l.foreignEnd) {
		l.foreign = 0
	}
	return len(l.flights) + len(l.ghosts) + l.foreign
}

// pump grants free slots to waiting requests.
func (l *lane) pump(now time.Time) {
	l.watch(now)
	if l.closed || l.lost || !l.parted.IsZero() || now.Before(l.pause.end) {
		return
	}
	for busy := l.busy(now); busy < l.limiter.limit; {
		t := l.choose(busy, now)
		if t == nil {
			return
		}
		l.queue.remove(t)
		l.queue.grants++
		if l.hopeless(t, busy, now) {
			l.refuse(t, driftshard.NotRun{Reason: driftshard.ReasonLate})
			continue
		}
		t.state = granted
		l.flights = append(l.flights, t)
		t.signal()
		busy++
	}
}

// watch takes requests that are overdue in flight as a sign of a cold
// upstream, before any reply.
func (l *lane) watch(now time.Time) {
	for _, t := range l.flights {
		if t.state == sent && l.limiter.overdue(t.request.Class, t.sent, now) {
			l.observe(func() { l.limiter.suspect(now) })
			return
		}
	}
}

// choose returns the request to grant next, or nil when the last free slot
// stays reserved.
func (l *lane) choose(busy int, now time.Time) *ticket {
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
	relaxedFactor  = 4
	reserveFactor  = 2
	minReserveable = 2
)

// reserved reports whether the last free slot stays free for a request with
// a tight latency target, which would miss it behind a long request.
func (l *lane) reserved(t *ticket, busy int, now time.Time) bool {
	if l.policy.unreserved || l.limiter.limit < minReserveable || l.limiter.limit-busy > 1 {
		return false
	}
	if now.Sub(l.urgent.seen) > urgencyLife || reserveFactor*l.service <= l.urgent.target {
		return false
	}
	return t.key.Sub(now) > relaxedFactor*l.urgent.target
}

// hopeless reports whether a request cannot end in time any more.
func (l *lane) hopeless(t *ticket, busy int, now time.Time) bool {
	if !now.Before(t.request.Deadline) {
		return true
	}
	if l.policy.patient || busy == 0 {
		return false
	}
	return now.Add(l.service / 2).After(t.request.Deadline)
}

// refuse ends a request that has not been sent.
func (l *lane) refuse(t *ticket, refusal driftshard.NotRun) {
	t.state = ended
	refusal.Load = l.load()
	t.refusal = refusal
	if t.request.Once {
		l.ids.forget(t.request.Query)
	}
	t.signal()
}

// refuseAll ends every request that waits.
func (l *lane) refuseAll(refusal driftshard.NotRun) {
	for l.queue.len() > 0 {
		t := l.queue.heap[0]
		l.queue.remove(t)
		l.refuse(t, refusal)
	}
}

// drop takes a ticket off its slot.
func (l *lane) drop(t *ticket) {
	for i, other := range l.flights {
		if other == t {
			l.flights = append(l.flights[:i], l.flights[i+1:]...)
			return
		}
	}
}

// load describes the lane to the front.
func (l *lane) load() driftshard.Load {
	return driftshard.Load{
		Queue: l.queue.len(), Flight: len(l.flights) + len(l.ghosts) + l.foreign, Limit: l.limiter.limit,
		Cold: l.limiter.cold(), Service: l.service,
	}
}

// observe runs a change of the limiter and records what came of it.
func (l *lane) observe(change func()) {
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
