package driftowner

import "github.com/almonddrift/almonddrift/internal/driftshard"

// UpstreamStatuses implements driftshard.LaneReporter.
func (o *Owner) UpstreamStatuses() []driftshard.UpstreamStatus {
	o.mu.Lock()
	lanes := make([]*lane, 0, len(o.lanes))
	for _, l := range o.lanes {
		lanes = append(lanes, l)
	}
	o.mu.Unlock()
	states := make([]driftshard.UpstreamStatus, 0, len(lanes))
	for _, l := range lanes {
		states = append(states, l.state())
	}
	return states
}

// state returns what operators may know of the lane.
func (l *lane) state() driftshard.UpstreamStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return driftshard.UpstreamStatus{
		Upstream: l.name, Cold: l.limiter.cold(), InFlight: len(l.flights), Queue: l.queue.len(),
		Limit: l.limiter.limit, Conns: l.pool.open, ServiceTime: l.service,
	}
}
