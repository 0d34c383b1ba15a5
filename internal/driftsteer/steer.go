// Package driftsteer selects the entry VMs for callers: those of the caller's
// failure domain first, spread by rendezvous hashing on the caller's name. VMs
// that are leaving, dead or marked out are omitted.
//
// A list names at least two failure domains if there are two. The number of VMs
// on it is bounded, whatever the size of the fleet. A caller's list stays the
// same as long as the VMs on it serve.
//
// # Usage
//
//	selector := driftsteer.New(views, 10*time.Second)
//	entries := selector.Entries("till-7", "Recife")
package driftsteer

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Limits of a list.
const (
	// maxLocalVMs is how many VMs of the caller's own failure domain a list names.
	maxLocalVMs = 4
	// maxOtherDomains is how many other failure domains a list names, and
	// maxVMsPerOtherDomain how many VMs of each.
	maxOtherDomains      = 3
	maxVMsPerOtherDomain = 2
)

// maxListTTL bounds how long callers may cache a list.
const maxListTTL = time.Minute

// EntrySelector selects the entry VMs of callers from the current view.
type EntrySelector struct {
	views *drifttable.ViewHolder
	ttl   time.Duration
}

// New returns an EntrySelector. Callers may cache its lists for ttl, up to a
// minute.
func New(views *drifttable.ViewHolder, ttl time.Duration) *EntrySelector {
	return &EntrySelector{views: views, ttl: min(ttl, maxListTTL)}
}

// Entries returns the entry VMs for a caller, best first. The domain may be
// empty if the caller does not know its own.
func (s *EntrySelector) Entries(caller, domain string) driftapi.Entries {
	v := s.views.Load()
	groups := groupServing(v)
	list := driftapi.Entries{Entries: []driftapi.Entry{}, Life: s.ttl.Milliseconds()}
	for _, name := range groups.choose(caller, domain) {
		vm, _ := v.VMs.Get(name)
		list.Entries = append(list.Entries, driftapi.Entry{
			Name: vm.Name, Address: vm.Callers, Domain: vm.Domain,
		})
	}
	return list
}

// domainGroups holds the names of the serving VMs by failure domain.
type domainGroups struct {
	vmNames map[string][]string
}

// groupServing returns the VMs that callers may use, by failure domain.
func groupServing(v *drifttable.View) domainGroups {
	t := domainGroups{vmNames: make(map[string][]string)}
	for vm := range v.VMs.All() {
		if vm.Health == drifttable.Dead || vm.Callers == "" || v.VMOut(vm.Name) {
			continue
		}
		t.vmNames[vm.Domain] = append(t.vmNames[vm.Domain], vm.Name)
	}
	return t
}

// choose returns the names of the VMs for a caller, best first.
func (t domainGroups) choose(caller, domain string) []string {
	near, known := t.vmNames[domain]
	if !known {
		domain, near = t.preferredDomain(caller)
	}
	chosen := firstN(drifttable.Rank(caller, near), maxLocalVMs)
	others := t.otherDomains(domain)
	for _, d := range firstN(drifttable.Rank(caller, others), maxOtherDomains) {
		chosen = append(chosen, firstN(drifttable.Rank(caller, t.vmNames[d]), maxVMsPerOtherDomain)...)
	}
	return chosen
}

// preferredDomain returns the failure domain of the VM that ranks first in the
// whole fleet, so that callers with an unknown domain are spread over VMs and
// not over domains.
func (t domainGroups) preferredDomain(caller string) (domain string, names []string) {
	var best []string
	domainOf := make(map[string]string)
	for d, group := range t.vmNames {
		name := drifttable.HighestRanked(caller, group)
		domainOf[name] = d
		best = append(best, name)
	}
	domain = domainOf[drifttable.HighestRanked(caller, best)]
	return domain, t.vmNames[domain]
}

// otherDomains returns all failure domains but the given one, sorted.
func (t domainGroups) otherDomains(without string) []string {
	var names []string
	for d := range t.vmNames {
		if d != without {
			names = append(names, d)
		}
	}
	slices.Sort(names)
	return names
}

func firstN(names []string, count int) []string {
	return names[:min(len(names), count)]
}
