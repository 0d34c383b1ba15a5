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
	// handoverTTL is how long a received handover is good for.
	handoverTTL = 15 * time.Second
	// previousInFlightTTL is how long requests of the earlier owner count after it
	// last spoke of them, which it does every tellInterval.
	previousInFlightTTL = 10 * time.Second
	handoverInterval    = 2 * time.Second
	// handoverAttempts and handoverTimeout bound the sending of one.
	handoverAttempts = 3
	handoverTimeout  = 300 * time.Millisecond
)

// receivedHandover is a handover that was received.
type receivedHandover struct {
	handover driftshard.Handover
	at       time.Time
}

// ReceiveHandover implements driftshard.HandoverReceiver.
func (o *Owner) ReceiveHandover(h driftshard.Handover) {
	now := time.Now()
	o.events.Record(driftevent.HandoverReceived, "", h.Upstream, h.From)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handovers[h.Upstream] = receivedHandover{handover: h, at: now}
	if l, found := o.dispatchers[h.Upstream]; found {
		l.mergeHandover(h, now)
	}
}

// applyHandover gives a new lane the handover that came before it. The caller
// holds the Owner's lock.
func (o *Owner) applyHandover(l *dispatcher, now time.Time) {
	a, found := o.handovers[l.name]
	if found && now.Sub(a.at) < handoverTTL {
		l.mergeHandover(a.handover, a.at)
	}
}

// expireHandovers forgets handovers that are too old.
func (o *Owner) expireHandovers(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, a := range o.handovers {
		if now.Sub(a.at) >= handoverTTL {
			delete(o.handovers, name)
		}
	}
}

// mergeHandover takes over what the earlier owner knew.
func (l *dispatcher) mergeHandover(h driftshard.Handover, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range h.IDs {
		l.ids.add(id, now)
	}
	l.previousInFlight, l.previousInFlightEnd, l.previousOwner = h.InFlight, now.Add(previousInFlightTTL), h.From
	if h.InFlight == 0 {
		l.drainReported = now
	}
	l.updateLimiter(func() { l.limiter.applyHandover(h, now) })
	l.grantSlots(now)
}

// releaseDispatcher stops a lane that this VM no longer owns. The new owner hears at
// once what is still in flight, and again when nothing is.
func (o *Owner) releaseDispatcher(
	ctx context.Context, group *sync.WaitGroup, v *drifttable.View, l *dispatcher, now time.Time,
) {
	name, _ := v.Owner(l.name)
	h, notify := l.markNotOwned(name, now)
	if h.InFlight == 0 {
		o.removeDispatcher(l)
	}
	if !notify || name == "" || name == v.Self {
		return
	}
	h.From = v.Self
	group.Go(func() { o.sendHandover(ctx, name, h) })
}

func (o *Owner) removeDispatcher(l *dispatcher) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.dispatchers, l.name)
	delete(o.handovers, l.name)
	l.close()
}

// sendHandover passes a handover on, with a few tries.
func (o *Owner) sendHandover(ctx context.Context, vm string, h driftshard.Handover) {
	for range handoverAttempts {
		tryCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := o.handover.SendHandover(tryCtx, vm, h)
		cancel()
		if err == nil {
			o.events.Record(driftevent.HandoverSent, "", h.Upstream, vm)
			return
		}
	}
}

// markNotOwned refuses what waits, closes idle connections, and returns the state to
// hand over. Requests that the new owner itself had in flight are not told
// back to it. Tell is set when the new owner has to hear of it.
func (l *dispatcher) markNotOwned(owner string, now time.Time) (h driftshard.Handover, notify bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notify = !l.notOwned || l.newOwner != owner || now.Sub(l.handoverSent) >= handoverInterval
	l.notOwned, l.newOwner, l.drainReported = true, owner, time.Time{}
	l.refuseAll(driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: owner})
	l.pool.closeIdle(func(*connection) bool { return true })
	inFlight := l.busy(now)
	if owner == l.previousOwner {
		inFlight -= l.previousInFlight
	}
	h = driftshard.Handover{
		Upstream: l.name, InFlight: inFlight, Limit: l.limiter.limit,
		Cold: l.limiter.cold(), Incarnation: l.limiter.incarnation, Baselines: l.limiter.baselines.list(), IDs: l.ids.list(),
	}
	if h.InFlight == 0 {
		notify = true
	}
	if notify {
		l.handoverSent = now
	}
	return h, notify
}

// markOwned takes a lane back that was lost and not yet drained. A VM that is
// in doubt about its upstreams no longer relies on an earlier handover.
func (l *dispatcher) markOwned(unreliable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notOwned, l.newOwner = false, ""
	if unreliable {
		l.drainReported = time.Time{}
	}
}
