package driftgossip

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

const (
	// maxQueuedSuspects bounds the suspects that wait for their report.
	maxQueuedSuspects = 64
	// suspectGap is the time in which suspects are collected into one report.
	suspectGap = time.Millisecond
)

// runRounds sends heartbeats, changes and reports of suspects until the context
// ends.
func (f *Fleet) runRounds(ctx context.Context) {
	f.runRound()
	last := time.Now()
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case s := <-f.suspectReports:
			pause(ctx, suspectGap)
			f.sendSuspects(append(f.queuedSuspects(), s))
			continue
		case <-timer.C:
		case <-f.roundRequests:
			pause(ctx, minRoundGap-time.Since(last))
		}
		f.runRound()
		last = time.Now()
		timer.Reset(f.nextRound())
	}
}

// requestRound makes runRounds send a round at once.
func (f *Fleet) requestRound() {
	select {
	case f.roundRequests <- struct{}{}:
	default:
	}
}

// nextRound returns the time until the next round.
func (f *Fleet) nextRound() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.table.changes)+len(f.table.outbound)+len(f.leavings) > 0 {
		return changePeriod
	}
	if len(f.roomClaims) > 0 {
		return roomPeriod
	}
	return heartbeatPeriod
}

// queuedSuspects returns the suspects that wait for their report.
func (f *Fleet) queuedSuspects() (suspects []*driftgossippb.Suspect) {
	for {
		select {
		case s := <-f.suspectReports:
			suspects = append(suspects, s)
		default:
			return suspects
		}
	}
}

// sendSuspects reports suspects to the VMs that use the same upstreams.
func (f *Fleet) sendSuspects(suspects []*driftgossippb.Suspect) {
	f.mu.Lock()
	message := &driftgossippb.Datagram{Sender: f.selfEntry(time.Now()), Suspects: suspects}
	targets := f.suspectTargets()
	f.mu.Unlock()
	f.write(message, targets...)
}

// maxSuspectTargets bounds the VMs that a suspect upstream is reported to.
const maxSuspectTargets = 8

// suspectTargets returns the VMs that suspect upstreams are reported to: all
// others in a small fleet, else those of this VM's domain that send requests to
// upstreams.
func (f *Fleet) suspectTargets() (targets []string) {
	if f.table.fullMesh() {
		return addresses(f.table.heartbeatTargets())
	}
	ring, _ := f.table.ownRing()
	for _, m := range ring {
		if f.table.members[m.Name].Load > 0 && m.Name != f.self.Name && len(targets) < maxSuspectTargets {
			targets = append(targets, m.Address)
		}
	}
	return targets
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
