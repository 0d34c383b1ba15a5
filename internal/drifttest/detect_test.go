package drifttest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

const (
	// detectLimit is the time within which the other VMs must regard an
	// unresponsive VM as dead.
	detectLimit = 1500 * time.Millisecond
	// ownerLimit is the time within which the upstreams of a lost VM must have
	// new owners.
	ownerLimit = 3 * time.Second
	// measureLimit ends the wait for a condition that does not become true.
	measureLimit = time.Minute
)

// timeUntil waits until the condition holds and returns how long that took.
func timeUntil(holds func() bool) time.Duration {
	started := time.Now()
	for !holds() && time.Since(started) < measureLimit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// deadEverywhere reports whether every other running VM regards the VM as dead.
func (s *ownershipScript) deadEverywhere(gone string) bool {
	for _, vm := range VMNames() {
		row, _ := s.Node(vm).Views().Load().VMs.Get(gone)
		if vm != gone && !s.stopped[vm] && row.Health != drifttable.Dead {
			return false
		}
	}
	return true
}

// allOwned reports whether every upstream has an owner that may dispatch.
func (s *ownershipScript) allOwned() bool {
	for upstream, vm := range s.checkOwners() {
		o, _ := s.Node(vm).Views().Load().Owners.Get(upstream)
		if time.Now().Before(o.HoldUntil) {
			return false
		}
	}
	return len(s.checkOwners()) == len(s.Upstreams)
}

// owns reports whether the VM owns an upstream according to a view that is
// fresh enough.
func (s *ownershipScript) owns(vm string) bool {
	for _, owner := range s.checkOwners() {
		if owner == vm {
			return true
		}
	}
	return false
}

func TestDetection(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, s *ownershipScript)
	}{
		{"lost VM", detectLost},
		{"paused VM", detectPaused},
		{"lost domain", detectLostDomain},
		{"configuration", detectConfiguration},
	}
	for _, spec := range []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()} {
		for _, c := range cases {
			t.Run(spec.Service+" "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &ownershipScript{Fleet: NewFleet(t, spec), stopped: make(map[string]bool)}
					c.run(t, s)
					assert.Empty(t, s.violation)
				})
			})
		}
	}
}

func detectLost(t *testing.T, s *ownershipScript) {
	t.Helper()
	started := time.Now()
	s.kill("vm-1")
	detected := timeUntil(func() bool { return s.deadEverywhere("vm-1") })
	timeUntil(s.allOwned)
	owned := time.Since(started)
	t.Logf("detected after %s, owners after %s", detected, owned)
	assert.LessOrEqual(t, detected, detectLimit)
	assert.LessOrEqual(t, owned, ownerLimit)
}

func detectPaused(t *testing.T, s *ownershipScript) {
	t.Helper()
	s.Pause("vm-1")
	detected := timeUntil(func() bool { return s.deadEverywhere("vm-1") })
	time.Sleep(10 * time.Second)
	s.Resume("vm-1")
	back := timeUntil(func() bool { return s.owns("vm-1") })
	t.Logf("detected after %s, owns again %s after it resumed", detected, back)
	assert.LessOrEqual(t, detected, detectLimit)
}

func detectLostDomain(t *testing.T, s *ownershipScript) {
	t.Helper()
	started := time.Now()
	for _, vm := range VMNames() {
		if s.vmDomains[vm] == s.Spec.Domains[0] {
			s.kill(vm)
			s.unlistedVMs[vm] = true
		}
	}
	s.publishLiveVMs()
	timeUntil(s.allOwned)
	t.Logf("all upstreams owned after %s", time.Since(started))
}

func detectConfiguration(t *testing.T, s *ownershipScript) {
	t.Helper()
	number := s.Platform.Put(driftdocument.KeyClasses, s.Spec.ClassesDocument())
	took := timeUntil(func() bool {
		for _, vm := range VMNames() {
			if s.revision(vm, driftdocument.KeyClasses) != number {
				return false
			}
		}
		return true
	})
	t.Logf("in force everywhere after %s", took)
	assert.LessOrEqual(t, took, propagationLimit)
}
