package driftcontrol

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// tableCache holds the parts of a view that change with the documents, and
// the VMs of the previous view.
type tableCache struct {
	view drifttable.View
	// generation counts the rebuilds of the tables of documents. The other
	// numbers are the change counts of the tables that it was built from.
	generation uint64
	documents  uint64
	departures int
	members    uint64
}

// publish updates the tables and publishes a view of them.
func (c *Control) publish(now time.Time) {
	c.markMembers(now)
	c.updateHealth(now)
	c.stepGrants(now)
	c.updateFence(now)
	c.refreshTables(now)
	c.viewNumber++
	v := c.tables.view
	v.Number, v.BuiltAt, v.Fenced = c.viewNumber, now, c.fenced
	v.Owners = c.chooseOwners(v.Upstreams, now)
	v.LastConfigContact = c.lastConfigContact
	v.Draining = c.leaving && !c.closed
	c.views.Publish(v)
	if !c.fenced {
		c.members.rows[c.self.Name].grant.recordLease(now)
	}
}

// updateFence fences this VM when it no longer holds a lease and unfences it
// when it holds one.
func (c *Control) updateFence(now time.Time) {
	fenced := !c.holdsLease(now)
	if fenced == c.fenced {
		return
	}
	c.fenced = fenced
	c.members.generation++
	for _, m := range c.members.rows {
		m.probe.due = now
	}
	code := driftevent.VMUnfenced
	if fenced {
		code = driftevent.VMFenced
	}
	c.events.Record(code, "", c.self.Name, "")
}

// refreshTables rebuilds the tables that have changed.
func (c *Control) refreshTables(now time.Time) {
	t := &c.tables
	c.documentsSynced = c.documentsSynced || now.Sub(c.started) > syncTimeout
	if c.documentsSynced && (t.documents != c.documents.changes || t.departures != len(c.departures.rows)) {
		t.documents = c.documents.changes
		t.generation++
		c.documents.fillView(&t.view)
		c.markTables(now)
		t.departures = len(c.departures.rows)
	}
	if t.members != c.members.generation {
		t.members = c.members.generation
		t.view.VMs = drifttable.NewTable(c.members.vms()...)
	}
}

// markTables applies marks and departures to the domains and upstreams of the
// documents.
func (c *Control) markTables(now time.Time) {
	v := &c.tables.view
	domains := make([]drifttable.Domain, 0, v.Domains.Len())
	for d := range v.Domains.All() {
		domains = append(domains, c.markDomain(d, now))
	}
	v.Domains = drifttable.NewTable(domains...)
	upstreams := make([]drifttable.Upstream, 0, v.Upstreams.Len())
	for u := range v.Upstreams.All() {
		upstreams = append(upstreams, c.applyDeparture(u, now))
	}
	v.Upstreams = drifttable.NewTable(upstreams...)
}
