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

// tick runs the systems over the lanes.
func (o *Owner) tick(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	v := o.views.Load()
	doubtful := v.Fenced || v.Age(now) > o.fresh
	for _, l := range o.all() {
		u, published := v.Upstreams.Get(l.name)
		if !published || !v.Owns(u.Name) {
			o.giveUp(ctx, group, v, l, now)
			continue
		}
		l.recover(doubtful)
		if l.mark(v, u, now) {
			o.observer.Observe(driftshard.UpstreamParting{Upstream: u.Name})
		}
		l.refresh(u, now)
		if l.wantsStandby(now) {
			group.Go(func() { l.standBy(ctx, o.dialer) })
		}
	}
	o.expire(now)
}

func (o *Owner) all() []*lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	lanes := make([]*lane, 0, len(o.lanes))
	for _, l := range o.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// mark refuses what waits for an upstream that is out or leaving. It reports
// whether the control goroutine should hear again that the upstream leaves.
func (l *lane) mark(v *drifttable.View, u drifttable.Upstream, now time.Time) (tell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.UpstreamOut(u.Name) {
		l.refuseAll(driftshard.NotRun{Reason: outReason(v, u.Name)})
	}
	switch {
	case u.Leaving:
		l.marked = true
	case l.marked:
		l.marked = false
		l.parted = time.Time{}
		l.observe(func() { l.limiter.cool(now) })
	default:
		return !l.parted.IsZero()
	}
	return false
}

// refresh takes over published numbers, ends pauses and lingers, and watches
// requests in flight.
func (l *lane) refresh(u drifttable.Upstream, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Slots != l.upstream.Slots || u.MaxConnections != l.upstream.MaxConnections {
		l.pool.resize(u.Slots, u.MaxConnections)
		l.limiter.resize(min(u.Slots, l.pool.size))
	}
	l.upstream = u
	l.ids.sweep(now)
	l.pump(now)
}

// wantsStandby reports whether a warm upstream in use has no idle connection
// left, and reserves one.
func (l *lane) wantsStandby(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.lost || l.limiter.cold() || len(l.pool.idle) > 0 || now.Sub(l.limiter.replied) > time.Second {
		return false
	}
	return l.pool.size > l.limiter.slots && l.pool.open < l.pool.size && l.pool.reserve()
}

// standBy opens the reserved connection.
func (l *lane) standBy(ctx context.Context, dialer driftupstream.Dialer) {
	l.mu.Lock()
	u := l.upstream
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialFloor+dialFactor*u.ConnectionCost)
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
	l.restore(c)
}

// shut refuses what waits and closes every connection.
func (l *lane) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonLeaving})
	l.pool.shut()
}
