package driftfront

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Balancing is a policy for the choice among the replicas of a shard:
// TwoChoices or Random.
type Balancing interface {
	balancing()
}

// TwoChoices takes the better of two random replicas by their expected time.
// It avoids replicas that are cold, straggle or have just refused, and among
// nearly equal ones prefers an upstream of this VM, then one of its domain.
type TwoChoices struct{}

// Random takes any replica that is in service.
type Random struct{}

func (TwoChoices) balancing() {}
func (Random) balancing()     {}

// nearEqualRatio is the ratio of two expected times up to which they count as
// equal.
const nearEqualRatio = 1.25

// candidate is a replica that an attempt could use, and the VM to send it to.
type candidate struct {
	upstream string
	vm       string
	rating   rating
	// distance is 0 for an upstream of this VM, 1 for one in its domain and
	// 2 for others.
	distance int
}

// candidates appends to the slice the replicas of a shard that are in
// service, were not yet tried and have not refused the pinned version.
func (s *search) candidates(found []candidate, v *drifttable.View, t *task, now time.Time) []candidate {
	f := s.front
	for _, u := range t.request.shard.Upstreams {
		vm, owned := v.Owner(u)
		if !owned || v.UpstreamOut(u) || slices.Contains(t.tried, u) || s.versionRefused(u, now) {
			continue
		}
		c := candidate{upstream: u, vm: vm, distance: distance(v, u, vm)}
		if _, random := f.settings.balancing.(Random); !random {
			c.rating = f.loads.row(u).rating(now)
			c.rating.avoided = c.rating.avoided || f.loads.vmAvoided(vm, now)
		}
		found = append(found, c)
	}
	return found
}

// preferred moves the candidates that are not avoided to the front and returns
// them, or returns all if every one is avoided.
func preferred(all []candidate) []candidate {
	good := 0
	for i := range all {
		if !all[i].rating.avoided {
			all[i], all[good] = all[good], all[i]
			good++
		}
	}
	if good == 0 {
		return all
	}
	return all[:good]
}

func distance(v *drifttable.View, upstream, owner string) int {
	if owner == v.Self {
		return 0
	}
	u, _ := v.Upstreams.Get(upstream)
	self, _ := v.VMs.Get(v.Self)
	if u.Domain == self.Domain {
		return 1
	}
	return 2
}

// choose returns one of the candidates. There must be at least one.
func (f *Front) choose(candidates []candidate) candidate {
	first := f.random.intN(len(candidates))
	if _, random := f.settings.balancing.(Random); random || len(candidates) == 1 {
		return candidates[first]
	}
	second := f.random.intN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return better(candidates[first], candidates[second])
}

// better returns the candidate with the shorter expected time, or the nearer
// one when the times are near-equal.
func better(a, b candidate) candidate {
	if b.rating.cost < a.rating.cost {
		a, b = b, a
	}
	if b.distance < a.distance && b.rating.cost <= nearEqualRatio*a.rating.cost {
		return b
	}
	return a
}

// randomSource generates random numbers. It is safe for concurrent use.
type randomSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newRandomSource returns a repeatable source if the seed is not 0.
func newRandomSource(seed uint64) *randomSource {
	if seed == 0 {
		return &randomSource{}
	}
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed))}
}

// intN returns a number from 0 up to but not including n.
func (d *randomSource) intN(n int) int {
	if n <= 1 {
		return 0
	}
	if d.random == nil {
		return rand.IntN(n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}
