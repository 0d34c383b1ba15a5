package driftgossip

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// Reachability of failure domains. A VM's death is detected inside its domain.
// Whether a whole domain can be reached is judged by each domain for itself: its
// gateways report the domains that they hear nothing of. A domain that is cut off
// from some domains only stays alive for the others.

const (
	// domainProbeAfter is the silence of a domain after which its VMs are probed:
	// its gateways may have just failed.
	domainProbeAfter = 800 * time.Millisecond
	// domainDeadAfter is the silence after which a domain counts as unreached.
	domainDeadAfter = 2200 * time.Millisecond
	// domainForgetAfter is how long a domain counts as unreached before its VMs
	// count as dead until they are heard of again.
	domainForgetAfter = 3 * time.Second
	// settleTime is how long a VM runs before it acts as a gateway: it first has
	// to know its domain.
	settleTime = 1500 * time.Millisecond
	// probesPerDomain is how many VMs of a silent domain are probed in a round.
	probesPerDomain = 2
)

// domainTable holds what this VM knows of other failure domains.
type domainTable struct {
	// lastHeard is when a datagram from the domain last arrived, or when this VM
	// became a gateway.
	lastHeard map[string]time.Time
	// unreachedSince is when the domain was first found unreachable.
	unreachedSince map[string]time.Time
	// unreached are the domains that this VM, a gateway, hears nothing of.
	unreached []string
	gateway   bool
	// startedAt is when this VM started.
	startedAt time.Time
	// settled is set once this VM has run for settleTime.
	settled bool
	// synced holds the domains whose members were asked for.
	synced map[string]bool
}

func newDomainTable() domainTable {
	return domainTable{
		lastHeard: make(map[string]time.Time), unreachedSince: make(map[string]time.Time), synced: make(map[string]bool),
	}
}

// hear records a datagram from a domain. It reports whether this VM, a gateway,
// had heard nothing of the domain for domainProbeAfter, so that it may not know
// the domain's gateways.
func (t *memberTable) hear(domain string, now time.Time) (returned bool) {
	last, known := t.domains.lastHeard[domain]
	t.domains.lastHeard[domain] = now
	return t.domains.gateway && known && domain != t.self.Domain && now.Sub(last) > domainProbeAfter
}

// trusts reports whether a VM can know what an entry says: that a VM is dead is
// detected in its domain, or judged by this VM's own.
func (t *memberTable) trusts(sender, e *driftgossippb.Entry) bool {
	return !e.GetDead() || sender.GetDomain() == t.self.Domain || sender.GetDomain() == e.GetDomain()
}

// unreachable reports whether the gateways of this domain hear nothing of another
// one.
func (t *memberTable) unreachable(domain string) bool {
	if domain == t.self.Domain || t.fullMesh() {
		return false
	}
	for _, gateway := range t.gateways(t.self.Domain) {
		unreached := t.members[gateway.Name].Unreached
		if gateway.Name == t.self.Name {
			unreached = t.domains.unreached
		}
		if !slices.Contains(unreached, domain) {
			return false
		}
	}
	return true
}

// updateDomains updates which domains are unreached. It returns VMs of silent
// domains to probe, and reports whether this VM, a gateway, has to ask other
// domains for their members: it has just become a gateway, or a domain is new to
// it.
func (t *memberTable) updateDomains(now time.Time) (probes []Member, sync bool) {
	if t.domains.startedAt.IsZero() {
		t.domains.startedAt = now
	}
	t.domains.settled = now.Sub(t.domains.startedAt) >= settleTime
	gateway := t.isGateway()
	becameGateway := gateway && !t.domains.gateway
	t.domains.gateway = gateway
	switch {
	case becameGateway:
		clear(t.domains.synced)
		t.enqueueRecentChanges(now)
	case !gateway:
		clear(t.outbound)
	}
	t.domains.unreached = nil
	if gateway {
		probes, sync = t.listenToDomains(becameGateway, now)
	}
	t.forgetUnreached(now)
	return probes, sync
}

// listenToDomains updates, at a gateway, which domains are unreached. The results
// are those of updateDomains.
func (t *memberTable) listenToDomains(becameGateway bool, now time.Time) (probes []Member, sync bool) {
	for domain := range t.domains.synced {
		if len(t.domainRings()[domain]) == 0 {
			delete(t.domains.synced, domain)
		}
	}
	for domain := range t.otherDomains() {
		if becameGateway || t.domains.lastHeard[domain].IsZero() {
			t.domains.lastHeard[domain] = now
		}
		if len(t.domainRings()[domain]) > 0 && !t.domains.synced[domain] {
			sync, t.domains.synced[domain] = true, true
		}
		silence := now.Sub(t.domains.lastHeard[domain])
		if silence > domainDeadAfter {
			t.domains.unreached = append(t.domains.unreached, domain)
		}
		if silence > domainProbeAfter {
			probes = append(probes, sample(slices.Clone(t.domainRings()[domain]), probesPerDomain)...)
		}
	}
	slices.Sort(t.domains.unreached)
	return append(probes, t.deadDomainProbes()...), sync
}

// enqueueRecentChanges schedules the recent changes of this VM's domain, which the
// gateway before it may not have sent.
func (t *memberTable) enqueueRecentChanges(now time.Time) {
	for name, m := range t.members {
		if m.Domain == t.self.Domain && now.Sub(m.StatusChanged) < recentlyAliveSpan {
			t.outbound[name] = outboundTransmissions
		}
	}
}

// otherDomains returns the other domains that this VM knows members of, dead
// ones included.
func (t *memberTable) otherDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, m := range t.members {
		if m.Domain != t.self.Domain {
			domains[m.Domain] = true
		}
	}
	return domains
}

// deadDomainProbes returns VMs to probe of domains without a live VM.
func (t *memberTable) deadDomainProbes() (probes []Member) {
	dead := make(map[string][]Member)
	for _, m := range t.members {
		if len(t.domainRings()[m.Domain]) == 0 {
			dead[m.Domain] = append(dead[m.Domain], m)
		}
	}
	for _, vms := range dead {
		probes = append(probes, sample(vms, probesPerDomain)...)
	}
	return probes
}

// forgetUnreached marks the VMs of domains dead that have long been
// unreachable. These deaths are not passed on, and any report that such a VM is
// alive revives it, since its heartbeat is reset.
func (t *memberTable) forgetUnreached(now time.Time) {
	unreachable := make(map[string]bool)
	for domain := range t.otherDomains() {
		unreachable[domain] = t.unreachable(domain)
	}
	for domain := range t.domains.unreachedSince {
		if !unreachable[domain] {
			delete(t.domains.unreachedSince, domain)
		}
	}
	for domain, lost := range unreachable {
		since, known := t.domains.unreachedSince[domain]
		switch {
		case !lost:
		case !known:
			t.domains.unreachedSince[domain] = now
		case now.Sub(since) > domainForgetAfter:
			t.forgetDomain(domain, now)
		}
	}
}

func (t *memberTable) forgetDomain(domain string, now time.Time) {
	for name, m := range t.members {
		if m.Domain != domain || m.Dead {
			continue
		}
		m.Dead, m.StatusChanged, m.Heartbeat = true, now, 0
		t.members[name] = m
		t.rings = nil
		t.version++
	}
}
