package driftshard

// Observer takes what traffic has seen to the control goroutine. Observe
// never blocks; an observation that finds the channel full is dropped.
type Observer interface {
	Observe(o Observation)
}

// Observation is PeerFailed, PeerAnswered or UpstreamParting.
type Observation interface {
	observation()
}

// PeerFailed says that a VM could not be reached, or gave no answer in time.
type PeerFailed struct {
	VM string
}

// PeerAnswered says that a VM has answered a shard request.
type PeerAnswered struct {
	VM string
}

// UpstreamLeaving says that an upstream has refused work because it leaves.
type UpstreamLeaving struct {
	Upstream string
}

func (PeerFailed) observation()      {}
func (PeerAnswered) observation()    {}
func (UpstreamLeaving) observation() {}
