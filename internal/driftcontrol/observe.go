package driftcontrol

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// trafficObservation carries what the handling of traffic observed.
type trafficObservation struct {
	observation driftshard.Observation
}

func (trafficObservation) message() {}

// Observe implements driftshard.Observer. It drops the observation when the
// message queue is full, so that traffic never waits for the control goroutine.
func (c *Control) Observe(o driftshard.Observation) {
	select {
	case c.messages <- trafficObservation{observation: o}:
	default:
	}
}

// applyObservation updates the tables from an observation.
func (c *Control) applyObservation(o driftshard.Observation, now time.Time) {
	switch o := o.(type) {
	case driftshard.PeerAnswered:
		if m, found := c.members.rows[o.VM]; found {
			m.recordContact(now)
		}
	case driftshard.PeerFailed:
		c.suspect(o.VM, now)
	case driftshard.UpstreamLeaving:
		c.departures.add(o.Upstream, now)
	}
}

// suspect starts to monitor a VM if it is not monitored yet, and makes its next
// probe due at once.
func (c *Control) suspect(vm string, now time.Time) {
	m, found := c.members.rows[vm]
	if !found || vm == c.self.Name {
		return
	}
	if m.suspectedSince.IsZero() {
		m.suspectedSince = now
	}
	if !m.monitored {
		m.monitored, m.lastDirect = true, now
	}
	m.probe.due = now
}
