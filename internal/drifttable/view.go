// Package drifttable holds the entities that almonddrift works with, kept in
// tables, and the immutable View of them that requests are handled with.
//
// The control goroutine owns the tables. On each tick it builds a new View
// and publishes it through an atomic pointer (see ViewHolder). The code that
// handles traffic loads one View at the start of a decision and uses it for the
// whole decision, so that it never sees part of a change.
//
// # Usage
//
//	holder := drifttable.NewViewHolder(drifttable.View{Self: "vm-1"})
//	v := holder.Load()
//	owner, found := v.Owner("counter-3a")
package drifttable

import (
	"sync/atomic"
	"time"
)

// View is the state of the fleet that the handling of traffic may use, as of one
// moment.
// A published View is never changed.
type View struct {
	// Self is the name of the VM that built the view.
	Self string
	// Number counts the views that this VM has published.
	Number uint64
	// BuiltAt is when the control goroutine built the view. No decision uses
	// a view that is older than the freshness limit.
	BuiltAt time.Time
	// Fenced is set while this VM does not know whether it still owns its
	// upstreams. A fenced VM dispatches nothing.
	Fenced bool
	// Draining is set while this VM shuts down and still accepts queries from
	// callers that have its address cached.
	Draining bool
	// LastConfigContact is when the configuration service last answered this
	// VM or one that forwarded its documents. It is zero before the first
	// answer.
	LastConfigContact time.Time

	Domains   Table[Domain]
	VMs       Table[VM]
	Upstreams Table[Upstream]
	Services  Table[Service]
	Classes   Table[Class]
	Revisions Table[Revision]
	// Owners names the owner of each upstream, as computed by this VM.
	Owners Table[Owner]
}

// Owner assigns an upstream to the VM that holds its connections, queue,
// limit and warm-up state. Candidates are the VMs that could own it, best
// first, including Name. A new owner may not dispatch before HoldUntil, since
// the earlier owner's requests may still be in flight.
type Owner struct {
	Upstream   string
	Name       string
	Candidates []string
	HoldUntil  time.Time
}

// Key returns the upstream's name.
func (o Owner) Key() string { return o.Upstream }

// Owner returns the VM that owns the upstream, and whether there is one.
func (v *View) Owner(upstream string) (name string, found bool) {
	o, found := v.Owners.Get(upstream)
	return o.Name, found && o.Name != ""
}

// Owns reports whether this VM owns the upstream.
func (v *View) Owns(upstream string) bool {
	name, found := v.Owner(upstream)
	return found && name == v.Self
}

// DomainOut reports whether operators have marked the failure domain out of
// service.
func (v *View) DomainOut(name string) bool {
	d, found := v.Domains.Get(name)
	return found && d.Out
}

// UpstreamOut reports whether the upstream may receive no new work, because
// it is leaving or its failure domain is marked out. An upstream that is not
// known counts as out.
func (v *View) UpstreamOut(name string) bool {
	u, found := v.Upstreams.Get(name)
	return !found || u.Leaving || v.DomainOut(u.Domain)
}

// PublishedOut reports whether the documents say that the upstream may receive
// no new work. Unlike UpstreamOut it ignores departures that VMs observed from
// traffic, so that all VMs with the same documents agree.
func (v *View) PublishedOut(name string) bool {
	u, found := v.Upstreams.Get(name)
	return !found || u.Leaving && !u.LeavingObserved || v.DomainOut(u.Domain)
}

// VMOut reports whether the VM may receive no new work, because it or its
// failure domain is marked out or because it is leaving. A VM that is not known
// counts as out.
func (v *View) VMOut(name string) bool {
	vm, found := v.VMs.Get(name)
	if !found {
		return true
	}
	return vm.Out || vm.Health == Leaving || v.DomainOut(vm.Domain)
}

// MarkedOut reports whether operators have marked the VM or its failure
// domain out. A VM that is not known counts as out.
func (v *View) MarkedOut(name string) bool {
	vm, found := v.VMs.Get(name)
	return !found || vm.Out || v.DomainOut(vm.Domain)
}

// Age returns how old the view is at the given moment.
func (v *View) Age(now time.Time) time.Duration {
	return now.Sub(v.BuiltAt)
}

// ConfigAge returns how long ago the configuration service was last known to
// answer.
func (v *View) ConfigAge(now time.Time) time.Duration {
	return now.Sub(v.LastConfigContact)
}

// OwnershipReady reports whether this VM may act as an owner, and may already
// dispatch to every upstream for which it is the first candidate.
func (v *View) OwnershipReady(now time.Time) bool {
	if v.Fenced {
		return false
	}
	for o := range v.Owners.All() {
		first := len(o.Candidates) > 0 && o.Candidates[0] == v.Self
		if first && (o.Name == "" || now.Before(o.HoldUntil)) {
			return false
		}
	}
	return true
}

// ViewHolder passes the newest View from the control goroutine to the
// goroutines that handle traffic.
type ViewHolder struct {
	current atomic.Pointer[View]
}

// NewViewHolder returns a ViewHolder that holds the given first view.
func NewViewHolder(first View) *ViewHolder {
	h := &ViewHolder{}
	h.Publish(first)
	return h
}

// Load returns the newest view. The caller must not change it.
func (h *ViewHolder) Load() *View {
	return h.current.Load()
}

// Publish makes the view the newest one.
func (h *ViewHolder) Publish(v View) {
	h.current.Store(&v)
}
