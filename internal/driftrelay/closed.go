package driftrelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// Closures: an upstream that turns a request away and names a time wants no requests
// of this VM for so long. It gets none; they go to the others of its service. If none is
// left, requests are refused at once, and their callers are told when to return.

// closure is the time for which an upstream is closed to this VM.
type closure struct {
	since, until time.Time
	// trial is set if one request at a time may find out whether it has ended: a
	// longer time was named, or the upstream has restarted meanwhile.
	trial bool
}

const (
	// maxClosure bounds a closure, so that a faulty value does not take an upstream
	// out of use for good.
	maxClosure = time.Minute
	// returnSpread is the span over which callers of one priority return.
	returnSpread = 250 * time.Millisecond
	// maxReturnRank bounds the priorities that return one after the other.
	maxReturnRank = 4
)

// ReturnDelay returns when a caller may return whose request no upstream of its service
// may get for closedFor, 0 if some may. Jitter is random in [0, 1). It handles a
// load that is refused for seconds: callers that return together would be refused
// together again, so they return over a span, the most urgent (priority 0) first.
func ReturnDelay(closedFor time.Duration, priority int, jitter float64) time.Duration {
	if closedFor <= 0 {
		return 0
	}
	rank := min(max(priority, 0), maxReturnRank)
	return closedFor + time.Duration((float64(rank)+jitter)*float64(returnSpread))
}

// allows reports whether the closure allows a request now, beside those in flight.
func (c closure) allows(now time.Time, inFlight int) bool {
	return !now.Before(c.until) && (!c.trial || inFlight == 0)
}

// recordClosure closes the upstream if it turned the attempt away for some time, and
// otherwise ends a trial. The caller holds the lock.
func (r *Relay) recordClosure(f *attempt, result driftexchange.Result, now time.Time) {
	e := f.upstream
	header := replyHeader(result)
	// An answer of another VM speaks of that VM.
	if header == nil || e.Service == forwardService {
		return
	}
	wait, ok := driftexchange.ParseRetryAfter(header.Values(r.headers.RetryAfter))
	if !ok || !turnsAway(replyStatus(result)) {
		if !now.Before(e.closed.until) {
			e.closed.trial = false
		}
		return
	}
	r.metrics.countTurnedAway(e.Service)
	bounded := min(wait, maxClosure)
	until := now.Add(bounded)
	if !until.After(e.closed.until) {
		return
	}
	if e.closed.since.IsZero() {
		e.closed.since = now
		r.events.Record(driftevent.UpstreamClosed, "", e.ID, fmt.Sprintf("for %.1f s", bounded.Seconds()))
	}
	e.closed.until, e.closed.trial = until, wait > maxClosure
	if n := r.noticeOf(e.ID, e.Incarnation); n != nil {
		n.closed = e.closed
	}
}

// replyStatus returns the status by which the upstream answered, 0 if there is none.
func replyStatus(result driftexchange.Result) int {
	switch result := result.(type) {
	case driftexchange.Done:
		return result.Reply.Status
	case driftexchange.NotRun:
		return result.Status
	default:
		return 0
	}
}

// recordOpened records the end of a closure. The caller holds the lock.
func (r *Relay) recordOpened(e *upstreamState, now time.Time) {
	if !e.closed.since.IsZero() && !now.Before(e.closed.until) {
		r.events.Record(driftevent.UpstreamOpened, "", e.ID, fmt.Sprintf("after %.1f s", now.Sub(e.closed.since).Seconds()))
		e.closed.since = time.Time{}
	}
}

// opensAt returns when the first upstream of the service that has not been tried opens,
// and false if one is open or none is closed. The caller holds the lock.
func (r *Relay) opensAt(service string, tried []*upstreamState, now time.Time) (at time.Time, closed bool) {
	for _, e := range r.upstreamsOf(service) {
		if slices.Contains(tried, e) || !e.inService(now, r.outSince[e.Domain], r.graces) {
			continue
		}
		if e.closed.allows(now, len(e.inFlight)) {
			return at, false
		}
		if !closed || e.closed.until.Before(at) {
			at, closed = e.closed.until, true
		}
	}
	return at, closed
}

// opensInTime reports whether upstreams of the service are closed to the request but
// one opens while it may wait. The caller holds the lock.
func (s *scatter) opensInTime(l *shardRequest, now time.Time) bool {
	at, closed := s.relay.opensAt(l.service, l.tried, now)
	if !closed {
		return false
	}
	if at.After(s.capacityWaitEnd()) {
		l.notes = append(l.notes, "every upstream has turned this VM away")
		return false
	}
	return now.Before(s.capacityWaitEnd())
}

// returnDelay returns when the caller of a request that is not served may return, 0 if
// no closure is the reason. For an answer of many parts, only as many services must be
// open as its coverage needs.
func (s *scatter) returnDelay(now time.Time) time.Duration {
	r := s.relay
	var waits []time.Duration
	r.mu.Lock()
	for _, l := range s.requests {
		if l.part != nil || !l.exhausted {
			continue
		}
		wait := time.Duration(0)
		if at, closed := r.opensAt(l.service, nil, now); closed {
			wait = at.Sub(now)
		}
		waits = append(waits, wait)
	}
	r.mu.Unlock()
	slices.Sort(waits)
	last := len(waits) - 1 - s.maxMissing
	if last < 0 {
		return 0
	}
	return ReturnDelay(waits[last], s.query.Priority(), rand.Float64())
}

// tooManyClosed reports whether so many services are closed to the query for longer
// than it may wait that it can't be served. Its requests to them are then exhausted, and
// nothing is sent to the others.
func (s *scatter) tooManyClosed(now time.Time) bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	var closed []*shardRequest
	for _, l := range s.requests {
		if at, ok := s.relay.opensAt(l.service, nil, now); ok && at.After(s.capacityWaitEnd()) {
			closed = append(closed, l)
		}
	}
	if len(closed) <= s.maxMissing {
		return false
	}
	for _, l := range closed {
		l.exhausted = true
		l.notes = append(l.notes, "every upstream has turned this VM away")
	}
	return true
}
