package driftrelay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// deadlineMargin is how much less time an upstream gets than is left, for the
// reply to come back.
const deadlineMargin = 3 * time.Millisecond

// launch prepares to send the request to the upstream, over an idle connection
// or a new one. The caller holds the lock, and runs send after it has released
// it. The result is delivered once.
func (r *Relay) launch(q *Query, e *entity, expected time.Duration, deliver deliverFunc) (f *flight, send func()) {
	now := time.Now()
	f = &flight{entity: e, started: now, expected: expected, version: q.Table.Config.Version}
	e.flights = append(e.flights, f)
	r.sends.count++
	r.checker.NotLeaving(q.Request.ID, e.ID, e.leavingAt, now)
	r.checker.NotLeaving(q.Request.ID, e.ID, e.goneAt, now)
	r.checker.NotMarkedOut(q.Request.ID, e.ID, r.out[e.Domain], now)
	if now.Before(e.coldUntil) {
		e.coldSent = count(e.coldSent, now, time.Second)
		r.checkCold(q, e, now)
	}
	if c := e.takeConn(now, !q.Route.Repeat); c != nil {
		f.conn, f.sent = c, true
		return f, func() { r.exchange(f, q, deliver) }
	}
	e.open++
	return f, func() { go r.open(f, q, deliver) }
}

// checkCold asserts that a cold upstream gets no more than this VM's share of
// what it bears a second. The caller holds the lock.
func (r *Relay) checkCold(q *Query, e *entity, now time.Time) {
	service, _ := q.Table.Service(e.Service)
	share := r.coldShare(service)
	if share > 0 {
		sent := sum(e.coldSent, now.Add(-time.Second), now)
		r.checker.WithinColdLimit(q.Request.ID, e.ID, int(sent), int(max(1, share)))
	}
}

// deliverFunc takes the result of a flight.
type deliverFunc func(*flight, driftexchange.Result)

// open opens a connection for the flight and sends the request on it.
func (r *Relay) open(f *flight, q *Query, deliver deliverFunc) {
	c, err := r.dial(context.Background(), f.entity)
	if err != nil {
		r.finish(f, q, driftexchange.NotRun{Err: err}, deliver)
		return
	}
	r.mu.Lock()
	abandoned := f.abandoned
	f.conn, f.sent = c, !abandoned
	r.mu.Unlock()
	if abandoned {
		r.finish(f, q, driftexchange.NotRun{Err: errAbandoned}, deliver)
		return
	}
	r.exchange(f, q, deliver)
}

const errAbandoned = errors.ConstError("no longer needed")

func (r *Relay) exchange(f *flight, q *Query, deliver deliverFunc) {
	deadline := q.End.Add(-deadlineMargin)
	f.conn.Send(q.Request, f.entity.ID, deadline, func(result driftexchange.Result) {
		r.finish(f, q, result, deliver)
	})
}

// finish notes what the result says of the upstream, gives the connection
// back and delivers the result.
func (r *Relay) finish(f *flight, q *Query, result driftexchange.Result, deliver deliverFunc) {
	now := time.Now()
	r.mu.Lock()
	e := f.entity
	e.removeFlight(f)
	switch result := result.(type) {
	case driftexchange.Done:
		e.up()
		failed := result.Reply.Status >= statusFailure
		e.judge(now, failed, false)
		if !failed {
			r.learn(f, q, now)
		}
		r.noteLoad(e, result.Reply.Header.Get(r.headers.Load), now)
	case driftexchange.NotRun:
		r.noteNotRun(f, result, now)
	case driftexchange.Unknown:
		if !f.abandoned && now.Before(q.End.Add(-2*deadlineMargin)) {
			e.judge(now, true, false)
		}
	}
	if f.conn != nil && f.conn.Usable(now) && e.goneAt.IsZero() {
		e.idle = append(e.idle, f.conn)
	} else if f.conn != nil {
		f.conn.Close()
	}
	r.mu.Unlock()
	deliver(f, result)
}

// statusFailure is the lowest status of a failure of the upstream itself.
const statusFailure = 500

func (r *Relay) noteNotRun(f *flight, result driftexchange.NotRun, now time.Time) {
	e := f.entity
	switch {
	case result.Moved:
		e.goneAt = now.Add(-goneGrace)
	case result.Sent:
		e.up()
		e.judge(now, false, true)
	case !errors.Is(result.Err, errAbandoned):
		e.down(now)
	}
}

func (r *Relay) noteLoad(e *entity, text string, now time.Time) {
	if load, ok := driftexchange.ParseLoad(text); ok {
		e.load, e.loadAt = load, now
	}
}

// learn notes how long a request took, for the upstream and for its class.
func (r *Relay) learn(f *flight, q *Query, now time.Time) {
	took := now.Sub(f.started)
	typical := r.typical(q.Route)
	f.entity.learn(now, took, typical)
	bounded := min(took, 3*typical)
	r.usual[usualKey(q.Route)] = typical + time.Duration(usualGain*float64(bounded-typical))
}

// usualGain is the weight of a new observation of a class.
const usualGain = 0.02

// typical returns how long a request of the class usually takes at an
// upstream. The caller holds the lock.
func (r *Relay) typical(route *driftroute.Route) time.Duration {
	if usual, ok := r.usual[usualKey(route)]; ok {
		return usual
	}
	return route.Aim / firstUsual
}

// usualKey tells the times of upstreams apart from those of other VMs, which
// answer for all shards.
func usualKey(route *driftroute.Route) string {
	if isHop(route) {
		return route.Name + hopService
	}
	return route.Name
}

// firstUsual is the part of its objective that a class is taken to need
// before it has been observed.
const firstUsual = 6
