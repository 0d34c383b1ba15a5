package driftgossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// Member is what this VM knows of another one.
type Member struct {
	Name    string
	Domain  string
	Address string
	// Boot tells incarnations of the VM apart; a later one is greater.
	Boot    uint64
	Beat    uint64
	Leaving bool
	// Ready reports whether the VM can serve callers.
	Ready bool
	// Blind reports whether the VM fails to read the platform.
	Blind bool
	// Revision is the newest revision that the VM is known to hold.
	Revision int64
	// Seen is when news of the VM last arrived, on the monotonic clock.
	Seen time.Time
}

// Alive reports whether the VM has been heard of lately.
func (m Member) Alive(now time.Time) bool {
	return now.Sub(m.Seen) < deadAfter
}

// table is the membership as one VM sees it.
type table struct {
	members map[string]Member
}

// recentSpan is how long a VM still counts where a bound is shared, so that
// shares do not grow at once when VMs go. It is the span of the retry budget
// on the published sites.
const recentSpan = 10 * time.Second

func newTable() *table {
	return &table{members: make(map[string]Member)}
}

// merge takes an entry over if it is news.
func (t *table) merge(e *driftgossippb.Entry, now time.Time) {
	held, ok := t.members[e.GetName()]
	if ok && !newer(held, e, now) {
		return
	}
	t.members[e.GetName()] = Member{
		Name: e.GetName(), Domain: e.GetDomain(), Address: e.GetAddress(),
		Boot: e.GetBoot(), Beat: e.GetBeat(), Leaving: e.GetLeaving(),
		Ready: e.GetReady(), Blind: e.GetBlind(), Revision: e.GetRevision(), Seen: now,
	}
}

// newer reports whether an entry is newer than what is held. An incarnation
// that looks older is believed once the held one is dead: its clock may have
// been set back.
func newer(held Member, e *driftgossippb.Entry, now time.Time) bool {
	if e.GetBoot() == held.Boot {
		return e.GetBeat() > held.Beat
	}
	return e.GetBoot() > held.Boot || (!held.Alive(now) && now.Sub(held.Seen) < forgetAfter/2)
}

// sweep drops VMs that have been dead for long.
func (t *table) sweep(now time.Time) {
	for name, m := range t.members {
		if now.Sub(m.Seen) > forgetAfter {
			delete(t.members, name)
		}
	}
}

// recent returns the members that were heard of within recentSpan.
func (t *table) recent(now time.Time) []Member {
	recent := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if now.Sub(m.Seen) < recentSpan {
			recent = append(recent, m)
		}
	}
	return recent
}

// alive returns the members that are alive, by name.
func (t *table) alive(now time.Time) []Member {
	alive := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if m.Alive(now) {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// readers returns the names of the VMs that read the platform for all: the
// first of each failure domain, up to the bound. VMs that leave or cannot
// read are passed over while others can.
func readers(members []Member, bound int) []string {
	able := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Blind || m.Leaving })
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
