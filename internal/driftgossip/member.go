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

// table is the membership as one VM sees it.
type table struct {
	self    Self
	members map[string]Member
	// spread counts how often news of a VM is still to be sent.
	spread map[string]int
	// watched are the VMs whose silence this VM judges.
	watched map[string]bool
	// ring are the VMs that are alive, this one included, in an order that
	// all VMs agree on. It is nil after a change.
	ring []Member
}

// recentSpan is how long a VM that died still counts where a bound is shared,
// so that shares do not grow at once. It is the span of the retry budget on
// the published sites.
const recentSpan = 10 * time.Second

func newTable(self Self) *table {
	return &table{
		self: self, members: make(map[string]Member),
		spread: make(map[string]int), watched: make(map[string]bool),
	}
}

// merge takes an entry over if it is news. Direct tells whether it came from
// the VM itself.
func (t *table) merge(e *driftgossippb.Entry, now time.Time, direct bool) {
	held, known := t.members[e.GetName()]
	if e.GetName() == "" || e.GetName() == t.self.Name {
		return
	}
	if known && !newer(held, e) {
		t.confirm(held, e, now, direct)
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

// confirm takes from an entry that is not news that the VM was heard of. An
// outdated word of its death is contradicted.
func (t *table) confirm(held Member, e *driftgossippb.Entry, now time.Time, direct bool) {
	switch {
	case held.Dead || e.GetBoot() != held.Incarnation:
	case e.GetDead():
		t.spread[held.Name] = spreadTimes
	case direct && e.GetBeat() == held.Heartbeat:
		held.LastHeard = now
		t.members[held.Name] = held
	}
}

// store keeps a member, and passes it on if others should know of the change.
func (t *table) store(held, m Member, known bool, now time.Time) {
	if !known || held.Dead != m.Dead || held.Incarnation != m.Incarnation {
		m.StatusChanged = now
		t.ring = nil
	}
	if !known || m.StatusChanged.Equal(now) || held.Leaving != m.Leaving || held.Ready != m.Ready ||
		held.PlatformUnreadable != m.PlatformUnreadable || held.Load != m.Load {
		t.spread[m.Name] = spreadTimes
	}
	t.members[m.Name] = m
}

// newer reports whether an entry is newer than what is held. An incarnation
// that looks older is believed once the held one is dead: its clock may have
// been set back.
func newer(held Member, e *driftgossippb.Entry) bool {
	if e.GetBoot() != held.Incarnation {
		return e.GetBoot() > held.Incarnation || (held.Dead && !e.GetDead())
	}
	return e.GetBeat() > held.Heartbeat || (e.GetBeat() == held.Heartbeat && e.GetDead() && !held.Dead)
}

// judge takes watched VMs for dead that have been silent for too long, and
// drops those that died long ago. It returns those that are to be asked: they
// have been silent, perhaps because they do not know who watches them.
func (t *table) judge(now time.Time) (doubted []Member) {
	watching := t.watching()
	for name := range t.watched {
		if !watching[name] {
			delete(t.watched, name)
		}
	}
	for name, m := range t.members {
		held := m
		switch {
		case m.Dead && now.Sub(m.StatusChanged) > forgetAfter:
			delete(t.members, name)
			delete(t.spread, name)
			continue
		case m.Dead || !watching[name]:
			continue
		case !t.watched[name]:
			t.watched[name] = true
			m.LastHeard = now
			t.members[name] = m
		case now.Sub(m.LastHeard) > deadAfter:
			m.Dead = true
			t.store(held, m, true, now)
		case now.Sub(m.LastHeard) > doubtAfter:
			doubted = append(doubted, m)
		}
	}
	return doubted
}

// alive returns the members that are alive, by name.
func (t *table) alive() []Member {
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
func (t *table) recent(now time.Time) []Member {
	recent := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !m.Dead || now.Sub(m.StatusChanged) < recentSpan {
			recent = append(recent, m)
		}
	}
	return recent
}

// order returns the ring, in which VMs stand by the hash of their names so
// that neighbors are unlikely to fail together.
func (t *table) order() []Member {
	if t.ring == nil {
		t.ring = append(t.alive(), Member{Name: t.self.Name, Domain: t.self.Domain, Address: t.self.Address})
		slices.SortFunc(t.ring, func(a, b Member) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
	}
	return t.ring
}

// targets returns the VMs that this one sends its beats to: all of a small
// fleet, else those that follow it on the ring, some in its failure domain
// and some outside. They judge its silence.
func (t *table) targets() []Member {
	ring := t.order()
	if len(ring) <= meshSize {
		return slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.Name == t.self.Name })
	}
	at := t.place(ring)
	var targets []Member
	near, far := 0, 0
	for step := 1; step < len(ring) && (near < nearTargets || far < farTargets); step++ {
		m := ring[(at+step)%len(ring)]
		switch {
		case m.Domain == t.self.Domain && near < nearTargets:
			near++
		case m.Domain != t.self.Domain && far < farTargets:
			far++
		default:
			continue
		}
		targets = append(targets, m)
	}
	return targets
}

func (t *table) place(ring []Member) int {
	return slices.IndexFunc(ring, func(m Member) bool { return m.Name == t.self.Name })
}

// watching returns the VMs that have this one among their targets.
func (t *table) watching() map[string]bool {
	ring := t.order()
	watching := make(map[string]bool)
	if len(ring) <= meshSize {
		for _, m := range ring {
			watching[m.Name] = m.Name != t.self.Name
		}
		return watching
	}
	at := t.place(ring)
	// passed counts the VMs between a candidate and this one by domain.
	passed := make(map[string]int)
	total := 0
	for step := 1; step < min(len(ring), lookBack); step++ {
		m := ring[(at-step+len(ring))%len(ring)]
		if m.Domain == t.self.Domain {
			watching[m.Name] = passed[m.Domain] < nearTargets
		} else {
			watching[m.Name] = total-passed[m.Domain] < farTargets
		}
		passed[m.Domain]++
		total++
	}
	return watching
}

// news returns the entries that are to be sent next, those first that were
// sent least often.
func (t *table) news() []*driftgossippb.Entry {
	names := make([]string, 0, len(t.spread))
	for name := range t.spread {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.spread[b], t.spread[a]), cmp.Compare(a, b))
	})
	var entries []*driftgossippb.Entry
	for _, name := range names[:min(len(names), datagramEntries)] {
		entries = append(entries, toEntry(t.members[name]))
		if t.spread[name]--; t.spread[name] <= 0 {
			delete(t.spread, name)
		}
	}
	return entries
}

func toEntry(m Member) *driftgossippb.Entry {
	return &driftgossippb.Entry{
		Name: m.Name, Domain: m.Domain, Address: m.Address, Boot: m.Incarnation, Beat: m.Heartbeat, Dead: m.Dead,
		Leaving: m.Leaving, Ready: m.Ready, Blind: m.PlatformUnreadable, Revision: m.Revision, Age: unconfirmed,
		Size: m.Capacity, Load: m.Load,
	}
}

// Levels of load.
const (
	// minLoad is the lowest level but none, in sends a second: about one query
	// a second.
	minLoad = 64
	// loadSlack is how far below half of its level a load falls before a lower
	// one is told.
	loadSlack = 0.7
)

// loadLevel returns the power of two that bounds a load, in sends a second. It
// falls later than it rises, so that a load near a level does not change it
// all the time.
func loadLevel(held uint32, sends float64) uint32 {
	level := uint32(0)
	if sends > minLoad/2 {
		level = minLoad
	}
	for float64(level) < sends && level > 0 {
		level *= 2
	}
	if level < held && sends > loadSlack*float64(held)/2 {
		return held
	}
	return level
}

// readers returns the names of the VMs that read the platform for all: the
// first of each failure domain, up to the bound. VMs that leave or cannot
// read are passed over while others can.
func readers(members []Member, bound int) []string {
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
