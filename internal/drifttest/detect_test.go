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
	// detectLimit is the time within which a silent VM must be known as gone.
	detectLimit = 1500 * time.Millisecond
	// ownLimit is the time within which its upstreams must have owners.
	ownLimit = 3 * time.Second
	// measureLimit ends a measurement that never comes true.
	measureLimit = time.Minute
)

// until returns how long it takes until the condition holds.
func until(holds func() bool) time.Duration {
	started := time.Now()
	for !holds() && time.Since(started) < measureLimit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// goneEverywhere reports whether every other VM takes the VM for dead or leaving.
func (s *ownerScript) goneEverywhere(gone string) bool {
	for _, vm := range VMs() {
		row, _ := s.Node(vm).Views().Load().VMs.Get(gone)
		if vm != gone && !s.stopped[vm] && row.Health != drifttable.Dead {
			return false
		}
	}
	return true
}

// allOwned reports whether every upstream has an owner that may dispatch.
func (s *ownerScript) allOwned() bool {
	for upstream, vm := range s.claims() {
		o, _ := s.Node(vm).Views().Load().Owners.Get(upstream)
		if time.Now().Before(o.HoldUntil) {
			return false
		}
	}
	return len(s.claims()) == len(s.Upstreams)
}

// owns reports whether the VM owns an upstream by a fresh view.
func (s *ownerScript) owns(vm string) bool {
	for _, owner := range s.claims() {
		if owner == vm {
			return true
		}
	}
	return false
}

func TestDetection(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, s *ownerScript)
	}{
		{"lost VM", detectLost},
		{"paused VM", detectPaused},
		{"lost domain", detectLostDomain},
		{"configuration", detectConfiguration},
	}
	for _, size := range []driftfake.Size{driftfake.Oshana(), driftfake.Tacada()} {
		for _, c := range cases {
			t.Run(size.Service+" "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &ownerScript{Fleet: NewFleet(t, size), stopped: make(map[string]bool)}
					c.run(t, s)
					assert.Empty(t, s.failure)
				})
			})
		}
	}
}

func detectLost(t *testing.T, s *ownerScript) {
	t.Helper()
	started := time.Now()
	s.stop("vm-1")
	detected := until(func() bool { return s.goneEverywhere("vm-1") })
	until(s.allOwned)
	owned := time.Since(started)
	t.Logf("detected after %s, owners after %s", detected, owned)
	assert.LessOrEqual(t, detected, detectLimit)
	assert.LessOrEqual(t, owned, ownLimit)
}

func detectPaused(t *testing.T, s *ownerScript) {
	t.Helper()
	s.Pause("vm-1")
	detected := until(func() bool { return s.goneEverywhere("vm-1") })
	time.Sleep(10 * time.Second)
	s.Resume("vm-1")
	back := until(func() bool { return s.owns("vm-1") })
	t.Logf("detected after %s, owns again %s after it woke", detected, back)
	assert.LessOrEqual(t, detected, detectLimit)
}

func detectLostDomain(t *testing.T, s *ownerScript) {
	t.Helper()
	started := time.Now()
	for _, vm := range VMs() {
		if s.domains[vm] == s.Size.Domains[0] {
			s.stop(vm)
			s.gone[vm] = true
		}
	}
	s.listLive()
	until(s.allOwned)
	t.Logf("adopted after %s", time.Since(started))
}

func detectConfiguration(t *testing.T, s *ownerScript) {
	t.Helper()
	number := s.Platform.Put(driftdocument.KeyClasses, s.Size.ClassesDocument())
	took := until(func() bool {
		for _, vm := range VMs() {
			if s.revision(vm, driftdocument.KeyClasses) != number {
				return false
			}
		}
		return true
	})
	t.Logf("in force everywhere after %s", took)
	assert.LessOrEqual(t, took, inForce)
}
