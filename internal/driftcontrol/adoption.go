package driftcontrol

import (
	"maps"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// adoptionTable assigns the upstreams of a failure domain that has no VM in
// service to other domains.
type adoptionTable struct {
	// empty are the domains without a VM in service.
	empty map[string]bool
	// adopters are the domains that may adopt upstreams, in order.
	adopters []string
}

func (t adoptionTable) equal(other adoptionTable) bool {
	return maps.Equal(t.empty, other.empty) && len(t.adopters) == len(other.adopters)
}

// ownerDomain returns the domain whose VMs own the upstream.
func (t adoptionTable) ownerDomain(u drifttable.Upstream) string {
	if !t.empty[u.Domain] {
		return u.Domain
	}
	return drifttable.HighestRanked(u.Name, t.adopters)
}

// adoptions computes which published domains are empty. A domain counts as
// empty once the published list has shown no VM of it, or only VMs that are
// marked out, for longer than the list may lag behind, and no VM of it that
// could serve is in contact with this one.
func (c *Control) adoptions(now time.Time) adoptionTable {
	t := adoptionTable{empty: make(map[string]bool)}
	present := c.presentDomains()
	if !present[c.self.Domain] {
		c.ownDomainEmptyAt = now
	}
	for d := range c.tables.view.Domains.All() {
		if present[d.Name] {
			delete(c.emptySince, d.Name)
			if !d.Out {
				t.adopters = append(t.adopters, d.Name)
			}
			continue
		}
		since, found := c.emptySince[d.Name]
		if !found {
			since = now
			c.emptySince[d.Name] = now
		}
		if c.listRead && now.Sub(since) > adoptAfter+2*listInterval(c.listInterval, len(c.members.listed)) {
			t.empty[d.Name] = true
		}
	}
	return t
}

// presentDomains returns the domains that have a VM in service, according to
// the list or to direct contact with the VM.
func (c *Control) presentDomains() map[string]bool {
	present := make(map[string]bool)
	for _, name := range c.members.names {
		m := c.members.rows[name]
		inContact := m.contacted && m.vm.Health != drifttable.Dead && m.vm.Health != drifttable.Leaving
		if (m.vm.Listed || inContact) && !m.vm.Out {
			present[m.vm.Domain] = true
		}
	}
	return present
}
