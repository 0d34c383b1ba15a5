package driftowner

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Limits of a handover.
const (
	// handoverLife is how long a received handover is good for.
	handoverLife = 15 * time.Second
	// foreignLife is how long requests of the earlier owner count after it
	// last spoke of them, which it does every tellInterval.
	foreignLife  = 10 * time.Second
	tellInterval = 2 * time.Second
	// handoverTries and handoverTimeout bound the sending of one.
	handoverTries   = 3
	handoverTimeout = 300 * time.Millisecond
)

// arrival is a handover that was received.
type arrival struct {
	handover driftshard.Handover
	at       time.Time
}

// ReceiveHandover implements driftshard.HandoverReceiver.
func (o *Owner) ReceiveHandover(h driftshard.Handover) {
	now := time.Now()
	o.events.Record(driftevent.HandoverReceived, "", h.Upstream, h.From)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrived[h.Upstream] = arrival{handover: h, at: now}
	if l, found := o.lanes[h.Upstream]; found {
		l.merge(h, now)
	}
}

// welcome gives a new lane the handover that came before it. The caller
// holds the Owner's lock.
func (o *Owner) welcome(l *lane, now time.Time) {
	a, found := o.arrived[l.name]
	if found && now.Sub(a.at) < handoverLife {
		l.merge(a.handover, a.at)
	}
}

// expire forgets handovers that are too old.
func (o *Owner) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, a := range o.arrived {
		if now.Sub(a.at) >= handoverLife {
			delete(o.arrived, name)
		}
	}
}

// merge takes over what the earlier owner knew.
func (l *lane) merge(h driftshard.Handover, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range h.IDs {
		l.ids.add(id, now)
	}
	l.foreign, l.foreignEnd, l.foreignFrom = h.InFlight, now.Add(foreignLife), h.From
	if h.InFlight == 0 {
		l.cleared = now
	}
	l.observe(func() { l.limiter.adopt(h, now) })
	l.pump(now)
}

// giveUp stops a lane that this VM no longer owns. The new owner hears at
// once what is still in flight, and again when nothing is.
func (o *Owner) giveUp(
	ctx context.Context, group *sync.WaitGroup, v *drifttable.View, l *lane, now time.Time,
) {
	name, _ := v.Owner(l.name)
	h, tell := l.lose(name, now)
	if h.InFlight == 0 {
		o.forget(l)
	}
	if !tell || name == "" || name == v.Self {
		return
	}
	h.From = v.Self
	group.Go(func() { o.send(ctx, name, h) })
}

func (o *Owner) forget(l *lane) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.lanes, l.name)
	delete(o.arrived, l.name)
	l.shut()
}

// send passes a handover on, with a few tries.
func (o *Owner) send(ctx context.Context, vm string, h driftshard.Handover) {
	for range handoverTries {
		tryCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := o.handover.SendHandover(tryCtx, vm, h)
		cancel()
		if err == nil {
			o.events.Record(driftevent.HandoverSent, "", h.Upstream, vm)
			return
		}
	}
}

// lose refuses what waits, closes idle connections, and returns the state to
// hand over. Requests that the new owner itself had in flight are not told
// back to it. Tell is set when the new owner has to hear of it.
func (l *lane) lose(owner string, now time.Time) (h driftshard.Handover, tell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tell = !l.lost || l.owner != owner || now.Sub(l.told) >= tellInterval
	l.lost, l.owner, l.cleared = true, owner, time.Time{}
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: owner})
	l.pool.drop(func(*link) bool { return true })
	flight := l.busy(now)
	if owner == l.foreignFrom {
		flight -= l.foreign
	}
	h = driftshard.Handover{
		Upstream: l.name, InFlight: flight, Limit: l.limiter.limit,
		Cold: l.limiter.cold(), Incarnation: l.limiter.boot, Baselines: l.limiter.norms.list(), IDs: l.ids.list(),
	}
	if h.InFlight == 0 {
		tell = true
	}
	if tell {
		l.told = now
	}
	return h, tell
}

// recover takes a lane back that was lost and not yet drained. A VM that is
// in doubt about its upstreams no longer relies on an earlier handover.
func (l *lane) recover(doubtful bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost, l.owner = false, ""
	if doubtful {
		l.cleared = time.Time{}
	}
}
