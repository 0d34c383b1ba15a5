package driftgossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// In a small fleet every VM sends heartbeats to all others. In a large one, a
// VM sends them to the next VMs on the ring of its failure domain, and these
// detect when it fails. The first VMs of each ring are its gateways: they alone
// exchange heartbeats and changes with other domains, the first with the first
// and so on, so that one copy of a change from each gateway enters a domain.

// domainRings returns the rings. VMs are sorted by the hash of their names, so
// that neighbors are unlikely to fail together.
func (t *memberTable) domainRings() map[string][]Member {
	if t.rings != nil {
		return t.rings
	}
	t.rings = map[string][]Member{
		t.self.Domain: {{Name: t.self.Name, Domain: t.self.Domain, Address: t.self.Address, rank: xxhash.Sum64String(t.self.Name)}},
	}
	for _, m := range t.members {
		if !m.Dead {
			t.rings[m.Domain] = append(t.rings[m.Domain], m)
		}
	}
	for _, ring := range t.rings {
		slices.SortFunc(ring, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
		})
	}
	return t.rings
}

// fullMesh reports whether every VM sends heartbeats to all others. VMs that died of
// late count: VMs notice the loss of a domain one after the other, and have to agree
// on who judges whether it can be reached.
func (t *memberTable) fullMesh() bool { return 1+len(t.members) <= fullMeshSize }

// settledMesh reports whether the fleet is known to be a small one. A VM that
// has just started does not know of most others.
func (t *memberTable) settledMesh() bool { return t.fullMesh() && t.domains.settled }

// ownRing returns the ring of this VM's domain and this VM's position on it.
func (t *memberTable) ownRing() (ring []Member, at int) {
	ring = t.domainRings()[t.self.Domain]
	return ring, slices.IndexFunc(ring, func(m Member) bool { return m.Name == t.self.Name })
}

// heartbeatTargets returns the VMs that this one sends heartbeats to and that
// monitor it: all others in a small fleet, else the next VMs on the ring.
func (t *memberTable) heartbeatTargets() (targets []Member) {
	if t.fullMesh() {
		for _, ring := range t.domainRings() {
			targets = append(targets, ring...)
		}
		return slices.DeleteFunc(targets, func(m Member) bool { return m.Name == t.self.Name })
	}
	ring, at := t.ownRing()
	for step := 1; step <= monitors(ring); step++ {
		targets = append(targets, ring[(at+step)%len(ring)])
	}
	return targets
}

// monitors returns how many VMs of a ring monitor each of them.
func monitors(ring []Member) int {
	if len(ring) <= domainMeshSize {
		return len(ring) - 1
	}
	return monitorCount
}

// monitoredVMs returns the VMs that have this one among their heartbeat
// targets.
func (t *memberTable) monitoredVMs() map[string]bool {
	assigned := make(map[string]bool)
	if t.fullMesh() {
		for _, m := range t.heartbeatTargets() {
			assigned[m.Name] = true
		}
		return assigned
	}
	ring, at := t.ownRing()
	for step := 1; step <= monitors(ring); step++ {
		assigned[ring[(at-step+len(ring))%len(ring)].Name] = true
	}
	return assigned
}

// gateways returns the gateways of a failure domain.
func (t *memberTable) gateways(domain string) []Member {
	ring := t.domainRings()[domain]
	return ring[:min(gatewaysPerDomain, len(ring))]
}

// isGateway reports whether this VM is a gateway of its domain.
func (t *memberTable) isGateway() bool {
	_, at := t.ownRing()
	return at < gatewaysPerDomain && t.domains.settled && !t.fullMesh()
}

// splitByDomain returns the members of this VM's domain and the others.
func (t *memberTable) splitByDomain(members []Member) (near, far []Member) {
	for _, m := range members {
		if m.Domain == t.self.Domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// gatewayTargets returns the gateways of other domains that this VM, a gateway,
// exchanges heartbeats and changes with.
func (t *memberTable) gatewayTargets() (targets []Member) {
	if !t.isGateway() {
		return nil
	}
	_, at := t.ownRing()
	for domain := range t.domainRings() {
		if domain != t.self.Domain {
			gateways := t.gateways(domain)
			targets = append(targets, gateways[min(at, len(gateways)-1)])
		}
	}
	return targets
}

// rumorTargets returns a few VMs of this domain, among them its gateways, that
// changes are sent to besides the heartbeat targets, so that they spread in a
// number of rounds that grows with the logarithm of the domain.
func (t *memberTable) rumorTargets() []Member {
	if t.fullMesh() {
		return nil
	}
	ring, _ := t.ownRing()
	targets := append(sample(slices.Clone(ring), rumorCount), t.gateways(t.self.Domain)...)
	return slices.DeleteFunc(targets, func(m Member) bool { return m.Name == t.self.Name })
}

// changeQueue counts, by VM, how many more times its last change is sent.
type changeQueue map[string]int

// take returns the changes for the next datagrams, the least often sent ones
// first, and counts them as sent.
func (q changeQueue) take(members map[string]Member, bound int) []*driftgossippb.Entry {
	names := make([]string, 0, len(q))
	for name := range q {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(q[b], q[a]), cmp.Compare(a, b))
	})
	var entries []*driftgossippb.Entry
	for _, name := range names[:min(len(names), bound)] {
		entries = append(entries, toEntry(members[name]))
		if q[name]--; q[name] <= 0 {
			delete(q, name)
		}
	}
	return entries
}
