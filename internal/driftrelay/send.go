package driftrelay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// replyMargin is how much less time an upstream gets than is left, for the
// reply to come back.
const replyMargin = 3 * time.Millisecond

// startAttempt prepares to send the request to the upstream, over an idle connection
// or a new one. The caller holds the lock, and runs send after it has released
// it. The result is delivered once.
func (r *Relay) startAttempt(q *Query, e *upstreamState, expected time.Duration, deliver deliverFunc) (f *attempt, send func()) {
	now := time.Now()
	f = &attempt{upstream: e, started: now, expected: expected, version: q.Table.Config.Version}
	e.inFlight = append(e.inFlight, f)
	r.sendRate.count++
	r.checker.NotLeaving(q.Request.ID, e.ID, e.leavingAt, now)
	r.checker.NotLeaving(q.Request.ID, e.ID, e.removedAt, now)
	r.checker.NotOut(q.Request.ID, e.ID, r.outSince[e.Domain], now)
	if now.Before(e.coldUntil) {
		e.coldSent = count(e.coldSent, now, time.Second)
		r.checkCold(q, e, now)
	}
	if c := e.popIdleConn(now, !q.Route.Idempotent); c != nil {
		f.conn, f.sent = c, true
		return f, func() { r.sendAttempt(f, q, deliver) }
	}
	e.openConns++
	return f, func() { go r.dialAndSend(f, q, deliver) }
}

// checkCold asserts that a cold upstream gets no more than this VM's share of
// what it bears a second. The caller holds the lock.
func (r *Relay) checkCold(q *Query, e *upstreamState, now time.Time) {
	service, _ := q.Table.Service(e.Service)
	share := r.coldShare(service)
	if share > 0 {
		sent := sum(e.coldSent, now.Add(-time.Second), now)
		r.checker.ColdLimit(q.Request.ID, e.ID, int(sent), int(max(1, share)))
	}
}

// deliverFunc takes the result of a flight.
type deliverFunc func(*attempt, driftexchange.Result)

// dialAndSend opens a connection for the flight and sends the request on it.
func (r *Relay) dialAndSend(f *attempt, q *Query, deliver deliverFunc) {
	c, err := r.dial(context.Background(), f.upstream)
	if err != nil {
		r.finishAttempt(f, q, driftexchange.NotRun{Err: err}, deliver)
		return
	}
	r.mu.Lock()
	abandoned := f.abandoned
	f.conn, f.sent = c, !abandoned
	r.mu.Unlock()
	if abandoned {
		r.finishAttempt(f, q, driftexchange.NotRun{Err: errAbandoned}, deliver)
		return
	}
	r.sendAttempt(f, q, deliver)
}

const errAbandoned = errors.ConstError("no longer needed")

func (r *Relay) sendAttempt(f *attempt, q *Query, deliver deliverFunc) {
	deadline := q.Deadline.Add(-replyMargin)
	f.conn.Send(q.Request, f.upstream.ID, deadline, func(result driftexchange.Result) {
		r.finishAttempt(f, q, result, deliver)
	})
}

// finishAttempt notes what the result says of the upstream, gives the connection
// back and delivers the result.
func (r *Relay) finishAttempt(f *attempt, q *Query, result driftexchange.Result, deliver deliverFunc) {
	now := time.Now()
	r.mu.Lock()
	e := f.upstream
	e.removeAttempt(f)
	switch result := result.(type) {
	case driftexchange.Done:
		e.markReachable()
		failed := result.Reply.Status >= minFailureStatus
		e.recordOutcome(now, failed, false)
		if !failed {
			r.recordServiceTime(f, q, now)
		}
		r.recordLoad(e, result.Reply.Header.Get(r.headers.Load), now)
	case driftexchange.NotRun:
		r.recordNotRun(f, result, now)
	case driftexchange.Unknown:
		if !f.abandoned && now.Before(q.Deadline.Add(-2*replyMargin)) {
			e.recordOutcome(now, true, false)
		}
	}
	if f.conn != nil && f.conn.Usable(now) && e.removedAt.IsZero() {
		e.idleConns = append(e.idleConns, f.conn)
	} else if f.conn != nil {
		f.conn.Close()
	}
	r.mu.Unlock()
	deliver(f, result)
}

// minFailureStatus is the lowest status of a failure of the upstream itself.
const minFailureStatus = 500

func (r *Relay) recordNotRun(f *attempt, result driftexchange.NotRun, now time.Time) {
	e := f.upstream
	switch {
	case result.Misdirected:
		e.removedAt = now.Add(-removedGrace)
	case result.Refused:
		e.markReachable()
		e.recordOutcome(now, false, true)
	case !errors.Is(result.Err, errAbandoned):
		e.markUnreachable(now)
	}
}

func (r *Relay) recordLoad(e *upstreamState, text string, now time.Time) {
	if load, ok := driftexchange.ParseLoad(text); ok {
		e.load, e.loadAt = load, now
	}
}

// recordServiceTime notes how long a request took, for the upstream and for its class.
func (r *Relay) recordServiceTime(f *attempt, q *Query, now time.Time) {
	took := now.Sub(f.started)
	typical := r.typicalTime(q.Route)
	f.upstream.recordServiceTime(now, took, typical)
	bounded := min(took, 3*typical)
	r.typicalTimes[typicalTimeKey(q.Route)] = typical + time.Duration(typicalTimeGain*float64(bounded-typical))
}

// typicalTimeGain is the weight of a new observation of a class.
const typicalTimeGain = 0.02

// typicalTime returns how long a request of the class usually takes at an
// upstream. The caller holds the lock.
func (r *Relay) typicalTime(route *driftroute.Route) time.Duration {
	if usual, ok := r.typicalTimes[typicalTimeKey(route)]; ok {
		return usual
	}
	return route.LatencyObjective / initialTypicalDivisor
}

// typicalTimeKey tells the times of upstreams apart from those of other VMs, which
// answer for all shards.
func typicalTimeKey(route *driftroute.Route) string {
	if isForward(route) {
		return route.Name + forwardService
	}
	return route.Name
}

// initialTypicalDivisor is the part of its objective that a class is taken to need
// before it has been observed.
const initialTypicalDivisor = 6
