package driftfront

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Choice is a way to choose among the replicas of a shard: TwoChoices or
// Random.
type Choice interface {
	choice()
}

// TwoChoices takes the better of two random replicas by their expected time,
// avoids replicas that are cold or have just refused, and prefers, among
// near-equal ones, an upstream of this VM and then one of its domain.
type TwoChoices struct{}

// Random takes any replica that is in service.
type Random struct{}

func (TwoChoices) choice() {}
func (Random) choice()     {}

// nearEqual is the ratio of two expected times up to which they count as
// equal.
const nearEqual = 1.25

// candidate is a replica that could take an attempt, and the VM to send to.
type candidate struct {
	upstream string
	vm       string
	standing standing
	// distance is 0 for an upstream of this VM, 1 for one in its domain and
	// 2 for others.
	distance int
}

// candidates returns the replicas in service that the given filter passes.
// Avoided ones are left out unless there is no other.
func (f *Front) candidates(
	v *drifttable.View, upstreams []string, pass func(string) bool, now time.Time,
) []candidate {
	found := make([]candidate, 0, len(upstreams))
	good := 0
	typical := f.loads.typical.get()
	for _, u := range upstreams {
		vm, owned := v.Owner(u)
		if !owned || v.UpstreamOut(u) || !pass(u) {
			continue
		}
		c := candidate{upstream: u, vm: vm, distance: distance(v, u, vm)}
		if _, random := f.settings.choice.(Random); !random {
			c.standing = f.loads.row(u).standing(typical, now)
			c.standing.avoided = c.standing.avoided || f.loads.avoidsVM(vm, now)
		}
		found = append(found, c)
		if !c.standing.avoided {
			good++
		}
	}
	if good == 0 || good == len(found) {
		return found
	}
	kept := found[:0]
	for _, c := range found {
		if !c.standing.avoided {
			kept = append(kept, c)
		}
	}
	return kept
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

// choose picks one of the candidates, of which there is at least one.
func (f *Front) choose(candidates []candidate) candidate {
	first := f.dice.roll(len(candidates))
	if _, random := f.settings.choice.(Random); random || len(candidates) == 1 {
		return candidates[first]
	}
	second := f.dice.roll(len(candidates) - 1)
	if second >= first {
		second++
	}
	return better(candidates[first], candidates[second])
}

// better returns the candidate with the shorter expected time, or the nearer
// one when the times are near-equal.
func better(a, b candidate) candidate {
	if b.standing.score < a.standing.score {
		a, b = b, a
	}
	if b.distance < a.distance && b.standing.score <= nearEqual*a.standing.score {
		return b
	}
	return a
}

// dice is a source of random numbers. It is safe for concurrent use.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newDice returns a repeatable source for a seed other than 0.
func newDice(seed uint64) *dice {
	if seed == 0 {
		return &dice{}
	}
	return &dice{random: rand.New(rand.NewPCG(seed, seed))}
}

// roll returns a number from 0 up to but not including n.
func (d *dice) roll(n int) int {
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
