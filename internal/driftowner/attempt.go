package driftowner

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Limits of one attempt.
const (
	// An idempotent attempt without a reply is ended after silenceFactor
	// times the service time of its class, and not before silenceFloor.
	silenceFloor  = 100 * time.Millisecond
	silenceFactor = 30
	// lateGrace is how much longer a reply may take after the deadline before
	// the connection is closed, since closing costs a new connection.
	lateGrace = 50 * time.Millisecond
	// A request whose connection was closed counts as running at the upstream
	// for this long, at most until its deadline.
	warmOrphanTTL = 100 * time.Millisecond
	coldOrphanTTL = time.Second
	// The dial timeout is dialTimeoutFloor plus dialTimeoutFactor times the
	// upstream's ConnectionCost.
	dialTimeoutFloor  = 50 * time.Millisecond
	dialTimeoutFactor = 8
)

// outcome is the result of one attempt. retry is set, without a result, if the
// request certainly did not run and may be tried again: its pooled connection
// was closed, or it was returned to the queue.
type outcome struct {
	result driftshard.Result
	retry  bool
}

// awaitSlot waits for a slot. It returns a result if the request ended first.
func (l *dispatcher) awaitSlot(ctx context.Context, t *queuedRequest) driftshard.Result {
	select {
	case <-t.ready:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case t.state == ended:
		return t.refusal
	case ctx.Err() == nil:
		return nil
	case t.state == queued:
		l.queue.remove(t)
		l.refuse(t, driftshard.NotRun{Reason: endReason(ctx)})
		return t.refusal
	}
	return l.refuseGranted(t, driftshard.NotRun{Reason: endReason(ctx)}, time.Now())
}

func endReason(ctx context.Context) driftshard.Reason {
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the package's own sentinel, never wrapped
		return driftshard.ReasonCanceled
	}
	return driftshard.ReasonLate
}

// refuseGranted refuses a request that has a slot and was not sent, and frees
// the slot.
func (l *dispatcher) refuseGranted(t *queuedRequest, refusal driftshard.NotRun, now time.Time) driftshard.Result {
	l.releaseSlot(t)
	l.refuse(t, refusal)
	l.grantSlots(now)
	return t.refusal
}

// connect returns an idle connection or opens a new one.
func (l *dispatcher) connect(ctx context.Context, dialer driftupstream.Dialer, t *queuedRequest) (*connection, driftshard.Result) {
	c, reserved, u := l.takeConnection()
	if c != nil {
		return c, nil
	}
	if !reserved {
		l.mu.Lock()
		defer l.mu.Unlock()
		return nil, l.refuseGranted(t, driftshard.NotRun{Reason: driftshard.ReasonFull}, time.Now())
	}
	started := time.Now()
	timeout := dialTimeoutFloor + dialTimeoutFactor*u.ConnectionCost
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dialer.Dial(dialCtx, u)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err != nil {
		l.pool.release()
		return nil, l.dialFailed(ctx, t, now.Sub(started) >= timeout/2, now)
	}
	c = l.pool.add(conn, now)
	l.events.Record(driftevent.ConnectionOpened, t.request.Query, l.name, "")
	if l.closed {
		l.pool.close(c)
	}
	return c, nil
}

// takeConnection returns an idle connection, or reserves one in the pool for
// a dial.
func (l *dispatcher) takeConnection() (c *connection, reserved bool, u drifttable.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.forceDial {
		if c := l.pool.takeIdle(); c != nil {
			return c, false, l.upstream
		}
		return nil, l.pool.reserve(), l.upstream
	}
	l.forceDial = false
	if l.pool.reserve() {
		return nil, true, l.upstream
	}
	if c := l.pool.takeIdle(); c != nil {
		l.pool.close(c)
	}
	return nil, l.pool.reserve(), l.upstream
}

// dialFailed ends a request for which no connection could be opened. The
// upstream counts as failed only if the dial failed before ctx ended, or took
// at least half of the dial timeout (long).
func (l *dispatcher) dialFailed(ctx context.Context, t *queuedRequest, long bool, now time.Time) driftshard.Result {
	if ctx.Err() == nil || long {
		l.recordFailure(driftshard.ReasonUnreachable, 0, now)
	}
	reason := driftshard.ReasonUnreachable
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return l.refuseGranted(t, driftshard.NotRun{Reason: reason}, now)
}

// recordFailure makes the upstream cold and starts a backoff, because the
// failure suggests that it is cold, down or overloaded.
func (l *dispatcher) recordFailure(reason driftshard.Reason, retryAfter time.Duration, now time.Time) {
	l.updateLimiter(func() { l.limiter.enterCold(now) })
	l.backoff.start(reason, retryAfter, now)
}

// startAttempt makes the last checks before any byte is sent. The outcome is
// empty if the request may be sent, and has retry set if the limit has fallen
// or a backoff has begun and the request is queued again.
func (l *dispatcher) startAttempt(t *queuedRequest, c *connection, refusal driftshard.NotRun, hold, now time.Time) (o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal.Reason == "" {
		refusal = l.checkAvailable(hold, now)
	}
	if refusal.Reason != "" {
		l.returnConnection(c)
		return outcome{result: l.refuseGranted(t, refusal, now)}
	}
	l.detectOverdue(now)
	sentNow := l.busy(now) - l.countUnsent()
	if sentNow >= l.limiter.concurrency() || now.Before(l.backoff.end) {
		l.returnConnection(c)
		return l.requeue(t)
	}
	t.state, t.sent = sent, now
	if l.limiter.cold() {
		l.checker.WithinColdLimit(t.request.Query, l.name, sentNow+1, l.limiter.limit)
	}
	l.events.Record(driftevent.DispatchStarted, t.request.Query, l.name, t.request.Attempt)
	return outcome{}
}

// countUnsent returns the number of requests that hold a slot and have not
// been sent.
func (l *dispatcher) countUnsent() int {
	count := 0
	for _, t := range l.inFlight {
		if t.state == granted {
			count++
		}
	}
	return count
}

// requeue returns an unsent request to the queue.
func (l *dispatcher) requeue(t *queuedRequest) outcome {
	l.releaseSlot(t)
	t.state = queued
	if evicted := l.queue.push(t); evicted != nil {
		l.refuse(evicted, driftshard.NotRun{Reason: driftshard.ReasonFull})
		if evicted == t {
			return outcome{result: t.refusal}
		}
	}
	return outcome{retry: true}
}

// returnConnection returns a connection to the pool, or closes it if the
// dispatcher no longer needs any.
func (l *dispatcher) returnConnection(c *connection) {
	if l.notOwned || l.closed || !l.leavingSince.IsZero() {
		l.pool.close(c)
		return
	}
	if l.pool.connections[c] {
		l.pool.put(c)
	}
}

// attemptDeadline returns when an attempt without a reply is ended and its
// connection closed.
func (l *dispatcher) attemptDeadline(t *queuedRequest, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := t.request.Deadline.Add(min(lateGrace, 2*l.serviceTime))
	n := l.limiter.baselines.find(t.request.Class)
	if t.request.NonIdempotent || n == nil || n.Mean == 0 {
		return end
	}
	silent := now.Add(max(silenceFloor, silenceFactor*n.recent))
	if silent.Before(end) {
		return silent
	}
	return end
}

// completeAttempt processes the reply to a request that was sent and frees
// its slot.
func (l *dispatcher) completeAttempt(t *queuedRequest, c *connection, reply driftupstream.Reply, now time.Time) (o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events.Record(driftevent.DispatchEnded, t.request.Query, l.name, t.request.Attempt)
	switch reply := reply.(type) {
	case driftupstream.Answer:
		o.result = l.handleAnswer(t, c, reply, now)
	case driftupstream.Refusal:
		o.result = l.handleRefusal(c, reply, now)
	case driftupstream.Departure:
		l.pool.close(c)
		l.markLeaving(now)
		o.result = driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case driftupstream.Failure:
		o = l.handleFailure(t, c, reply, now)
	}
	if o.retry {
		t.state = granted
		return o
	}
	l.releaseSlot(t)
	t.state = ended
	o.result = l.finalizeResult(t, o.result, now)
	l.grantSlots(now)
	return o
}

// finalizeResult adds the load to the result and, for a request that is not
// idempotent, removes its ID if it certainly did not run and otherwise checks
// that it runs at most once.
func (l *dispatcher) finalizeResult(t *queuedRequest, result driftshard.Result, now time.Time) driftshard.Result {
	n, refused := result.(driftshard.NotRun)
	if refused {
		n.Load = l.load()
		result = n
	}
	if d, done := result.(driftshard.Done); done {
		d.Load = l.load()
		result = d
	}
	if !t.request.NonIdempotent {
		return result
	}
	if refused {
		l.ids.forget(t.request.Query)
		return result
	}
	l.checker.AtMostOnce(t.request.Query, now.Add(idTTL), now)
	return result
}

func (l *dispatcher) handleAnswer(t *queuedRequest, c *connection, a driftupstream.Answer, now time.Time) driftshard.Result {
	if a.Attempt != t.request.Attempt {
		l.pool.close(c)
		return driftshard.Unknown{Reason: driftshard.ReasonCrossed}
	}
	if a.Count != len(a.Rows) {
		l.pool.close(c)
		return driftshard.Unknown{Reason: driftshard.ReasonShort}
	}
	l.checker.CompleteMatchingReply(t.request.Query, t.request.Attempt, a.Attempt, len(a.Rows), a.Count)
	l.keepConnection(c, now)
	l.backoff.failures = 0
	took := now.Sub(t.sent)
	l.updateServiceTime(took)
	l.updateLimiter(func() {
		l.limiter.recordReply(sample{
			class: t.request.Class, sent: t.sent, took: took, incarnation: a.Incarnation, load: a.Load,
		}, now)
	})
	return driftshard.Done{
		Attempt: a.Attempt, Version: a.Version, Depots: a.Depots, Rows: a.Rows, Count: a.Count,
	}
}

func (l *dispatcher) updateServiceTime(took time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = took
		return
	}
	l.serviceTime += time.Duration(recentWeight * float64(took-l.serviceTime))
}

// keepConnection returns a connection that has just carried a reply to the
// pool.
func (l *dispatcher) keepConnection(c *connection, now time.Time) {
	c.used = now
	l.returnConnection(c)
}

func (l *dispatcher) handleRefusal(c *connection, s driftupstream.Refusal, now time.Time) driftshard.Result {
	l.keepConnection(c, now)
	if l.limiter.updateIncarnation(s.Incarnation) {
		l.updateLimiter(func() { l.limiter.enterCold(now) })
	}
	if s.VersionMismatch {
		return driftshard.NotRun{Reason: driftshard.ReasonVersion}
	}
	l.recordFailure(driftshard.ReasonShed, s.RetryAfter, now)
	return driftshard.NotRun{Reason: driftshard.ReasonShed, RetryAfter: l.backoff.end.Sub(now)}
}

// markLeaving records that the upstream is shutting down and refuses the
// queued requests.
func (l *dispatcher) markLeaving(now time.Time) {
	if l.leavingSince.IsZero() {
		l.leavingSince = now
		l.events.Record(driftevent.UpstreamLeaving, "", l.name, "")
	}
	l.pool.closeIdle(func(*connection) bool { return true })
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonLeaving})
}

// handleFailure processes an attempt without a reply. Silence on a new
// connection and resets count against the upstream. Silence on a pooled
// connection only makes the next attempt open a new one.
func (l *dispatcher) handleFailure(t *queuedRequest, c *connection, f driftupstream.Failure, now time.Time) (o outcome) {
	onNewConn := !c.pooled
	if !f.Sent && f.Reason == driftshard.ReasonLate {
		l.returnConnection(c)
		return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonLate}}
	}
	l.pool.close(c)
	if !f.Sent {
		return l.handleUnsent(t, onNewConn, now)
	}
	l.addOrphan(t, onNewConn, now)
	switch {
	case f.Reason != driftshard.ReasonSilent:
		if !t.detached || !l.policy.closeOnCancel {
			l.recordFailure(driftshard.ReasonUnreachable, 0, now)
		}
	case !l.silenceSignificant(t, now):
	case onNewConn:
		l.events.Record(driftevent.ConnectionSilent, t.request.Query, l.name, "new")
		l.recordFailure(driftshard.ReasonSilent, 0, now)
	default:
		l.events.Record(driftevent.ConnectionSilent, t.request.Query, l.name, "pooled")
		l.forceDial = true
		l.pool.closeIdle(func(other *connection) bool { return !other.used.After(c.used) })
	}
	return outcome{result: driftshard.Unknown{Reason: f.Reason}}
}

// handleUnsent processes an attempt that found its connection closed. A new
// connection that is closed at once counts against the upstream. A pooled one
// may have been closed by a restart of the upstream.
func (l *dispatcher) handleUnsent(t *queuedRequest, onNewConn bool, now time.Time) (o outcome) {
	if onNewConn {
		l.recordFailure(driftshard.ReasonUnreachable, 0, now)
		return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonUnreachable}}
	}
	l.updateLimiter(func() { l.limiter.suspectRestart(now) })
	if !t.detached && now.Before(t.request.Deadline) {
		l.forceDial = true
		return outcome{retry: true}
	}
	return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonUnreachable}}
}

// silenceSignificant reports whether an attempt waited long enough for the
// missing reply to count as silence: slowDeviations service times, but at least
// lateGrace and at most silenceFloor.
func (l *dispatcher) silenceSignificant(t *queuedRequest, now time.Time) bool {
	return now.Sub(t.sent) >= min(silenceFloor, max(slowDeviations*l.serviceTime, lateGrace))
}

// addOrphan keeps the slot of a request that may still run at the upstream. A
// request on a pooled connection that went silent most likely never arrived,
// so it gets warmOrphanTTL even while the upstream is cold.
func (l *dispatcher) addOrphan(t *queuedRequest, onNewConn bool, now time.Time) {
	ttl := warmOrphanTTL
	if l.limiter.cold() && onNewConn {
		ttl = coldOrphanTTL
	}
	end := now.Add(ttl)
	if t.request.Deadline.Before(end) {
		end = t.request.Deadline
	}
	l.orphans = append(l.orphans, end)
}

// detach records that nobody waits any more for the result of a request in
// flight, because its context has ended. The connection stays open for the
// reply, which saves opening another. completed is set if the reply has already
// been processed.
func (l *dispatcher) detach(ctx context.Context, t *queuedRequest, c *connection) (result driftshard.Result, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.state {
	case ended:
		return nil, true
	case granted:
		return l.refuseGranted(t, driftshard.NotRun{Reason: endReason(ctx)}, time.Now()), false
	case queued, sent:
	}
	t.detached = true
	if l.policy.closeOnCancel {
		_ = c.Close()
	}
	return driftshard.Unknown{Reason: inFlightReason(ctx)}, false
}

func inFlightReason(ctx context.Context) driftshard.Reason {
	if reason := endReason(ctx); reason == driftshard.ReasonCanceled {
		return reason
	}
	return driftshard.ReasonSilent
}
