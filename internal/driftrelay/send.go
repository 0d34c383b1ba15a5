package driftrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// replyMargin is subtracted from the time that an upstream is given, to allow
// for the reply's network delay.
const replyMargin = 3 * time.Millisecond

// startAttempt registers an attempt at the upstream, on an idle connection or a
// new one. The caller holds the lock, and calls send after releasing it. The
// result is delivered once.
func (r *Relay) startAttempt(q *Query, e *upstreamState, expected time.Duration, extra bool, deliver deliverFunc) (f *attempt, send func()) {
	now := time.Now()
	f = &attempt{upstream: e, started: now, expected: expected, version: q.Table.Config.Version, incarnation: e.Incarnation}
	r.countLimited(q, e, extra, now)
	e.inFlight = append(e.inFlight, f)
	r.countStarted(q, f, now)
	r.countInFlight(q, 1)
	r.sendRate.count++
	r.speeds.countPlaced(e.Service)
	r.checker.NotLeaving(q.Request.ID, e.ID, e.leavingAt, now)
	r.checker.NotLeaving(q.Request.ID, e.ID, e.removedAt, now)
	r.checker.NotMarkedOut(q.Request.ID, e.ID, r.outSince[e.Domain], now)
	if service, _ := q.Table.Service(e.Service); e.countsAsCold(service, now) {
		e.coldSent = addToBuckets(e.coldSent, now, time.Second)
		r.checkCold(q, e, now)
	}
	if c := e.popIdleConn(now, !q.Route.Idempotent); c != nil {
		f.conn, f.exchange, f.sent = c, c.NewExchange(), true
		return f, func() { r.sendAttempt(f, q, deliver) }
	}
	e.openConns++
	return f, func() { go r.dialAndSend(f, q, deliver) }
}

// countInFlight counts an attempt of the query that begins or ends. The caller
// holds the lock.
func (r *Relay) countInFlight(q *Query, change int) {
	before := q.inFlight > 0
	q.inFlight += change
	after := q.inFlight > 0
	switch {
	case q.answered || before == after:
	case after:
		r.atUpstreams++
	default:
		r.atUpstreams--
	}
}

// checkCold checks that a cold upstream gets no more than this VM's share of
// its published rate. The caller holds the lock.
func (r *Relay) checkCold(q *Query, e *upstreamState, now time.Time) {
	service, _ := q.Table.Service(e.Service)
	if perSecond, limited := r.coldRate(e, service); limited {
		sent := sumBuckets(e.coldSent, now.Add(-time.Second), now)
		r.checker.WithinColdLimit(q.Request.ID, e.ID, int(sent), perSecond)
	}
}

// deliverFunc receives the result of an attempt.
type deliverFunc func(*attempt, driftexchange.Result)

// dialAndSend opens a connection for the attempt and sends the request on it.
func (r *Relay) dialAndSend(f *attempt, q *Query, deliver deliverFunc) {
	c, err := r.dial(context.Background(), f.upstream)
	if err != nil {
		r.finishAttempt(f, q, driftexchange.NotRun{Err: err}, deliver)
		return
	}
	r.mu.Lock()
	var withheld error
	switch {
	case f.abandoned:
		withheld = driftexchange.ErrAborted
	case f.withdrawn(time.Now()):
		withheld = errWithdrawn
	}
	f.conn, f.exchange, f.sent = c, c.NewExchange(), withheld == nil
	r.mu.Unlock()
	if withheld != nil {
		r.finishAttempt(f, q, driftexchange.NotRun{Err: withheld}, deliver)
		return
	}
	r.sendAttempt(f, q, deliver)
}

// errWithdrawn is that of attempts that were not sent on their connection, as the
// upstream has asked meanwhile for no more requests.
const errWithdrawn = errors.ConstError("withdrawn from the upstream")

func (r *Relay) sendAttempt(f *attempt, q *Query, deliver deliverFunc) {
	deadline := q.Deadline.Add(-replyMargin)
	f.exchange.Send(q.Request, f.upstream.ID, deadline, func(result driftexchange.Result) {
		r.finishAttempt(f, q, result, deliver)
	})
}

// finishAttempt updates the state of the upstream by the result, returns the
// connection to the pool and delivers the result.
func (r *Relay) finishAttempt(f *attempt, q *Query, result driftexchange.Result, deliver deliverFunc) {
	now := time.Now()
	r.mu.Lock()
	e := f.upstream
	e.removeAttempt(f)
	r.countInFlight(q, -1)
	header := replyHeader(result)
	r.recordClosure(f, result, now)
	r.recordRateLimit(f, header, now)
	sign, leaves := r.recordLeaving(f, header, now)
	switch result := result.(type) {
	case driftexchange.Done:
		r.holdReply(q, f, result.Reply)
		e.markReachable()
		e.proveConns(f.conn, f.started)
		failed := result.Reply.Status >= minFailureStatus
		e.recordOutcome(now, failed, false)
		r.recordLoad(e, header.Get(r.headers.Load), true, now)
		if !failed {
			r.recordServiceTime(f, q, len(result.Reply.Body), now)
			r.recordNoRateLimit(f, header, now)
		}
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
	r.countEnded(f, now)
	r.mu.Unlock()
	if leaves {
		r.reportLeaving(sign)
	}
	deliver(f, result)
}

// replyHeader returns the header by which the upstream answered, nil if there is none
// or if another upstream answered in its place.
func replyHeader(result driftexchange.Result) http.Header {
	switch result := result.(type) {
	case driftexchange.Done:
		return result.Reply.Header
	case driftexchange.NotRun:
		if !result.Misdirected {
			return result.Header
		}
	case driftexchange.Unknown:
		return result.Header
	}
	return nil
}

// minFailureStatus is the lowest status that counts as a failure of the
// upstream itself.
const minFailureStatus = 500

func (r *Relay) recordNotRun(f *attempt, result driftexchange.NotRun, now time.Time) {
	e := f.upstream
	switch {
	case result.Misdirected:
		r.recordFalseClaim(e, now)
	case result.Refused:
		e.markReachable()
		e.proveConns(f.conn, f.started)
		e.recordOutcome(now, false, !e.refusedForAccount(result.Header))
		r.recordLoad(e, result.Header.Get(r.headers.Load), false, now)
	case !errors.Is(result.Err, driftexchange.ErrAborted) && !errors.Is(result.Err, errWithdrawn):
		e.markUnreachable(now)
	}
}

// averageLoadReports is how many reports make the average load of a service: a new one
// has the weight of one among that many, or of all so far.
const averageLoadReports = 20

// averageLoad is how many requests of other VMs an upstream of a service has on average,
// by the latest reports.
type averageLoad struct {
	requests float64
	reports  int
}

func (a averageLoad) add(requests float64) averageLoad {
	a.reports = min(a.reports+1, averageLoadReports)
	a.requests += (requests - a.requests) / float64(a.reports)
	return a
}

// recordLoad records the load that an upstream reports in the reply to an attempt, whose
// request it counts if it has run it.
func (r *Relay) recordLoad(e *upstreamState, text string, ran bool, now time.Time) {
	// An answer of another VM has the headers of the upstream that it asked.
	if e.Service == forwardService {
		return
	}
	load, ok := driftexchange.ParseLoad(text)
	if !ok {
		return
	}
	own := len(e.inFlight)
	if ran {
		own++
	}
	e.othersLoad, e.loadAt = float64(max(0, load.Running+load.Waiting-own)), now
	r.averageLoads[e.Service] = r.averageLoads[e.Service].add(e.othersLoad)
	r.recordSpeed(e, load, now)
}

// recordServiceTime records how long a request took whose reply has the given size, for
// the upstream and for its class.
func (r *Relay) recordServiceTime(f *attempt, q *Query, bytes int, now time.Time) {
	typical := r.typicalTime(q.Route)
	took := r.recordCrossing(f, now.Sub(f.started), typical, bytes, now)
	f.upstream.recordServiceTime(now, took, typical)
	bounded := min(took, 3*typical)
	r.typicalTimes[typicalTimeKey(q.Route)] = typical + time.Duration(typicalTimeGain*float64(bounded-typical))
}

// typicalTimeGain is the weight of a new observation in the typical time of a
// class.
const typicalTimeGain = 0.02

// typicalTime returns how long a request of the class usually takes at an
// upstream. The caller holds the lock.
func (r *Relay) typicalTime(route *driftroute.Route) time.Duration {
	if typical, ok := r.typicalTimes[typicalTimeKey(route)]; ok {
		return typical
	}
	return route.LatencyObjective / initialTypicalDivisor
}

// typicalTimeKey returns the key of the route in typicalTimes. Forwarded
// requests have a key of their own, as other VMs answer for all shards.
func typicalTimeKey(route *driftroute.Route) string {
	if isForward(route) {
		return route.Name + forwardService
	}
	return route.Name
}

// initialTypicalDivisor gives the typical time of a class before the first
// observation: its latency objective divided by this.
const initialTypicalDivisor = 6
