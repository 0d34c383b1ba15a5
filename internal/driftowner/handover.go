package driftowner

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times and limits of a handover.
const (
	// handoverTTL is how long a received handover is valid.
	handoverTTL = 15 * time.Second
	// previousInFlightTTL is how long requests of the previous owner count
	// after its last report, which it sends every handoverInterval.
	previousInFlightTTL = 10 * time.Second
	handoverInterval    = 2 * time.Second
	// handoverAttempts and handoverTimeout limit the attempts to send a
	// handover and the time of each.
	handoverAttempts = 3
	handoverTimeout  = 300 * time.Millisecond
)

// receivedHandover is a handover and the time at which it was received.
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

// applyHandover applies a handover that was received before the dispatcher
// was created. The caller holds the Owner's lock.
func (o *Owner) applyHandover(l *dispatcher, now time.Time) {
	a, found := o.handovers[l.name]
	if found && now.Sub(a.at) < handoverTTL {
		l.mergeHandover(a.handover, a.at)
	}
}

// expireHandovers removes handovers that are too old.
func (o *Owner) expireHandovers(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, a := range o.handovers {
		if now.Sub(a.at) >= handoverTTL {
			delete(o.handovers, name)
		}
	}
}

// mergeHandover applies the state that the previous owner has sent.
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

// releaseDispatcher stops the dispatcher of an upstream that this VM no
// longer owns. The new owner is told at once how many requests are still in
// flight, again every handoverInterval, and when none is.
func (o *Owner) releaseDispatcher(
	ctx context.Context, group *sync.WaitGroup, v *drifttable.View, l *dispatcher, now time.Time,
) {
	newOwner, _ := v.Owner(l.name)
	h, notify := l.markNotOwned(newOwner, now)
	if h.InFlight == 0 {
		o.removeDispatcher(l)
	}
	if !notify || newOwner == "" || newOwner == v.Self {
		return
	}
	h.From = v.Self
	group.Go(func() { o.sendHandover(ctx, newOwner, h) })
}

func (o *Owner) removeDispatcher(l *dispatcher) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.dispatchers, l.name)
	delete(o.handovers, l.name)
	l.close()
}

// sendHandover sends a handover, with up to handoverAttempts attempts.
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

// markNotOwned refuses the queued requests, closes idle connections and
// returns the state to hand over. Requests that the new owner itself has in
// flight are not reported back to it. notify is set if the new owner has to be
// told.
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

// markOwned resumes a dispatcher whose upstream came back before it was
// drained. If this VM is fenced or its view is too old, it no longer relies
// on an earlier handover.
func (l *dispatcher) markOwned(unreliable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notOwned, l.newOwner = false, ""
	if unreliable {
		l.drainReported = time.Time{}
	}
}
