// Package driftsteer tells callers which entry VMs to use: their own failure
// domain first, spread by rendezvous hashing on the caller's name, without
// VMs that leave, are dead or marked out.
//
// A list names at least two failure domains where there are two, and no more
// than a few VMs, however large the fleet is. A caller's list stays as it is
// while the VMs on it serve.
//
// # Usage
//
//	steer := driftsteer.New(views, 10*time.Second)
//	entries := steer.Entries("till-7", "Recife")
package driftsteer

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Sizes of a list.
const (
	// maxNear is how many VMs of the caller's own domain a list names.
	maxNear = 4
	// maxFarDomains is how many other domains a list names, and maxFar how
	// many VMs of each.
	maxFarDomains = 3
	maxFar        = 2
)

// maxLife bounds how long callers may keep a list.
const maxLife = time.Minute

// EntrySelector answers callers who ask for entry addresses.
type EntrySelector struct {
	views *drifttable.Holder
	life  time.Duration
}

// New returns a Steer whose lists callers may keep for the given time, a
// minute at most.
func New(views *drifttable.Holder, life time.Duration) *EntrySelector {
	return &EntrySelector{views: views, life: min(life, maxLife)}
}

// Entries returns the entry VMs for a caller, best first. The domain may be
// empty when the caller does not know its own.
func (s *EntrySelector) Entries(caller, domain string) driftapi.Entries {
	v := s.views.Load()
	groups := serving(v)
	list := driftapi.Entries{Entries: []driftapi.Entry{}, Life: s.life.Milliseconds()}
	for _, name := range groups.choose(caller, domain) {
		vm, _ := v.VMs.Get(name)
		list.Entries = append(list.Entries, driftapi.Entry{
			Name: vm.Name, Address: vm.Callers, Domain: vm.Domain,
		})
	}
	return list
}

// groupTable holds the names of the serving VMs by failure domain.
type groupTable struct {
	rows map[string][]string
}

// serving returns the VMs that callers may use.
func serving(v *drifttable.View) groupTable {
	t := groupTable{rows: make(map[string][]string)}
	for vm := range v.VMs.All() {
		if vm.Health == drifttable.Dead || vm.Callers == "" || v.VMOut(vm.Name) {
			continue
		}
		t.rows[vm.Domain] = append(t.rows[vm.Domain], vm.Name)
	}
	return t
}

// choose returns the names for a caller, best first.
func (t groupTable) choose(caller, domain string) []string {
	near, known := t.rows[domain]
	if !known {
		domain, near = t.home(caller)
	}
	chosen := first(drifttable.Rank(caller, near), maxNear)
	others := t.domains(domain)
	for _, d := range first(drifttable.Rank(caller, others), maxFarDomains) {
		chosen = append(chosen, first(drifttable.Rank(caller, t.rows[d]), maxFar)...)
	}
	return chosen
}

// home returns the domain of the VM that ranks first over the whole fleet, so
// that callers without a domain are spread by VM and not by domain.
func (t groupTable) home(caller string) (domain string, names []string) {
	var best []string
	owner := make(map[string]string)
	for d, group := range t.rows {
		name := drifttable.First(caller, group)
		owner[name] = d
		best = append(best, name)
	}
	domain = owner[drifttable.First(caller, best)]
	return domain, t.rows[domain]
}

// domains returns the other domains in order.
func (t groupTable) domains(without string) []string {
	var names []string
	for d := range t.rows {
		if d != without {
			names = append(names, d)
		}
	}
	slices.Sort(names)
	return names
}

func first(names []string, count int) []string {
	return names[:min(len(names), count)]
}
