package driftcontrol

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times of ownership.
const (
	// holdTime is how long a new owner waits before it dispatches, so that
	// requests that the earlier owner sent have ended.
	holdTime = time.Second
	// adoptAfter is how long the published list must show no VM of a domain
	// before another domain takes its upstreams. It exceeds the time by which
	// the list lags behind.
	adoptAfter = 15 * time.Second
	// returnHold replaces holdTime for the first VM of a domain that was empty,
	// so that the VMs of other domains see it and release the upstreams.
	returnHold = 5 * time.Second
)

// ownerTable holds the owners of the previous view and the inputs that they were
// computed from.
type ownerTable struct {
	rows            drifttable.Table[drifttable.Owner]
	holdUntil       map[string]time.Time
	candidacies     []candidacy
	tableGeneration uint64
	// unexcluded are the VMs out of service whose upstreams this VM takes over
	// once a majority of voters excludes them.
	unexcluded map[string]bool
}

func newOwnerTable() ownerTable {
	return ownerTable{holdUntil: make(map[string]time.Time)}
}

// candidacy is what the choice of owners uses of one VM.
type candidacy struct {
	name, domain string
	// serves is set for a VM that may own upstreams, as far as this VM sees.
	serves bool
	// excluded is set for a VM of this VM's domain that a majority of voters
	// excludes from ownership.
	excluded bool
}

// candidacies returns the candidacies of all VMs in the order of their names.
func (c *Control) candidacies(now time.Time) []candidacy {
	all := make([]candidacy, 0, len(c.members.names))
	for _, name := range c.members.names {
		m := c.members.rows[name]
		candidate := candidacy{name: name, domain: m.vm.Domain}
		candidate.serves = (m.vm.Listed || m.contacted) && !m.vm.Out && !m.fenced &&
			(m.vm.Health == drifttable.Alive || m.vm.Health == drifttable.Suspect)
		switch {
		case name == c.self.Name:
			candidate.serves = !c.fenced && !m.leaving() && !m.vm.Out
		case m.vm.Domain == c.self.Domain && (!candidate.serves || len(c.ownDomainVMs) <= smallDomain):
			candidate.excluded = c.excluded(name, now)
		}
		all = append(all, candidate)
	}
	return all
}

// chooseOwners assigns each upstream to a VM of its own failure domain by
// rendezvous hashing. It returns the table of the previous view when
// nothing has changed.
func (c *Control) chooseOwners(upstreams drifttable.Table[drifttable.Upstream], now time.Time) drifttable.Table[drifttable.Owner] {
	candidacies := c.candidacies(now)
	adoptions := c.adoptions(now)
	if c.owners.tableGeneration == c.tables.generation && slices.Equal(candidacies, c.owners.candidacies) && adoptions.equal(c.previousAdoptions) {
		return c.owners.rows
	}
	c.owners.candidacies, c.owners.tableGeneration, c.previousAdoptions = candidacies, c.tables.generation, adoptions
	groups := groupCandidacies(candidacies)
	c.owners.unexcluded = make(map[string]bool)
	defer func() {
		if len(c.owners.unexcluded) > 0 {
			c.monitorDue = now
		}
	}()
	rows := make([]drifttable.Owner, 0, upstreams.Len())
	for u := range upstreams.All() {
		domain := adoptions.ownerDomain(u)
		rows = append(rows, c.chooseOwner(u, groups.rows[domain], now))
	}
	c.owners.rows = drifttable.NewTable(rows...)
	return c.owners.rows
}

// candidacyGroups holds the candidacies by failure domain.
type candidacyGroups struct {
	rows map[string]*candidacyGroup
}

// candidacyGroup is the VMs of one domain.
type candidacyGroup struct {
	names []string
	rows  map[string]candidacy
}

func groupCandidacies(all []candidacy) candidacyGroups {
	g := candidacyGroups{rows: make(map[string]*candidacyGroup)}
	for _, s := range all {
		group, found := g.rows[s.domain]
		if !found {
			group = &candidacyGroup{rows: make(map[string]candidacy)}
			g.rows[s.domain] = group
		}
		group.names = append(group.names, s.name)
		group.rows[s.name] = s
	}
	return g
}

// chooseOwner returns the owner of one upstream among the VMs of a domain.
func (c *Control) chooseOwner(u drifttable.Upstream, group *candidacyGroup, now time.Time) drifttable.Owner {
	o := drifttable.Owner{Upstream: u.Name}
	if group == nil {
		return o
	}
	var unexcluded []string
	for _, name := range drifttable.Rank(u.Name, group.names) {
		s := group.rows[name]
		if !s.serves || s.excluded {
			if !s.excluded {
				unexcluded = append(unexcluded, name)
			}
			continue
		}
		o.Candidates = append(o.Candidates, name)
		if len(o.Candidates) == 1 && c.mayOwn(name, unexcluded) {
			o.Name = name
		}
	}
	o.HoldUntil = c.holdUntil(o, now)
	return o
}

// mayOwn reports whether the first candidate owns the upstream. This VM owns it
// only when all VMs that rank before it are excluded; those that are not are
// recorded.
func (c *Control) mayOwn(name string, unexcluded []string) bool {
	if name != c.self.Name || len(unexcluded) == 0 {
		return true
	}
	for _, subject := range unexcluded {
		c.owners.unexcluded[subject] = true
	}
	return false
}

// holdUntil returns when this VM may start to dispatch to an upstream that it
// owns, zero for an upstream of another owner.
func (c *Control) holdUntil(o drifttable.Owner, now time.Time) time.Time {
	until, ownedBefore := c.owners.holdUntil[o.Upstream]
	if o.Name != c.self.Name {
		if ownedBefore {
			delete(c.owners.holdUntil, o.Upstream)
			c.events.Record(driftevent.OwnerChanged, "", o.Upstream, c.self.Name+" to "+o.Name)
		}
		return time.Time{}
	}
	if !ownedBefore {
		until = now.Add(c.holdDuration(now))
		c.owners.holdUntil[o.Upstream] = until
		c.events.Record(driftevent.OwnerChanged, "", o.Upstream, "to "+o.Name)
	}
	return until
}

// holdDuration returns how long this VM holds a new upstream: longer when it may
// be the first VM of a domain whose upstreams another domain has adopted.
func (c *Control) holdDuration(now time.Time) time.Duration {
	first := len(c.domainVMs(c.self.Domain)) <= 1 && now.Sub(c.started) < adoptAfter
	if first || (!c.ownDomainEmptyAt.IsZero() && now.Sub(c.ownDomainEmptyAt) < adoptAfter) {
		return returnHold
	}
	return holdTime
}
