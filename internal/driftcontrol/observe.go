package driftcontrol

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// observed carries what traffic has seen.
type observed struct {
	observation driftshard.Observation
}

func (observed) message() {}

// Observe implements driftshard.Observer.
func (c *Control) Observe(o driftshard.Observation) {
	select {
	case c.messages <- observed{observation: o}:
	default:
	}
}

// observe takes over what traffic has seen.
func (c *Control) observe(o driftshard.Observation, now time.Time) {
	switch o := o.(type) {
	case driftshard.PeerAnswered:
		if m, found := c.members.rows[o.VM]; found {
			m.hear(now)
		}
	case driftshard.PeerFailed:
		c.doubt(o.VM, now)
	case driftshard.UpstreamLeaving:
		c.partings.add(o.Upstream, now)
	}
}

// doubt has a VM probed at once, whether it is among the watched ones or not.
func (c *Control) doubt(vm string, now time.Time) {
	m, found := c.members.rows[vm]
	if !found || vm == c.self.Name {
		return
	}
	if m.doubted.IsZero() {
		m.doubted = now
	}
	if !m.watched {
		m.watched, m.heard = true, now
	}
	m.probe.due = now
}
