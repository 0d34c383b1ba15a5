package drifttest

import (
	"math/rand/v2"
	"sync"
	"time"
)

// SetMaxExtraDelay delays every message between VMs by up to the given time more, drawn
// from the seed.
func (f *Fleet) SetMaxExtraDelay(most time.Duration, seed uint64) { f.extraDelay.set(most, seed) }

// extraDelay draws the further delay of a message.
type extraDelay struct {
	mu     sync.Mutex
	max    time.Duration
	random *rand.Rand
}

func (s *extraDelay) set(most time.Duration, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.max, s.random = most, rand.New(rand.NewPCG(seed, seed))
}

func (s *extraDelay) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.max == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.max)))
}
