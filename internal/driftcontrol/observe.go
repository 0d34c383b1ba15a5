package driftcontrol

import "github.com/almonddrift/almonddrift/internal/driftshard"

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
