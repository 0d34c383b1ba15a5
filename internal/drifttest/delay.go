package drifttest

import (
	"math/rand/v2"
	"sync"
	"time"
)

// SetMaxExtraDelay adds a random delay of less than the given maximum to every
// message between VMs.
func (f *Fleet) SetMaxExtraDelay(most time.Duration, seed uint64) { f.extraDelay.set(most, seed) }

// extraDelay draws the random delay that is added to each message.
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
