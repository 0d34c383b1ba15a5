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
	// silentFloor and silentFactor bound an idempotent attempt: the longer of
	// the floor and that many service times of its class.
	silentFloor  = 100 * time.Millisecond
	silentFactor = 30
	// lateGrace is how much longer a connection may take to end a request
	// whose deadline is past, so that it need not be closed.
	lateGrace = 50 * time.Millisecond
	// Lingers are how long after its connection was closed a request counts
	// as running at the upstream, at most until its deadline.
	warmLinger = 100 * time.Millisecond
	coldLinger = time.Second
	// dialFloor and dialFactor bound the opening of a connection.
	dialFloor  = 50 * time.Millisecond
	dialFactor = 8
)

// outcome is what came of one attempt. Again is set when the attempt surely
// did not run because a pooled connection was gone.
type outcome struct {
	result driftshard.Result
	again  bool
}

// await waits for a slot. It returns a result when the request ended first.
func (l *lane) await(ctx context.Context, t *ticket) driftshard.Result {
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
	return l.giveBack(t, driftshard.NotRun{Reason: endReason(ctx)}, time.Now())
}

func endReason(ctx context.Context) driftshard.Reason {
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the package's own sentinel, never wrapped
		return driftshard.ReasonCanceled
	}
	return driftshard.ReasonLate
}

// giveBack frees the slot of a request that was not sent.
func (l *lane) giveBack(t *ticket, refusal driftshard.NotRun, now time.Time) driftshard.Result {
	l.drop(t)
	l.refuse(t, refusal)
	l.pump(now)
	return t.refusal
}

// connect returns a pooled connection, or a new one.
func (l *lane) connect(ctx context.Context, dialer driftupstream.Dialer, t *ticket) (*link, driftshard.Result) {
	c, reserved, u := l.takeLink()
	if c != nil {
		return c, nil
	}
	if !reserved {
		l.mu.Lock()
		defer l.mu.Unlock()
		return nil, l.giveBack(t, driftshard.NotRun{Reason: driftshard.ReasonFull}, time.Now())
	}
	started := time.Now()
	limit := dialFloor + dialFactor*u.ConnectionCost
	dialCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := dialer.Dial(dialCtx, u)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err != nil {
		l.pool.release()
		return nil, l.undialed(ctx, t, now.Sub(started) >= limit/2, now)
	}
	c = l.pool.add(conn, now)
	l.events.Record(driftevent.ConnectionOpened, t.request.Query, l.name, "")
	if l.closed {
		l.pool.close(c)
	}
	return c, nil
}

// takeLink returns an idle connection, or reserves room for a new one.
func (l *lane) takeLink() (c *link, reserved bool, u drifttable.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.renew {
		if c := l.pool.take(); c != nil {
			return c, false, l.upstream
		}
		return nil, l.pool.reserve(), l.upstream
	}
	l.renew = false
	if l.pool.reserve() {
		return nil, true, l.upstream
	}
	if c := l.pool.take(); c != nil {
		l.pool.close(c)
	}
	return nil, l.pool.reserve(), l.upstream
}

// undialed ends a request for which no connection could be opened. Only a
// dial that failed by itself, or took long, says something of the upstream.
func (l *lane) undialed(ctx context.Context, t *ticket, long bool, now time.Time) driftshard.Result {
	if ctx.Err() == nil || long {
		l.fail(driftshard.ReasonUnreachable, 0, now)
	}
	reason := driftshard.ReasonUnreachable
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return l.giveBack(t, driftshard.NotRun{Reason: reason}, now)
}

// fail takes a sign that the upstream is cold, down or overloaded.
func (l *lane) fail(reason driftshard.Reason, asked time.Duration, now time.Time) {
	l.observe(func() { l.limiter.cool(now) })
	l.pause.start(reason, asked, now)
}

// begin makes the last checks before any byte is sent. Again is set when the
// limit has fallen and the request waits in the queue once more.
func (l *lane) begin(t *ticket, c *link, refusal driftshard.NotRun, hold, now time.Time) (o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusal.Reason == "" {
		refusal = l.barred(hold, now)
	}
	if refusal.Reason != "" {
		l.restore(c)
		return outcome{result: l.giveBack(t, refusal, now)}
	}
	l.watch(now)
	sentNow := l.busy(now) - l.unsent()
	if sentNow >= l.limiter.limit || now.Before(l.pause.end) {
		l.restore(c)
		return l.requeue(t)
	}
	t.state, t.sent = sent, now
	if l.limiter.cold() {
		l.checker.ColdLimit(t.request.Query, l.name, sentNow+1, l.limiter.limit)
	}
	l.events.Record(driftevent.DispatchStarted, t.request.Query, l.name, t.request.Attempt)
	return outcome{}
}

// unsent counts the tickets that hold a slot and have not been sent.
func (l *lane) unsent() int {
	count := 0
	for _, t := range l.flights {
		if t.state == granted {
			count++
		}
	}
	return count
}

// requeue puts a request back in the queue before it was sent.
func (l *lane) requeue(t *ticket) outcome {
	l.drop(t)
	t.state = queued
	if evicted := l.queue.push(t); evicted != nil {
		l.refuse(evicted, driftshard.NotRun{Reason: driftshard.ReasonFull})
		if evicted == t {
			return outcome{result: t.refusal}
		}
	}
	return outcome{again: true}
}

// restore puts an unused connection back.
func (l *lane) restore(c *link) {
	if l.lost || l.closed || !l.parted.IsZero() {
		l.pool.close(c)
		return
	}
	if l.pool.links[c] {
		l.pool.put(c)
	}
}

// patience is when an attempt is given up and its connection closed.
func (l *lane) patience(t *ticket, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := t.request.Deadline.Add(min(lateGrace, 2*l.service))
	n := l.limiter.norms.find(t.request.Class)
	if t.request.Once || n == nil || n.Base == 0 {
		return end
	}
	silent := now.Add(max(silentFloor, silentFactor*n.recent))
	if silent.Before(end) {
		return silent
	}
	return end
}

// settle takes the reply to a request that was sent.
func (l *lane) settle(t *ticket, c *link, reply driftupstream.Reply, now time.Time) (o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events.Record(driftevent.DispatchEnded, t.request.Query, l.name, t.request.Attempt)
	switch reply := reply.(type) {
	case driftupstream.Answered:
		o.result = l.answered(t, c, reply, now)
	case driftupstream.Shed:
		o.result = l.shed(c, reply, now)
	case driftupstream.Parting:
		l.pool.close(c)
		l.part(now)
		o.result = driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case driftupstream.Failed:
		o = l.failed(t, c, reply, now)
	}
	if o.again {
		t.state = granted
		return o
	}
	l.drop(t)
	t.state = ended
	o.result = l.remember(t, o.result, now)
	l.pump(now)
	return o
}

// remember forgets the id of a request that surely did not run, checks that
// no other runs twice, and puts the load on the result.
func (l *lane) remember(t *ticket, result driftshard.Result, now time.Time) driftshard.Result {
	n, refused := result.(driftshard.NotRun)
	if refused {
		n.Load = l.load()
		result = n
	}
	if d, done := result.(driftshard.Done); done {
		d.Load = l.load()
		result = d
	}
	if !t.request.Once {
		return result
	}
	if refused {
		l.ids.forget(t.request.Query)
		return result
	}
	l.checker.AtMostOnce(t.request.Query, now.Add(idLife), now)
	return result
}

func (l *lane) answered(t *ticket, c *link, a driftupstream.Answered, now time.Time) driftshard.Result {
	if a.Attempt != t.request.Attempt {
		l.pool.close(c)
		return driftshard.Unknown{Reason: driftshard.ReasonCrossed}
	}
	if a.Count != len(a.Rows) {
		l.pool.close(c)
		return driftshard.Unknown{Reason: driftshard.ReasonShort}
	}
	l.checker.OwnWhole(t.request.Query, t.request.Attempt, a.Attempt, len(a.Rows), a.Count)
	l.keep(c, now)
	l.pause.failures = 0
	took := now.Sub(t.sent)
	l.smooth(took)
	l.observe(func() {
		l.limiter.succeed(sample{
			class: t.request.Class, sent: t.sent, took: took, boot: a.Boot, load: a.Load,
		}, now)
	})
	return driftshard.Done{
		Attempt: a.Attempt, Version: a.Version, Depots: a.Depots, Rows: a.Rows, Count: a.Count,
	}
}

func (l *lane) smooth(took time.Duration) {
	if l.service == 0 {
		l.service = took
		return
	}
	l.service += time.Duration(recentWeight * float64(took-l.service))
}

// keep returns a connection that works to the pool.
func (l *lane) keep(c *link, now time.Time) {
	c.used = now
	l.restore(c)
}

func (l *lane) shed(c *link, s driftupstream.Shed, now time.Time) driftshard.Result {
	l.keep(c, now)
	if l.limiter.rebooted(s.Boot) {
		l.observe(func() { l.limiter.cool(now) })
	}
	if s.Other {
		return driftshard.NotRun{Reason: driftshard.ReasonVersion}
	}
	l.fail(driftshard.ReasonShed, s.Retry, now)
	return driftshard.NotRun{Reason: driftshard.ReasonShed, Retry: l.pause.end.Sub(now)}
}

// part notes that the upstream leaves and refuses what waits for it.
func (l *lane) part(now time.Time) {
	if l.parted.IsZero() {
		l.parted = now
		l.events.Record(driftevent.UpstreamLeaving, "", l.name, "")
	}
	l.pool.drop(func(*link) bool { return true })
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonLeaving})
}

// failed takes an attempt without an answer. The upstream is judged by new
// connections and by resets; a pooled connection that went silent only makes
// the next attempt open a new one.
func (l *lane) failed(t *ticket, c *link, f driftupstream.Failed, now time.Time) (o outcome) {
	fresh := !c.pooled
	if !f.Sent && f.Reason == driftshard.ReasonLate {
		l.restore(c)
		return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonLate}}
	}
	l.pool.close(c)
	if !f.Sent {
		return l.unsentOn(t, fresh, now)
	}
	l.haunt(t, fresh, now)
	switch {
	case f.Reason != driftshard.ReasonSilent:
		if !t.detached || !l.policy.closing {
			l.fail(driftshard.ReasonUnreachable, 0, now)
		}
	case !l.telling(t, now):
	case fresh:
		l.events.Record(driftevent.ConnectionSilent, t.request.Query, l.name, "new")
		l.fail(driftshard.ReasonSilent, 0, now)
	default:
		l.events.Record(driftevent.ConnectionSilent, t.request.Query, l.name, "pooled")
		l.renew = true
		l.pool.drop(func(other *link) bool { return !other.used.After(c.used) })
	}
	return outcome{result: driftshard.Unknown{Reason: f.Reason}}
}

// unsentOn takes an attempt that found its connection closed. A new one that
// is closed at once tells of the upstream; a pooled one may have been closed
// by a restart.
func (l *lane) unsentOn(t *ticket, fresh bool, now time.Time) (o outcome) {
	if fresh {
		l.fail(driftshard.ReasonUnreachable, 0, now)
		return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonUnreachable}}
	}
	l.observe(func() { l.limiter.doubt(now) })
	if !t.detached && now.Before(t.request.Deadline) {
		l.renew = true
		return outcome{again: true}
	}
	return outcome{result: driftshard.NotRun{Reason: driftshard.ReasonUnreachable}}
}

// telling reports whether a silence was long enough to mean anything.
func (l *lane) telling(t *ticket, now time.Time) bool {
	return now.Sub(t.sent) >= min(silentFloor, max(slowSpread*l.service, lateGrace))
}

// haunt keeps the slot of a request that may still run at the upstream. One
// on a pooled connection gone silent has most likely never arrived there.
func (l *lane) haunt(t *ticket, fresh bool, now time.Time) {
	linger := warmLinger
	if l.limiter.cold() && fresh {
		linger = coldLinger
	}
	end := now.Add(linger)
	if t.request.Deadline.Before(end) {
		end = t.request.Deadline
	}
	l.ghosts = append(l.ghosts, end)
}

// detach notes that nobody waits for the result of a request in flight. The
// connection stays open for the reply, so that it need not be opened again.
// Settled is set when the reply has come after all.
func (l *lane) detach(ctx context.Context, t *ticket, c *link) (result driftshard.Result, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.state {
	case ended:
		return nil, true
	case granted:
		return l.giveBack(t, driftshard.NotRun{Reason: endReason(ctx)}, time.Now()), false
	case queued, sent:
	}
	t.detached = true
	if l.policy.closing {
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
