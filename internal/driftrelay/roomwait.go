package driftrelay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftspeed"
)

// turns is what a scatter knows of its turns at services that are short of slots.
type turns struct {
	// wake receives when a request gets its turn.
	wake chan struct{}
	// noRoom is set once a request was refused as its turn would come too late, and
	// roomWait is how long it would have waited.
	noRoom   bool
	roomWait time.Duration
}

// admit reports whether the request may go to an upstream now. If the service is short
// of slots and others go first, the request waits for its turn, or is exhausted if that
// comes too late. The caller holds the lock.
func (s *scatter) admit(l *shardRequest, now time.Time) bool {
	r, q := s.relay, s.query
	m := r.roomOf(q.Table, l.service)
	if m == nil {
		return true
	}
	r.checkRoom(m, now)
	if !m.inForce(now) || !r.anyUsable(l.service, l.tried, now) {
		s.endTurn(l, now)
		return true
	}
	if len(l.inFlight) > 0 {
		return len(m.waiters) == 0 && m.free(now)
	}
	if l.turn == nil {
		l.turn = &waiter{room: m, claim: m.claimOf(q), due: q.Arrived.Add(q.Route.LatencyObjective), wake: s.wake}
		l.turn.claim.waiting++
		m.waiters = append(m.waiters, l.turn)
		l.turn.claim.update(now)
	}
	r.dispatch(m, now)
	if l.turn.granted {
		return true
	}
	if wait := m.expectedWait(l.turn, now); now.Add(wait + m.typical).After(s.answerBy) {
		l.notes = append(l.notes, "no room in time")
		s.noRoom, s.roomWait = true, max(s.roomWait, wait)
		s.endTurn(l, now)
		l.waiting, l.exhausted = false, true
		r.metrics.countRoomRefusal(q.Priority())
		return false
	}
	if !l.waiting {
		l.notes = append(l.notes, "waits for its turn")
		r.metrics.countRoomWait(q.Priority())
	}
	l.waiting = true
	return false
}

// endTurn ends the wait of a request for its turn, or its turn. The caller holds the
// lock.
func (s *scatter) endTurn(l *shardRequest, now time.Time) {
	if l.turn != nil {
		w := l.turn
		l.turn = nil
		s.relay.leave(w, now)
	}
}

// useTurn ends the turn of a request that is sent now, or puts it back if no upstream
// has room. The caller holds the lock.
func (s *scatter) useTurn(l *shardRequest, sent bool, now time.Time) {
	switch {
	case l.turn == nil:
	case sent || !l.turn.granted || !s.relay.anyUsable(l.service, l.tried, now):
		s.endTurn(l, now)
	default:
		s.relay.block(l.turn, now)
	}
}

// endTurns ends the turns of all requests.
func (s *scatter) endTurns() {
	r, now := s.relay, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range s.requests {
		s.endTurn(l, now)
	}
}

// roomRecheck is how long a request waits for its turn before it is asked again whether
// that comes in time.
func (s *scatter) roomRecheck() time.Duration {
	return max(placementInterval, s.query.Route.LatencyObjective/4)
}

// hasRoom reports whether an upstream that has not been tried has room.
func (s *scatter) hasRoom(l *shardRequest, now time.Time) bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if !s.admit(l, now) {
		return false
	}
	_, ok := s.chooseNext(l, s.relay.typicalTime(s.query.Route), now)
	return ok
}

// anyUsable reports whether an untried upstream of the service may get requests
// once it has capacity. The caller holds the lock.
func (r *Relay) anyUsable(service string, tried []*upstreamState, now time.Time) bool {
	for _, e := range r.upstreamsOf(service) {
		if !slices.Contains(tried, e) && e.acceptsRequests(now, r.outSince[e.Domain], r.graces) {
			return true
		}
	}
	return false
}

// roomCause returns the cause of a refusal: want of room, if that is why.
func (s *scatter) roomCause(cause Cause) Cause {
	if s.noRoom {
		return CauseOverload
	}
	return cause
}

// roomReturnDelay returns when a caller may return that was refused for want of room: the
// most urgent first, spread over a span.
func (s *scatter) roomReturnDelay() time.Duration {
	if !s.noRoom {
		return 0
	}
	return ReturnDelay(min(max(s.roomWait, retrySoon), retryOverload), s.query.Priority(), rand.Float64())
}

// waitsBound reports whether this VM has as many requests at an upstream of a short
// service as its part allows there: what waits there could not go elsewhere. The caller
// holds the lock.
func (r *Relay) waitsBound(m *room, e *upstreamState, now time.Time) bool {
	if m == nil || !m.inForce(now) || m.slots <= 0 {
		return false
	}
	bound := math.Ceil(maxPartFactor * m.part * float64(max(1, e.Slots)) / m.slots)
	return float64(len(e.inFlight)) >= max(minUpstreamPart, bound)
}

// queuePrice returns the price of a place in the queue of an upstream of a short service,
// expressed as time. It handles some upstreams that are slower than others, or were seen
// to be slow while all queues were full: the queues of the others would be long while
// slots of these are idle, and what waits there could not go elsewhere.
func (m *room) queuePrice(f Candidate, now time.Time) time.Duration {
	if m == nil || !m.inForce(now) {
		return 0
	}
	slots := float64(max(1, f.Slots))
	return time.Duration(queueWeight * driftspeed.ExpectedExcess(f.Backlog+1-slots, f.Deviation) / slots * float64(f.TypicalTime))
}

const (
	// queueWeight is the price of a wait in the queue of an upstream, in times of that wait.
	queueWeight = 4
	// maxPartFactor is how many times its even part of an upstream a VM may have there, and
	// minUpstreamPart is the least that it may have.
	maxPartFactor   = 2
	minUpstreamPart = 2
)
