package driftcontrol

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times of failure detection.
const (
	// suspectAfter is the silence after which a VM is suspect and is probed
	// through relays too.
	suspectAfter = 400 * time.Millisecond
	// silenceLimit is the silence after which a VM is considered dead.
	silenceLimit = time.Second
	// forgetAfter is how long a VM that is neither listed nor in contact is kept.
	forgetAfter = time.Minute
	// flapDelay is how long a VM that came back must stay healthy before it may
	// own upstreams again. It doubles with every flap up to maxFlapDelay.
	flapDelay    = time.Second
	maxFlapDelay = time.Minute
	// flapMemory is how long a VM must stay healthy until one flap expires.
	flapMemory = 2 * time.Minute
)

// member is the state that this VM keeps of one VM, itself included.
type member struct {
	vm drifttable.VM
	// contacted is set once the VM has answered or probed this one.
	contacted bool
	// lastDirect is the last direct contact, lastRelayed the last one through
	// a relay.
	lastDirect, lastRelayed time.Time
	// monitored is set while this VM probes the VM, so that silence counts as
	// failure.
	monitored bool
	// suspectedSince is when the first request to the VM failed after its last
	// direct contact. The VM is monitored from then on.
	suspectedSince time.Time
	// unlistedSince is when the published list ceased to name the VM, or when
	// this VM first heard of one that was never listed.
	// listedLeaving is set while the list shows it as leaving.
	unlistedSince time.Time
	listedLeaving bool
	// departedIncarnation is the incarnation that has announced its departure,
	// 0 if none has.
	departedIncarnation uint64
	fenced              bool
	flaps               int
	// eligibleAt is when the VM may own upstreams again after a flap,
	// flapExpiry when its next flap expires.
	eligibleAt time.Time
	flapExpiry time.Time
	grant      leaseGrant
	probe      probeState
	votes      receivedVotes
	// reportedDeadUntil is when the reports by other VMs that the VM is dead
	// expire, forwardReportUntil when this VM stops forwarding them.
	reportedDeadUntil, forwardReportUntil time.Time
	// pulling is set while a pull of documents is pending.
	pulling bool
}

// lastContact returns the last contact, direct or through a relay.
func (m *member) lastContact() time.Time {
	if m.lastRelayed.After(m.lastDirect) {
		return m.lastRelayed
	}
	return m.lastDirect
}

// leaving reports whether the VM shuts down, as announced by itself or the list.
func (m *member) leaving() bool {
	return m.listedLeaving || (m.departedIncarnation != 0 && m.departedIncarnation >= m.vm.Incarnation)
}

// health derives the health from the last contact and the reports of other VMs.
func (m *member) health(now time.Time) drifttable.Health {
	silence := now.Sub(m.lastContact())
	switch {
	case m.leaving():
		return drifttable.Leaving
	case !m.monitored && now.Before(m.reportedDeadUntil):
		return drifttable.Dead
	case !m.monitored:
		return drifttable.Alive
	case silence > silenceLimit:
		return drifttable.Dead
	case silence > suspectAfter:
		return drifttable.Suspect
	}
	return drifttable.Alive
}

// recordContact records a direct contact and clears all suspicion.
func (m *member) recordContact(now time.Time) {
	m.contacted = true
	m.lastDirect = now
	m.suspectedSince, m.reportedDeadUntil, m.forwardReportUntil = time.Time{}, time.Time{}, time.Time{}
}

// recordFlap counts a return from Dead and delays the next ownership.
func (m *member) recordFlap(now time.Time) {
	delay := min(flapDelay<<min(m.flaps, 6), maxFlapDelay)
	m.flaps++
	m.eligibleAt = now.Add(delay)
	m.flapExpiry = now.Add(flapMemory)
}

// expireFlaps removes one flap for each flapMemory without a new one.
func (m *member) expireFlaps(now time.Time) {
	if m.flaps > 0 && now.After(m.flapExpiry) {
		m.flaps--
		m.flapExpiry = now.Add(flapMemory)
	}
}

// memberTable holds the known VMs, this one included.
type memberTable struct {
	rows map[string]*member
	// names are the keys of rows in order.
	names []string
	// listed are the names in the published list, in order.
	listed []string
	// generation grows with every change of a row that a view shows.
	generation uint64
}

func newMemberTable(self drifttable.VM, now time.Time) *memberTable {
	t := &memberTable{rows: make(map[string]*member)}
	m := t.add(self, now)
	m.contacted, m.monitored = true, true
	return t
}

// add makes a row for a VM that is not known yet.
func (t *memberTable) add(vm drifttable.VM, now time.Time) *member {
	m := &member{vm: vm, lastDirect: now, unlistedSince: now}
	t.rows[vm.Name] = m
	i, _ := slices.BinarySearch(t.names, vm.Name)
	t.names = slices.Insert(t.names, i, vm.Name)
	t.generation++
	return m
}

// applyList updates the rows from the published list.
func (t *memberTable) applyList(listed []driftplatform.ListedVM, self string, now time.Time) {
	names := make([]string, 0, len(listed))
	for _, l := range listed {
		names = append(names, l.Name)
		m, found := t.rows[l.Name]
		if !found {
			m = t.add(drifttable.VM{Name: l.Name}, now)
		}
		m.listedLeaving = l.Leaving
		if l.Name != self && (m.vm.Domain != l.Domain || m.vm.Peers != l.Peers || m.vm.Callers != l.Callers) {
			m.vm.Domain, m.vm.Callers, m.vm.Peers = l.Domain, l.Callers, l.Peers
			t.generation++
		}
	}
	slices.Sort(names)
	if !slices.Equal(names, t.listed) {
		t.listed = names
		t.generation++
	}
	for name, m := range t.rows {
		_, found := slices.BinarySearch(names, name)
		if !found && m.vm.Listed {
			m.unlistedSince = now
		}
		m.vm.Listed = found
	}
}

// forget removes VMs that were neither listed nor in contact for forgetAfter.
func (t *memberTable) forget(self string, now time.Time) {
	for _, name := range slices.Clone(t.names) {
		m := t.rows[name]
		if name == self || m.vm.Listed || now.Sub(m.unlistedSince) < forgetAfter || now.Sub(m.lastContact()) < forgetAfter {
			continue
		}
		delete(t.rows, name)
		t.names = slices.DeleteFunc(t.names, func(n string) bool { return n == name })
		t.generation++
	}
}

// vms returns the VMs as a view shows them. A VM that is neither listed nor was
// ever in contact is shown as dead.
func (t *memberTable) vms() []drifttable.VM {
	rows := make([]drifttable.VM, 0, len(t.names))
	for _, name := range t.names {
		m := t.rows[name]
		vm := m.vm
		if !vm.Listed && !m.contacted {
			vm.Health = drifttable.Dead
		}
		rows = append(rows, vm)
	}
	return rows
}

// updateHealth sets the health of every VM and forgets VMs that are no longer in
// use. It records no event for a brief suspicion.
func (c *Control) updateHealth(now time.Time) {
	for _, name := range c.members.names {
		m := c.members.rows[name]
		if name == c.self.Name {
			m.lastDirect = now
		}
		m.expireFlaps(now)
		health := m.health(now)
		if health == m.vm.Health {
			continue
		}
		if m.vm.Health == drifttable.Dead && health != drifttable.Leaving {
			m.recordFlap(now)
		}
		if health != drifttable.Suspect && m.vm.Health != drifttable.Suspect || health == drifttable.Dead {
			c.events.Record(driftevent.VMHealthChanged, "", name, m.vm.Health.String()+" to "+health.String())
		}
		m.vm.Health = health
		c.members.generation++
	}
	c.members.forget(c.self.Name, now)
}

// detectPause raises the incarnation of this VM after a pause of its process,
// since its state is stale and other VMs may have taken over its upstreams. It
// compares wall clock times too, since the monotonic clock may stop while the
// machine is suspended.
func (c *Control) detectPause(now time.Time) {
	gap := max(now.Sub(c.lastStep), now.Round(0).Sub(c.lastStep.Round(0)))
	c.lastStep = now
	if gap < pauseLimit {
		return
	}
	c.self.Incarnation++
	c.members.rows[c.self.Name].vm.Incarnation = c.self.Incarnation
	c.members.rows[c.self.Name].grant.restart(now)
	c.members.generation++
	for _, m := range c.members.rows {
		m.lastDirect = now
	}
	c.events.Record(driftevent.VMPaused, "", c.self.Name, "paused for "+gap.Round(time.Millisecond).String())
}
