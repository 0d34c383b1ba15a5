package driftowner

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// tick does the periodic work on the dispatchers.
func (o *Owner) tick(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	v := o.views.Load()
	unreliable := v.Fenced || v.Age(now) > o.maxViewAge
	for _, l := range o.allDispatchers() {
		u, published := v.Upstreams.Get(l.name)
		if !published || !v.Owns(u.Name) {
			o.releaseDispatcher(ctx, group, v, l, now)
			continue
		}
		l.markOwned(unreliable)
		if l.applyMarks(v, u, now) {
			o.observer.Observe(driftshard.UpstreamLeaving{Upstream: u.Name})
		}
		l.refresh(u, now)
		if l.reserveStandby(now) {
			group.Go(func() { l.openStandby(ctx, o.dialer) })
		}
	}
	o.expireHandovers(now)
}

func (o *Owner) allDispatchers() []*dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	dispatchers := make([]*dispatcher, 0, len(o.dispatchers))
	for _, l := range o.dispatchers {
		dispatchers = append(dispatchers, l)
	}
	return dispatchers
}

// applyMarks refuses the queued requests of an upstream that is out or
// leaving. It reports whether the control goroutine has to be told again that
// the upstream is leaving.
func (l *dispatcher) applyMarks(v *drifttable.View, u drifttable.Upstream, now time.Time) (notify bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.UpstreamOut(u.Name) {
		l.refuseAll(driftshard.NotRun{Reason: outReason(v, u.Name)})
	}
	switch {
	case u.Leaving:
		l.leavingPublished = true
	case l.leavingPublished:
		l.leavingPublished = false
		l.leavingSince = time.Time{}
		l.updateLimiter(func() { l.limiter.enterCold(now) })
	default:
		return !l.leavingSince.IsZero()
	}
	return false
}

// refresh applies the published slots and connections, removes expired
// request IDs, detects overdue requests and grants the slots that have become
// free, also those of expired orphans and after a backoff.
func (l *dispatcher) refresh(u drifttable.Upstream, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Slots != l.upstream.Slots || u.MaxConnections != l.upstream.MaxConnections {
		l.pool.resize(u.Slots, u.MaxConnections)
		l.limiter.setSlots(min(u.Slots, l.pool.size))
	}
	l.upstream = u
	l.ids.sweep(now)
	l.grantSlots(now)
}

// reserveStandby reports whether a warm upstream that has replied within the
// last second has no idle connection left, and reserves one.
func (l *dispatcher) reserveStandby(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.notOwned || l.limiter.cold() || len(l.pool.idle) > 0 || now.Sub(l.limiter.lastReply) > time.Second {
		return false
	}
	return l.pool.size > l.limiter.slots && l.pool.open < l.pool.size && l.pool.reserve()
}

// openStandby opens the reserved connection.
func (l *dispatcher) openStandby(ctx context.Context, dialer driftupstream.Dialer) {
	l.mu.Lock()
	u := l.upstream
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeoutFloor+dialTimeoutFactor*u.ConnectionCost)
	defer cancel()
	conn, err := dialer.Dial(ctx, u)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.pool.release()
		return
	}
	c := l.pool.add(conn, time.Now())
	l.events.Record(driftevent.ConnectionOpened, "", u.Name, "standby")
	l.returnConnection(c)
}

// close refuses the queued requests and closes every connection.
func (l *dispatcher) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonLeaving})
	l.pool.closeAll()
}
