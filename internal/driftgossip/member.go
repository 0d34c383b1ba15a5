package driftgossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// Member is what this VM knows of another one.
type Member struct {
	Name    string
	Domain  string
	Address string
	// Incarnation tells incarnations of the VM apart; a later one is greater.
	Incarnation uint64
	// Heartbeat grows while the VM lives.
	Heartbeat uint64
	// Dead is set once a VM that watches it has not heard of it for too long.
	Dead    bool
	Leaving bool
	// Ready reports whether the VM can serve callers.
	Ready bool
	// PlatformUnreadable reports whether the VM fails to read the platform.
	PlatformUnreadable bool
	// Capacity is how many sends to upstreams the VM bears a second, 0 if not
	// known.
	Capacity uint32
	// Load is a bound on how many it makes a second.
	Load uint32
	// Revision is the newest revision that the VM is known to hold.
	Revision int64
	// LastHeard is when a datagram of the VM last arrived here, or when this VM
	// began to watch it.
	LastHeard time.Time
	// StatusChanged is when Dead last changed.
	StatusChanged time.Time
}

// memberTable is the membership as one VM sees it.
type memberTable struct {
	self    Self
	members map[string]Member
	// remainingSends counts how often news of a VM is still to be sent.
	remainingSends map[string]int
	// monitored are the VMs whose silence this VM judges.
	monitored map[string]bool
	// ring are the VMs that are alive, this one included, in an order that
	// all VMs agree on. It is nil after a change.
	ring []Member
}

// recentlyAliveSpan is how long a VM that died still counts where a bound is shared,
// so that shares do not grow at once. It is the span of the retry budget on
// the published sites.
const recentlyAliveSpan = 10 * time.Second

func newTable(self Self) *memberTable {
	return &memberTable{
		self: self, members: make(map[string]Member),
		remainingSends: make(map[string]int), monitored: make(map[string]bool),
	}
}

// merge takes an entry over if it is news. Direct tells whether it came from
// the VM itself.
func (t *memberTable) merge(e *driftgossippb.Entry, now time.Time, direct bool) {
	held, known := t.members[e.GetName()]
	if e.GetName() == "" || e.GetName() == t.self.Name {
		return
	}
	if known && !supersedes(held, e) {
		t.confirmAlive(held, e, now, direct)
		return
	}
	m := Member{
		Name: e.GetName(), Domain: e.GetDomain(), Address: e.GetAddress(),
		Incarnation: e.GetBoot(), Heartbeat: e.GetBeat(), Dead: e.GetDead(), Leaving: e.GetLeaving(),
		Ready: e.GetReady(), PlatformUnreadable: e.GetBlind(), Revision: e.GetRevision(),
		Capacity: e.GetSize(), Load: e.GetLoad(),
		LastHeard: held.LastHeard, StatusChanged: held.StatusChanged,
	}
	if direct {
		m.LastHeard = now
	}
	t.store(held, m, known, now)
}

// confirmAlive takes from an entry that is not news that the VM was heard of. An
// outdated word of its death is contradicted.
func (t *memberTable) confirmAlive(held Member, e *driftgossippb.Entry, now time.Time, direct bool) {
	switch {
	case held.Dead || e.GetBoot() != held.Incarnation:
	case e.GetDead():
		t.remainingSends[held.Name] = changeTransmissions
	case direct && e.GetBeat() == held.Heartbeat:
		held.LastHeard = now
		t.members[held.Name] = held
	}
}

// store keeps a member, and passes it on if others should know of the change.
func (t *memberTable) store(held, m Member, known bool, now time.Time) {
	if !known || held.Dead != m.Dead || held.Incarnation != m.Incarnation {
		m.StatusChanged = now
		t.ring = nil
	}
	if !known || m.StatusChanged.Equal(now) || held.Leaving != m.Leaving || held.Ready != m.Ready ||
		held.PlatformUnreadable != m.PlatformUnreadable || held.Load != m.Load {
		t.remainingSends[m.Name] = changeTransmissions
	}
	t.members[m.Name] = m
}

// supersedes reports whether an entry is supersedes than what is held. An incarnation
// that looks older is believed once the held one is dead: its clock may have
// been set back.
func supersedes(held Member, e *driftgossippb.Entry) bool {
	if e.GetBoot() != held.Incarnation {
		return e.GetBoot() > held.Incarnation || (held.Dead && !e.GetDead())
	}
	return e.GetBeat() > held.Heartbeat || (e.GetBeat() == held.Heartbeat && e.GetDead() && !held.Dead)
}

// detectFailures takes watched VMs for dead that have been silent for too long, and
// drops those that died long ago. It returns those that are to be asked: they
// have been silent, perhaps because they do not know who watches them.
func (t *memberTable) detectFailures(now time.Time) (suspectVMs []Member) {
	assigned := t.monitoredVMs()
	for name := range t.monitored {
		if !assigned[name] {
			delete(t.monitored, name)
		}
	}
	for name, m := range t.members {
		held := m
		switch {
		case m.Dead && now.Sub(m.StatusChanged) > forgetAfter:
			delete(t.members, name)
			delete(t.remainingSends, name)
			continue
		case m.Dead || !assigned[name]:
			continue
		case !t.monitored[name]:
			t.monitored[name] = true
			m.LastHeard = now
			t.members[name] = m
		case now.Sub(m.LastHeard) > deadAfter:
			m.Dead = true
			t.store(held, m, true, now)
		case now.Sub(m.LastHeard) > suspectAfter:
			suspectVMs = append(suspectVMs, m)
		}
	}
	return suspectVMs
}

// alive returns the members that are alive, by name.
func (t *memberTable) alive() []Member {
	alive := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !m.Dead {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// recent returns the members that were alive within recentSpan.
func (t *memberTable) recent(now time.Time) []Member {
	recent := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !m.Dead || now.Sub(m.StatusChanged) < recentlyAliveSpan {
			recent = append(recent, m)
		}
	}
	return recent
}

// ringOrder returns the ring, in which VMs stand by the hash of their names so
// that neighbors are unlikely to fail together.
func (t *memberTable) ringOrder() []Member {
	if t.ring == nil {
		t.ring = append(t.alive(), Member{Name: t.self.Name, Domain: t.self.Domain, Address: t.self.Address})
		slices.SortFunc(t.ring, func(a, b Member) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
	}
	return t.ring
}

// heartbeatTargets returns the VMs that this one sends its beats to: all of a small
// fleet, else those that follow it on the ring, some in its failure domain
// and some outside. They judge its silence.
func (t *memberTable) heartbeatTargets() []Member {
	ring := t.ringOrder()
	if len(ring) <= fullMeshSize {
		return slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.Name == t.self.Name })
	}
	at := t.ringIndex(ring)
	var targets []Member
	near, far := 0, 0
	for step := 1; step < len(ring) && (near < sameDomainTargets || far < otherDomainTargets); step++ {
		m := ring[(at+step)%len(ring)]
		switch {
		case m.Domain == t.self.Domain && near < sameDomainTargets:
			near++
		case m.Domain != t.self.Domain && far < otherDomainTargets:
			far++
		default:
			continue
		}
		targets = append(targets, m)
	}
	return targets
}

func (t *memberTable) ringIndex(ring []Member) int {
	return slices.IndexFunc(ring, func(m Member) bool { return m.Name == t.self.Name })
}

// monitoredVMs returns the VMs that have this one among their targets.
func (t *memberTable) monitoredVMs() map[string]bool {
	ring := t.ringOrder()
	assigned := make(map[string]bool)
	if len(ring) <= fullMeshSize {
		for _, m := range ring {
			assigned[m.Name] = m.Name != t.self.Name
		}
		return assigned
	}
	at := t.ringIndex(ring)
	// passed counts the VMs between a candidate and this one by domain.
	passed := make(map[string]int)
	total := 0
	for step := 1; step < min(len(ring), maxRingLookback); step++ {
		m := ring[(at-step+len(ring))%len(ring)]
		if m.Domain == t.self.Domain {
			assigned[m.Name] = passed[m.Domain] < sameDomainTargets
		} else {
			assigned[m.Name] = total-passed[m.Domain] < otherDomainTargets
		}
		passed[m.Domain]++
		total++
	}
	return assigned
}

// pendingEntries returns the entries that are to be sent next, those first that were
// sent least often.
func (t *memberTable) pendingEntries() []*driftgossippb.Entry {
	names := make([]string, 0, len(t.remainingSends))
	for name := range t.remainingSends {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.remainingSends[b], t.remainingSends[a]), cmp.Compare(a, b))
	})
	var entries []*driftgossippb.Entry
	for _, name := range names[:min(len(names), maxDatagramEntries)] {
		entries = append(entries, toEntry(t.members[name]))
		if t.remainingSends[name]--; t.remainingSends[name] <= 0 {
			delete(t.remainingSends, name)
		}
	}
	return entries
}

func toEntry(m Member) *driftgossippb.Entry {
	return &driftgossippb.Entry{
		Name: m.Name, Domain: m.Domain, Address: m.Address, Boot: m.Incarnation, Beat: m.Heartbeat, Dead: m.Dead,
		Leaving: m.Leaving, Ready: m.Ready, Blind: m.PlatformUnreadable, Revision: m.Revision, Age: unconfirmedAgeMillis,
		Size: m.Capacity, Load: m.Load,
	}
}

// Levels of load.
const (
	// minLoadLevel is the lowest level but none, in sends a second: about one query
	// a second.
	minLoadLevel = 64
	// loadHysteresis is how far below half of its level a load falls before a lower
	// one is told.
	loadHysteresis = 0.7
)

// loadLevel returns the power of two that bounds a load, in sends a second. It
// falls later than it rises, so that a load near a level does not change it
// all the time.
func loadLevel(held uint32, sends float64) uint32 {
	level := uint32(0)
	if sends > minLoadLevel/2 {
		level = minLoadLevel
	}
	for float64(level) < sends && level > 0 {
		level *= 2
	}
	if level < held && sends > loadHysteresis*float64(held)/2 {
		return held
	}
	return level
}

// platformReaders returns the names of the VMs that read the platform for all: the
// first of each failure domain, up to the bound. VMs that leave or cannot
// read are passed over while others can.
func platformReaders(members []Member, bound int) []string {
	able := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.PlatformUnreadable || m.Leaving })
	if len(able) == 0 {
		able = members
	}
	slices.SortFunc(able, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	var chosen, rest []string
	domains := make(map[string]bool)
	for _, m := range able {
		if domains[m.Domain] {
			rest = append(rest, m.Name)
			continue
		}
		domains[m.Domain] = true
		chosen = append(chosen, m.Name)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(bound, len(chosen))]
}
