package driftowner

import "github.com/almonddrift/almonddrift/internal/driftshard"

// UpstreamStatuses implements driftshard.UpstreamReporter.
func (o *Owner) UpstreamStatuses() []driftshard.UpstreamStatus {
	o.mu.Lock()
	dispatchers := make([]*dispatcher, 0, len(o.dispatchers))
	for _, l := range o.dispatchers {
		dispatchers = append(dispatchers, l)
	}
	o.mu.Unlock()
	statuses := make([]driftshard.UpstreamStatus, 0, len(dispatchers))
	for _, l := range dispatchers {
		statuses = append(statuses, l.status())
	}
	return statuses
}

// status returns the status to report to operators.
func (l *dispatcher) status() driftshard.UpstreamStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return driftshard.UpstreamStatus{
		Upstream: l.name, Cold: l.limiter.cold(), InFlight: len(l.inFlight), Queue: l.queue.len(),
		Limit: l.limiter.limit, Conns: l.pool.open, ServiceTime: l.serviceTime,
	}
}
