// Package driftsteer tells callers which entry VMs to use: their own failure
// domain first, spread by rendezvous hashing on the caller's name, without
// VMs that leave, are dead or marked out.
//
// # Usage
//
//	steer := driftsteer.New(views, 10*time.Second)
//	entries := steer.Entries("till-7", "Recife")
package driftsteer

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Steer answers callers who ask for entry addresses.
type Steer struct {
	views *drifttable.Holder
	life  time.Duration
}

// New returns a Steer whose lists callers may keep for the given time.
func New(views *drifttable.Holder, life time.Duration) *Steer {
	return &Steer{views: views, life: life}
}

// Entries returns the entry VMs for a caller, best first. The domain may be
// empty when the caller does not know its own.
func (s *Steer) Entries(caller, domain string) driftapi.Entries {
	v := s.views.Load()
	var near, far []string
	for vm := range v.VMs.All() {
		if vm.Health == drifttable.Dead || v.VMOut(vm.Name) {
			continue
		}
		if vm.Domain == domain {
			near = append(near, vm.Name)
			continue
		}
		far = append(far, vm.Name)
	}
	names := append(drifttable.Rank(caller, near), drifttable.Rank(caller, far)...)
	list := driftapi.Entries{Entries: []driftapi.Entry{}, Life: s.life.Milliseconds()}
	for _, n := range names {
		vm, _ := v.VMs.Get(n)
		list.Entries = append(list.Entries, driftapi.Entry{
			Name: vm.Name, Address: vm.Callers, Domain: vm.Domain,
		})
	}
	return list
}
