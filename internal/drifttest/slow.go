package drifttest

import (
	"math/rand/v2"
	"sync"
	"time"
)

// SetMaxExtraDelay delays every message between VMs by up to the given time more, drawn
// from the seed.
func (f *Fleet) SetMaxExtraDelay(most time.Duration, seed uint64) { f.slow.set(most, seed) }

// slowness draws the further delay of a message.
type slowness struct {
	mu     sync.Mutex
	most   time.Duration
	random *rand.Rand
}

func (s *slowness) set(most time.Duration, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.random = most, rand.New(rand.NewPCG(seed, seed))
}

func (s *slowness) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.most)))
}
