package driftcontrol

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// holdTime is how long a new owner waits before it dispatches, so that
// requests that the earlier owner sent have ended.
const holdTime = time.Second

// ownerTable remembers the owners of the view before.
type ownerTable struct {
	rows map[string]drifttable.Owner
}

func newOwnerTable() ownerTable {
	return ownerTable{rows: make(map[string]drifttable.Owner)}
}

// chooseOwners assigns each upstream to a VM of its own failure domain by
// rendezvous hashing.
func (c *Control) chooseOwners(v *drifttable.View, now time.Time) {
	serving := servingByDomain(v)
	owners := make([]drifttable.Owner, 0, v.Upstreams.Len())
	for u := range v.Upstreams.All() {
		owners = append(owners, c.chooseOwner(u, serving.names(u.Domain), now))
	}
	v.Owners = drifttable.NewTable(owners...)
}

func (c *Control) chooseOwner(u drifttable.Upstream, serving []string, now time.Time) drifttable.Owner {
	o := drifttable.Owner{Upstream: u.Name, Candidates: drifttable.Rank(u.Name, serving)}
	if len(o.Candidates) > 0 {
		o.Name = o.Candidates[0]
	}
	before, found := c.owners.rows[u.Name]
	o.Hold = before.Hold
	if found && before.Name != o.Name {
		o.Hold = now.Add(holdTime)
		c.events.Record(driftevent.OwnerChanged, "", u.Name, before.Name+" to "+o.Name)
	}
	c.owners.rows[u.Name] = o
	return o
}

// domainTable holds the names of the serving VMs by failure domain.
type domainTable struct {
	rows map[string][]string
}

func (t domainTable) names(domain string) []string {
	return t.rows[domain]
}

func servingByDomain(v *drifttable.View) domainTable {
	t := domainTable{rows: make(map[string][]string)}
	for vm := range v.VMs.All() {
		if vm.Out || vm.Health == drifttable.Leaving || vm.Health == drifttable.Dead {
			continue
		}
		t.rows[vm.Domain] = append(t.rows[vm.Domain], vm.Name)
	}
	return t
}
