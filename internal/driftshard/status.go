package driftshard

import "time"

// UpstreamStatus is the status that an owner reports to operators for one upstream.
type UpstreamStatus struct {
	Upstream string
	// Cold is set while the upstream is warming up.
	Cold bool
	// InFlight is the number of running requests, Queue that of waiting ones.
	InFlight, Queue int
	// Limit is the concurrency limit.
	Limit int
	// Conns is the number of open connections.
	Conns int
	// ServiceTime is the moving average of the service time.
	ServiceTime time.Duration
}

// UpstreamReporter reports the status of all upstreams that a VM owns.
type UpstreamReporter interface {
	UpstreamStatuses() []UpstreamStatus
}
