package driftgossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// Member is the state of another VM as this VM knows it.
type Member struct {
	Name    string
	Domain  string
	Address string
	// Incarnation identifies a run of the VM's process; a later run has a greater
	// one.
	Incarnation uint64
	// Heartbeat is a counter that grows as long as the VM runs.
	Heartbeat uint64
	// Dead is set once a VM that monitors it has received nothing from it for
	// deadAfter.
	Dead    bool
	Leaving bool
	// Ready reports whether the VM can serve callers.
	Ready bool
	// PlatformUnreadable is set while the VM fails to read the platform.
	PlatformUnreadable bool
	// Capacity is how many attempts at upstreams a second the VM can make, 0 if
	// unknown.
	Capacity uint32
	// Load is an upper bound on how many attempts a second it makes, 0 or a power
	// of two.
	Load uint32
	// Known is how many VMs it has seen alive within knownSpan, itself included.
	Known uint32
	// Unreached are the failure domains that the VM hears nothing of, if it is a
	// gateway of its domain.
	Unreached []string
	// Revision is the newest revision that the VM is known to hold.
	Revision driftstate.Revision
	// LastHeard is when a datagram of the VM last arrived, or when this VM started
	// to monitor it.
	LastHeard time.Time
	// StatusChanged is when Dead or the incarnation last changed.
	StatusChanged time.Time
	// rank is the position on the ring.
	rank uint64
}

// memberTable is the membership as one VM sees it.
type memberTable struct {
	self    Self
	members map[string]Member
	// changes are sent inside the failure domain, outbound ones from a gateway to
	// those of other domains.
	changes  changeQueue
	outbound changeQueue
	// lastAlive holds when and where each VM was last known to be alive.
	lastAlive map[string]lastSeen
	// monitored holds the VMs whose heartbeats this VM waits for.
	monitored map[string]bool
	// rings holds the VMs of each failure domain that are alive, including this
	// one, in an order that is the same on all VMs. It is nil after a change.
	rings map[string][]Member
	// version grows with each change of a member that others are told of.
	version uint64
	domains domainTable
}

// recentlyAliveSpan is how long a dead VM still counts where a limit is shared,
// so that shares do not grow at once. It equals the window of the retry budget
// on the published sites.
const recentlyAliveSpan = 10 * time.Second

// knownSpan is how long a VM counts in the number of VMs among which limits are
// divided after it was last alive. Regions lose each other for up to an hour,
// and each side then uses its own part only.
const knownSpan = time.Hour

// lastSeen is when and at which address a VM was last known to be alive, with its
// capacity.
type lastSeen struct {
	at      time.Time
	address string
	// capacity is that of Member.
	capacity uint32
}

func newTable(self Self) *memberTable {
	return &memberTable{
		self: self, members: make(map[string]Member), lastAlive: make(map[string]lastSeen),
		changes: make(changeQueue), outbound: make(changeQueue), monitored: make(map[string]bool),
		domains: newDomainTable(),
	}
}

// merge stores an entry if it is newer than the known one. Direct is set for an
// entry that a VM sent about itself.
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
		Ready: e.GetReady(), PlatformUnreadable: e.GetBlind(), Revision: revisionOf(e),
		Capacity: e.GetSize(), Load: e.GetLoad(), Known: e.GetKnown(), Unreached: e.GetUnreached(),
		LastHeard: held.LastHeard, StatusChanged: held.StatusChanged, rank: held.rank,
	}
	if !known {
		m.rank = xxhash.Sum64String(m.Name)
	}
	if direct {
		m.LastHeard = now
	}
	t.store(held, m, known, now)
}

// revisionOf returns the revision that the VM of an entry holds.
func revisionOf(e *driftgossippb.Entry) driftstate.Revision {
	return driftstate.Revision{Era: e.GetEra(), Number: e.GetRevision()}
}

// confirmAlive handles an entry that is not newer than the known one. A direct
// one refreshes LastHeard; an outdated report of a death makes this VM send its
// newer entry again.
func (t *memberTable) confirmAlive(held Member, e *driftgossippb.Entry, now time.Time, direct bool) {
	switch {
	case held.Dead || e.GetBoot() != held.Incarnation:
	case e.GetDead():
		t.enqueue(held)
	case direct && e.GetBeat() == held.Heartbeat:
		held.LastHeard = now
		t.members[held.Name] = held
	}
}

// outdatedDeath returns the known member if an entry reports its death at an
// earlier heartbeat than the known one. The VMs that monitor it must take the
// newer heartbeat before they can report the death of this one.
func (t *memberTable) outdatedDeath(e *driftgossippb.Entry) (newer Member, ok bool) {
	held, known := t.members[e.GetName()]
	if !known || !e.GetDead() || held.Dead || e.GetBoot() != held.Incarnation {
		return Member{}, false
	}
	return held, e.GetBeat() < held.Heartbeat
}

// store stores a member, and schedules it for sending if the change matters to
// other VMs.
func (t *memberTable) store(held, m Member, known bool, now time.Time) {
	if !known || held.Dead != m.Dead || held.Incarnation != m.Incarnation {
		m.StatusChanged = now
		t.rings = nil
	}
	if !known || m.StatusChanged.Equal(now) || held.Leaving != m.Leaving || held.Ready != m.Ready ||
		held.PlatformUnreadable != m.PlatformUnreadable || held.Load != m.Load || !slices.Equal(held.Unreached, m.Unreached) {
		t.version++
		t.enqueue(m)
	}
	t.members[m.Name] = m
}

// enqueue schedules the entry of a member for sending: inside this domain, and
// by a gateway to other domains if the member is of its own. Each domain's gateways
// tell the others about their own members only.
func (t *memberTable) enqueue(m Member) {
	t.changes[m.Name] = changeTransmissions
	if m.Domain == t.self.Domain {
		t.outbound[m.Name] = outboundTransmissions
	}
}

// supersedes reports whether an entry is newer than the known member. An older
// incarnation replaces one that is dead: the clock of the VM may have been set
// back.
func supersedes(held Member, e *driftgossippb.Entry) bool {
	if e.GetBoot() != held.Incarnation {
		return e.GetBoot() > held.Incarnation || (held.Dead && !e.GetDead())
	}
	return e.GetBeat() > held.Heartbeat || (e.GetBeat() == held.Heartbeat && e.GetDead() && !held.Dead)
}

// detectFailures marks monitored VMs dead that have been silent for deadAfter,
// and drops those that died long ago. It returns the suspects: VMs that have
// been silent for suspectAfter, perhaps because they do not know that this VM
// monitors them.
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
			delete(t.changes, name)
			delete(t.outbound, name)
			continue
		case m.Dead || !assigned[name]:
			continue
		case !t.monitored[name]:
			// The VM may not know that this one monitors it, and is probed at once.
			t.monitored[name] = true
			m.LastHeard = now.Add(-suspectAfter)
			t.members[name] = m
			suspectVMs = append(suspectVMs, m)
		case now.Sub(m.LastHeard) > deadAfter:
			m.Dead = true
			t.store(held, m, true, now)
		case now.Sub(m.LastHeard) > suspectAfter:
			suspectVMs = append(suspectVMs, m)
		}
	}
	return suspectVMs
}

// alive returns the members that are alive in domains that can be reached, sorted
// by name.
func (t *memberTable) alive() []Member {
	alive := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !m.Dead && !t.unreachable(m.Domain) {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// recent returns the members that were alive within recentlyAliveSpan, sorted by
// name.
func (t *memberTable) recent(now time.Time) []Member {
	recent := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !m.Dead || now.Sub(m.StatusChanged) < recentlyAliveSpan {
			recent = append(recent, m)
		}
	}
	slices.SortFunc(recent, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return recent
}

// knownVMs returns how many VMs, including this one, were alive within
// knownSpan, and drops the others.
func (t *memberTable) knownVMs(now time.Time) int {
	for name, m := range t.members {
		if !m.Dead {
			t.lastAlive[name] = lastSeen{now, m.Address, m.Capacity}
		}
	}
	for name, seen := range t.lastAlive {
		if now.Sub(seen.at) > knownSpan {
			delete(t.lastAlive, name)
		}
	}
	return 1 + len(t.lastAlive)
}

// lostAddresses returns the addresses of VMs that were alive within knownSpan and have
// been dropped since.
func (t *memberTable) lostAddresses() (lost []string) {
	for name, seen := range t.lastAlive {
		if _, known := t.members[name]; !known {
			lost = append(lost, seen.address)
		}
	}
	return lost
}

func toEntry(m Member) *driftgossippb.Entry {
	return &driftgossippb.Entry{
		Name: m.Name, Domain: m.Domain, Address: m.Address, Boot: m.Incarnation, Beat: m.Heartbeat, Dead: m.Dead,
		Leaving: m.Leaving, Ready: m.Ready, Blind: m.PlatformUnreadable, Era: m.Revision.Era, Revision: m.Revision.Number, Age: unconfirmedAgeMillis,
		Size: m.Capacity, Load: m.Load, Known: m.Known, Unreached: m.Unreached,
	}
}

// Parameters of loadLevel.
const (
	// minLoadLevel is the lowest level above 0, in attempts a second: about one
	// query a second.
	minLoadLevel = 64
	// loadHysteresis is the fraction of half the announced level to which the load
	// must fall before a lower level is announced.
	loadHysteresis = 0.7
)

// loadLevel returns the power of two that bounds a load in attempts a second.
// It has hysteresis, so that a load close to a power of two does not switch
// between two levels. Held is the level announced so far.
func loadLevel(held uint32, attemptsPerSecond float64) uint32 {
	level := uint32(0)
	if attemptsPerSecond > minLoadLevel/2 {
		level = minLoadLevel
	}
	for float64(level) < attemptsPerSecond && level > 0 {
		level *= 2
	}
	if level < held && attemptsPerSecond > loadHysteresis*float64(held)/2 {
		return held
	}
	return level
}

// platformReaders returns the names of the VMs that read the platform for the
// fleet: the first of each failure domain, up to the bound. VMs that leave or
// cannot read the platform are skipped as long as others can.
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
