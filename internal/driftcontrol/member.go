package driftcontrol

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// memberTable holds the VMs of the published list.
type memberTable struct {
	vms drifttable.Table[drifttable.VM]
}

// apply replaces the listed VMs.
func (t *memberTable) apply(listed []driftplatform.ListedVM) {
	rows := make([]drifttable.VM, 0, len(listed))
	for _, l := range listed {
		vm := drifttable.VM{
			Name: l.Name, Domain: l.Domain, Callers: l.Callers, Peers: l.Peers, Listed: true,
		}
		if l.Leaving {
			vm.Health = drifttable.Leaving
		}
		rows = append(rows, vm)
	}
	t.vms = drifttable.NewTable(rows...)
}

// fill copies the members into a view, this VM included.
func (t *memberTable) fill(v *drifttable.View, self drifttable.VM, leaving bool) {
	rows := make([]drifttable.VM, 0, t.vms.Len()+1)
	for vm := range t.vms.All() {
		rows = append(rows, vm)
	}
	if leaving {
		self.Health = drifttable.Leaving
	}
	rows = append(rows, self)
	v.VMs = drifttable.NewTable(rows...)
}

// readList reads the published VM list until ctx ends.
func (c *Control) readList(ctx context.Context) {
	for ctx.Err() == nil {
		if r, ok := c.lister.List(ctx).(driftplatform.Listed); ok {
			c.tell(ctx, listRead{vms: r.VMs})
		}
		sleep(ctx, c.listing)
	}
}

// sinceTable remembers when this VM first saw a mark.
type sinceTable struct {
	rows map[string]time.Time
}

func newSinceTable() sinceTable {
	return sinceTable{rows: make(map[string]time.Time)}
}

// mark returns the moment since which the subject is marked, zero when it is
// not.
func (t sinceTable) mark(subject string, marked bool, now time.Time) time.Time {
	if !marked {
		delete(t.rows, subject)
		return time.Time{}
	}
	if _, found := t.rows[subject]; !found {
		t.rows[subject] = now
	}
	return t.rows[subject]
}
