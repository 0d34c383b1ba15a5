package driftgossip

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// runRound runs failure detection and sends one datagram to each target.
func (f *Fleet) runRound(suspects []*driftgossippb.Suspect) {
	now := time.Now()
	f.mu.Lock()
	f.heartbeat++
	suspectVMs := f.table.detectFailures(now)
	changes := f.membershipChanges()
	message := &driftgossippb.Datagram{Sender: f.selfEntry(now), Suspects: suspects, Entries: f.table.pendingEntries()}
	targets, deadVMs := f.roundTargets()
	to, repair := f.antiEntropy(message.GetSender())
	f.mu.Unlock()
	suspectVMs = append(suspectVMs, deadVMs...)
	for _, c := range changes {
		f.onChange(c)
	}
	f.write(message, targets...)
	if len(suspects) == 0 {
		f.write(repair, to...)
	}
	for _, m := range suspectVMs {
		f.sendSuspicion(message.GetSender(), m)
	}
}

// antiEntropy returns random entries and the random VM that they go to. A small
// fleet needs none, as all VMs send heartbeats to each other.
func (f *Fleet) antiEntropy(sender *driftgossippb.Entry) (to []string, message *driftgossippb.Datagram) {
	message = &driftgossippb.Datagram{Sender: sender}
	if len(f.table.ringOrder()) <= fullMeshSize {
		return nil, message
	}
	members := make([]Member, 0, len(f.table.members))
	for _, m := range f.table.members {
		members = append(members, m)
	}
	for _, m := range sample(members, antiEntropyEntries) {
		message.Entries = append(message.Entries, toEntry(m))
	}
	for _, m := range sample(f.table.alive(), 1) {
		to = append(to, m.Address)
	}
	return to, message
}

// sendSuspicion tells a VM that it is suspected to be dead, so that it can
// refute the suspicion.
func (f *Fleet) sendSuspicion(sender *driftgossippb.Entry, m Member) {
	m.Dead = true
	f.write(&driftgossippb.Datagram{Sender: sender, Entries: []*driftgossippb.Entry{toEntry(m)}}, m.Address)
}

func (f *Fleet) write(message *driftgossippb.Datagram, targets ...string) {
	data, err := proto.Marshal(message)
	if err != nil {
		return
	}
	for _, target := range targets {
		if address, err := net.ResolveUDPAddr("udp4", target); err == nil {
			_, _ = f.socket.WriteTo(data, address)
		}
	}
}

// membershipChanges returns the VMs that became alive or died since the last
// call.
func (f *Fleet) membershipChanges() []MembershipChange {
	var changes []MembershipChange
	for name, m := range f.table.members {
		if f.observedAlive[name] == m.Dead {
			f.observedAlive[name] = !m.Dead
			changes = append(changes, MembershipChange{Member: m, Alive: !m.Dead})
		}
	}
	for name := range f.observedAlive {
		if _, ok := f.table.members[name]; !ok {
			delete(f.observedAlive, name)
		}
	}
	return changes
}

// selfEntry returns the entry of this VM.
func (f *Fleet) selfEntry(now time.Time) *driftgossippb.Entry {
	revision, confirmed := f.replica.Revision()
	e := &driftgossippb.Entry{
		Name: f.self.Name, Domain: f.self.Domain, Address: f.self.Address,
		Boot: f.self.Incarnation, Beat: f.heartbeat, Leaving: f.leaving, Ready: f.ready,
		Blind: f.platformUnreadable, Revision: revision, Age: unconfirmedAgeMillis,
		Size: f.self.Capacity, Load: f.load, Known: uint32(f.table.knownVMs(now)),
	}
	if !confirmed.IsZero() {
		e.Age = uint32(min(now.Sub(confirmed).Milliseconds(), unconfirmedAgeMillis))
	}
	return e
}

// unconfirmedAgeMillis is the age that is sent for state that the platform has
// not confirmed.
const unconfirmedAgeMillis = 1 << 30

// isSuspectedBy reports whether the sender considers this VM dead or suspects
// it.
func (f *Fleet) isSuspectedBy(message *driftgossippb.Datagram) bool {
	return slices.ContainsFunc(message.GetEntries(), func(e *driftgossippb.Entry) bool {
		return e.GetName() == f.self.Name && e.GetDead()
	})
}

// refute tells a VM that this one is alive.
func (f *Fleet) refute(to string) {
	f.mu.Lock()
	f.heartbeat++
	message := &driftgossippb.Datagram{Sender: f.selfEntry(time.Now())}
	f.mu.Unlock()
	f.write(message, to)
}

// introduce sends the known members to a VM that is new or has restarted.
func (f *Fleet) introduce(to string) {
	f.mu.Lock()
	alive := f.table.alive()
	sender := f.selfEntry(time.Now())
	f.mu.Unlock()
	for chunk := range slices.Chunk(sample(alive, maxIntroductionDatagrams*maxDatagramEntries), maxDatagramEntries) {
		message := &driftgossippb.Datagram{Sender: sender}
		for _, m := range chunk {
			message.Entries = append(message.Entries, toEntry(m))
		}
		f.write(message, to)
	}
}

// roundTargets returns the addresses for a round: those of the VMs that monitor
// this one, and a random seed that is not the address of a live member. Without
// monitoring VMs all such seeds are returned. It also returns one dead VM to
// probe, in case it is back.
func (f *Fleet) roundTargets() (targets []string, dead []Member) {
	heard := map[string]bool{f.self.Address: true}
	for _, m := range f.table.heartbeatTargets() {
		targets = append(targets, m.Address)
	}
	for _, m := range f.table.members {
		heard[m.Address] = heard[m.Address] || !m.Dead
	}
	for _, m := range f.table.members {
		if !heard[m.Address] {
			dead = append(dead, m)
		}
	}
	var seeds []string
	for _, seed := range f.seeds {
		if !heard[seed] {
			seeds = append(seeds, seed)
		}
	}
	if len(targets) > 0 {
		seeds = sample(seeds, 1)
	}
	return append(targets, seeds...), sample(dead, 1)
}

// sample returns up to bound random elements. It shuffles the slice in place.
func sample[T any](from []T, bound int) []T {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(len(from), bound)]
}
