package driftroute

import "sync"

// WeightedRoundRobin distributes the requests of Split routes over their
// services by smooth weighted round robin, so that the shares hold over short
// periods too. It is safe for concurrent use.
type WeightedRoundRobin struct {
	mu      sync.Mutex
	credits map[creditKey]float64
}

type creditKey struct{ route, service string }

// NewWeightedRoundRobin returns a WeightedRoundRobin that has distributed no
// request.
func NewWeightedRoundRobin() *WeightedRoundRobin {
	return &WeightedRoundRobin{credits: make(map[creditKey]float64)}
}

// Next returns the service that serves the next request of the route, or "" if
// no service has a weight above 0.
func (s *WeightedRoundRobin) Next(route string, split Split) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total float64
	best := ""
	for _, p := range split.Services {
		if p.Weight <= 0 {
			continue
		}
		key := creditKey{route: route, service: p.Service}
		total += p.Weight
		s.credits[key] += p.Weight
		if best == "" || s.credits[key] > s.credits[creditKey{route: route, service: best}] {
			best = p.Service
		}
	}
	if best != "" {
		s.credits[creditKey{route: route, service: best}] -= total
	}
	return best
}
