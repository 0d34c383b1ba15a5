package driftshard

import "time"

// UpstreamStatus is what an owner tells operators of one upstream that it holds.
type UpstreamStatus struct {
	Upstream string
	// Cold is set while the upstream warms up.
	Cold bool
	// InFlight requests run and Queue requests wait.
	InFlight, Queue int
	// Limit is how many requests may run at a time.
	Limit int
	// Conns is the number of open connections.
	Conns int
	// ServiceTime is the smoothed time of one request.
	ServiceTime time.Duration
}

// UpstreamReporter tells the state of all upstreams that a VM holds.
type UpstreamReporter interface {
	UpstreamStatuses() []UpstreamStatus
}
