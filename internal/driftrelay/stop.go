package driftrelay

import (
	"fmt"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Planned stops: a VM that is about to stop answers each request that it has
// taken before its time is over. It takes only those that end in time, starts no
// attempt that doesn't, and answers what is left at the end: as not run if nothing
// was sent, otherwise with a status that promises nothing.
//
// A refusal costs a caller one more attempt, at another VM. A request that is taken and
// does not end costs it the wait, and if it may run only once, its outcome. Requests that
// may be repeated are therefore taken if they most likely end in time, others only if
// they certainly do.

// retryElsewhere is when a caller that a stopping VM refuses may try again: the
// other VMs take its request at once.
const retryElsewhere = 5 * time.Millisecond

// FitsBeforeStop reports whether a request, or an attempt of it, that starts now
// ends before the VM stops. It handles a planned stop under load, with classes
// that take longer than what is left of the stop: those would be given up unfinished,
// and another VM can serve them from the start.
//
// Left is the time until the VM stops, untilDeadline that until the caller's
// deadline, and expected how long the request is expected to take, 0 if unknown.
func FitsBeforeStop(left, untilDeadline, expected time.Duration) bool {
	needed := untilDeadline
	if expected > 0 {
		needed = min(needed, expected)
	}
	return needed <= left
}

// StopBy tells the relay that the VM stops, and when all requests must have their
// answers. Only the first call has an effect.
func (r *Relay) StopBy(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopAt.IsZero() {
		return
	}
	r.stopAt = at
	close(r.stopping)
}

// answerBy returns by when a query is answered: at its deadline, or when the VM
// stops. The caller holds the lock.
func (r *Relay) answerBy(q *Query) time.Time {
	if !r.stopAt.IsZero() && r.stopAt.Before(q.Deadline) {
		return r.stopAt
	}
	return q.Deadline
}

// fitsBeforeStop reports whether a request of the route that starts now ends before
// the VM stops, if it does. While no other VM serves callers, requests that may be
// repeated are tried all the same. The caller holds the lock.
func (r *Relay) fitsBeforeStop(route *driftroute.Route, deadline, now time.Time) bool {
	if r.stopAt.IsZero() || (!r.othersServe() && route.Idempotent) {
		return true
	}
	return FitsBeforeStop(r.stopAt.Sub(now), deadline.Sub(now), r.expectedTime(route, now))
}

// expectedTime returns how long a request that a stopping VM takes is expected to last,
// 0 if only its deadline tells. A class of which nothing is known is expected to meet its
// objective if its requests may be repeated. The caller holds the lock.
func (r *Relay) expectedTime(route *driftroute.Route, now time.Time) (expected time.Duration) {
	if !route.Idempotent && r.othersServe() {
		return 0
	}
	if times, ok := r.recentTimes[typicalTimeKey(route)]; ok {
		expected = times.expected(now)
	}
	if expected == 0 && route.Idempotent {
		expected = time.Duration(fewTimesFactor * float64(route.LatencyObjective))
	}
	return expected
}

// othersServe reports whether another VM serves callers: one that is alive, ready
// and not leaving. The caller holds the lock.
func (r *Relay) othersServe() bool { return len(r.peers) > 0 }

// stopRetryAfter returns when a caller that is refused because the VM stops may try
// again.
func (r *Relay) stopRetryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.othersServe() {
		return retryElsewhere
	}
	return retrySoon
}

// recordTime records how long a query took from its arrival to its answer, or until
// its deadline. Of a class that may be repeated, only those that were answered count: one
// upstream that does not answer tells nothing of the others. A query that was refused
// tells nothing of those that run.
func (r *Relay) recordTime(q *Query, cause Cause, now time.Time) {
	switch cause {
	case CauseServed, CausePartial, CausePassed:
	case CauseTimeout:
		if q.Route.Idempotent {
			return
		}
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := typicalTimeKey(q.Route)
	times, ok := r.recentTimes[key]
	if !ok {
		times = newRecentTimes()
		r.recentTimes[key] = times
	}
	times.add(now, now.Sub(q.Arrived))
}

// handleStop takes the VM's stop into account for a query that is being served.
func (s *scatter) handleStop() {
	s.stopping = nil
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	s.answerBy = s.relay.answerBy(s.query)
}

// startsBeforeStop reports whether the query, which has just arrived, is to be
// served, and sets by when it is answered.
func (s *scatter) startsBeforeStop(now time.Time) bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	s.answerBy = s.relay.answerBy(s.query)
	fits := s.relay.fitsBeforeStop(s.query.Route, s.query.Deadline, now)
	if !fits && len(s.requests) > 0 {
		s.requests[0].notes = append(s.requests[0].notes, s.stopDetail(now))
	}
	return fits
}

// stopDetail describes, for the log, why a stopping VM does not start a request. The
// caller holds the relay's lock.
func (s *scatter) stopDetail(now time.Time) string {
	r := s.relay
	return fmt.Sprintf("%d ms until the VM stops, expected to take %d ms, deadline in %d ms", r.stopAt.Sub(now).Milliseconds(),
		r.expectedTime(s.query.Route, now).Milliseconds(), s.query.Deadline.Sub(now).Milliseconds())
}

// fitsBeforeStop reports whether an attempt for the request that starts now ends
// before the VM stops, if it does.
func (s *scatter) fitsBeforeStop(l *shardRequest, now time.Time) bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if s.relay.fitsBeforeStop(s.query.Route, s.query.Deadline, now) {
		return true
	}
	if !l.stopped {
		l.stopped = true
		l.notes = append(l.notes, "no time for another: "+s.stopDetail(now))
	}
	return false
}

// anyStopped reports whether an attempt was not made as the VM stops.
func (s *scatter) anyStopped() bool {
	return slices.ContainsFunc(s.requests, func(l *shardRequest) bool { return l.stopped })
}

// endCause returns the cause of the answer to a query for which nothing more is
// done: the given one, unless that is because the VM stops. Stopped is set if an
// attempt was not made for want of time.
func (s *scatter) endCause(stopped, deadlinePassed bool, cause Cause) Cause {
	if stopped || (deadlinePassed && s.answerBy.Before(s.query.Deadline)) {
		return CauseStopping
	}
	return cause
}
