package driftcontrol

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// applyMarks sets the Out and Leaving marks of a view, with the moment at
// which this VM first saw each.
func (c *Control) applyMarks(v *drifttable.View, now time.Time) {
	marks := c.documents.marks()
	domains := make([]drifttable.Domain, 0, v.Domains.Len())
	for d := range v.Domains.All() {
		d.Out = slices.Contains(marks.Domains, d.Name)
		d.Since = c.marks.mark("domain/"+d.Name, d.Out, now)
		domains = append(domains, d)
	}
	v.Domains = drifttable.NewTable(domains...)

	vms := make([]drifttable.VM, 0, v.VMs.Len())
	for vm := range v.VMs.All() {
		vm.Out = slices.Contains(marks.VMs, vm.Name)
		vm.Since = c.marks.mark("vm/"+vm.Name, vm.Out, now)
		vms = append(vms, vm)
	}
	v.VMs = drifttable.NewTable(vms...)

	upstreams := make([]drifttable.Upstream, 0, v.Upstreams.Len())
	for u := range v.Upstreams.All() {
		u.Since = c.marks.mark("upstream/"+u.Name, u.Leaving, now)
		upstreams = append(upstreams, u)
	}
	v.Upstreams = drifttable.NewTable(upstreams...)
}
