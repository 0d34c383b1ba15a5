package driftshard

// Observer passes observations made while serving requests to the control
// goroutine. Observe never blocks: it drops the observation if the goroutine's
// channel is full.
type Observer interface {
	Observe(o Observation)
}

// Observation is PeerFailed, PeerAnswered or UpstreamLeaving.
type Observation interface {
	observation()
}

// PeerFailed reports that a VM was unreachable or did not reply in time.
type PeerFailed struct {
	VM string
}

// PeerAnswered reports that a VM answered a shard request.
type PeerAnswered struct {
	VM string
}

// UpstreamLeaving reports that an upstream refused a request because it is
// shutting down.
type UpstreamLeaving struct {
	Upstream string
}

func (PeerFailed) observation()      {}
func (PeerAnswered) observation()    {}
func (UpstreamLeaving) observation() {}
