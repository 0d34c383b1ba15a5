package driftgossip

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// runRound runs failure detection and sends one datagram to each target.
func (f *Fleet) runRound() {
	now := time.Now()
	f.mu.Lock()
	f.heartbeat++
	suspectVMs := f.table.detectFailures(now)
	unreachedBefore := f.table.domains.unreached
	probes, sync := f.table.updateDomains(now)
	unreached := f.table.domains.unreached
	changes := f.membershipChanges()
	near := &driftgossippb.Datagram{Sender: f.selfEntry(now), Entries: f.table.changes.take(f.table.members, maxRoundDatagrams*maxDatagramEntries)}
	nearTargets, plainTargets, deadVMs := f.roundTargets()
	leavings := f.takeLeavings()
	if len(near.Entries) > 0 || f.announce || len(leavings) > 0 {
		nearTargets = append(nearTargets, addresses(f.table.rumorTargets())...)
	}
	f.announce = false
	far := &driftgossippb.Datagram{Sender: near.GetSender(), Sync: sync}
	near.Digest, far.Digest = f.digest(""), f.digest(f.self.Domain)
	farTargets := addresses(f.table.gatewayTargets())
	if len(farTargets) > 0 {
		far.Entries = f.table.outbound.take(f.table.members, maxRoundDatagrams*maxDatagramEntries)
	}
	repairTargets, repair := f.antiEntropy(near.GetSender())
	roomMessages, roomTargets := f.roomDatagrams(near.GetSender())
	f.mu.Unlock()
	if len(changes) > 0 {
		f.onChange(changes)
	}
	if !slices.Equal(unreachedBefore, unreached) {
		f.onDomains(unreached)
	}
	f.write(near, unique(nearTargets)...)
	f.write(&driftgossippb.Datagram{Sender: near.GetSender()}, plainTargets...)
	f.write(far, farTargets...)
	f.write(repair, repairTargets...)
	if len(leavings) > 0 {
		f.write(&driftgossippb.Datagram{Sender: near.GetSender(), Leavings: leavings}, unique(slices.Concat(nearTargets, farTargets))...)
	}
	for _, message := range roomMessages {
		f.write(message, roomTargets...)
	}
	for _, m := range slices.Concat(suspectVMs, deadVMs, probes) {
		f.sendSuspicion(near.GetSender(), m)
	}
}

func addresses(members []Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Address
	}
	return list
}

// unique returns the different strings of a list, sorted.
func unique(list []string) []string {
	slices.Sort(list)
	return slices.Compact(list)
}

// farRepairRounds is the number of rounds between two in which a gateway repairs
// another domain's view of its own.
const farRepairRounds = 4

// antiEntropy returns random entries and the random VM that they go to, so that
// a VM that missed a change receives it eventually. They go to a VM of this
// domain, and now and then from a gateway to one of another domain. A small fleet
// needs none, as all VMs send heartbeats to each other.
func (f *Fleet) antiEntropy(sender *driftgossippb.Entry) (to []string, message *driftgossippb.Datagram) {
	message = &driftgossippb.Datagram{Sender: sender, Digest: f.digest("")}
	if f.table.fullMesh() {
		return nil, message
	}
	ring, _ := f.table.ownRing()
	targets := slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.Name == f.self.Name })
	far := f.table.isGateway() && f.heartbeat%farRepairRounds == 0
	if far {
		targets = f.table.gatewayTargets()
		message.Digest = f.digest(f.self.Domain)
	}
	var own, all []Member
	for _, m := range f.table.members {
		all = append(all, m)
		if m.Domain == f.self.Domain {
			own = append(own, m)
		}
	}
	members := sample(all, antiEntropyEntries)
	if far {
		members = append(sample(own, antiEntropyEntries-1), sample(all, 1)...)
	}
	for _, m := range members {
		message.Entries = append(message.Entries, toEntry(m))
	}
	return addresses(sample(targets, 1)), message
}

// sendSuspicion tells a VM that it is suspected to be dead, so that it can
// refute the suspicion.
func (f *Fleet) sendSuspicion(sender *driftgossippb.Entry, m Member) {
	m.Dead = true
	f.write(&driftgossippb.Datagram{Sender: sender, Entries: []*driftgossippb.Entry{toEntry(m)}}, m.Address)
}

// write sends a message, in several datagrams if it has many entries.
func (f *Fleet) write(message *driftgossippb.Datagram, targets ...string) {
	if len(targets) == 0 {
		return
	}
	rest := message.Entries
	for len(rest) > maxDatagramEntries {
		f.writeDatagram(&driftgossippb.Datagram{Sender: message.GetSender(), Entries: rest[:maxDatagramEntries]}, targets)
		rest = rest[maxDatagramEntries:]
	}
	message.Entries = rest
	f.writeDatagram(message, targets)
}

func (f *Fleet) writeDatagram(message *driftgossippb.Datagram, targets []string) {
	data, err := proto.Marshal(message)
	if err != nil {
		return
	}
	for _, target := range targets {
		// Addresses come from datagrams, and must not cause a name lookup.
		if address, err := netip.ParseAddrPort(target); err == nil {
			_, _ = f.socket.WriteTo(data, net.UDPAddrFromAddrPort(address))
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
			changes = append(changes, MembershipChange{Member: m, Alive: !m.Dead, Monitored: f.table.monitored[name]})
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
		Blind: f.platformUnreadable, Era: revision.Era, Revision: revision.Number, Age: unconfirmedAgeMillis,
		Size: f.self.Capacity, Load: f.load, Known: uint32(f.table.knownVMs(now)),
		Unreached: f.table.domains.unreached,
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

// introduce sends a new VM the members that are alive.
func (f *Fleet) introduce(to string) {
	f.sendMembers(to, f.Alive(), maxIntroductionDatagrams)
}

// refer sends a new VM of another failure domain members of it, and one of each
// other domain.
func (f *Fleet) refer(to, domain string) {
	f.sendMembers(to, withReferences(f.Alive(), domain), maxReferralDatagrams)
}

// synchronize sends a VM all members, or those of this VM's failure domain to a
// VM of another one. Dead ones are included.
func (f *Fleet) synchronize(to, domain string) {
	f.mu.Lock()
	var members []Member
	for _, m := range f.table.members {
		if domain == f.self.Domain || m.Domain == f.self.Domain {
			members = append(members, m)
		}
	}
	f.mu.Unlock()
	f.sendMembers(to, members, maxSyncDatagrams)
}

// sendMembers sends a VM members in a bounded number of datagrams.
func (f *Fleet) sendMembers(to string, members []Member, datagrams int) {
	f.mu.Lock()
	sender := f.selfEntry(time.Now())
	f.mu.Unlock()
	message := &driftgossippb.Datagram{Sender: sender}
	for _, m := range sample(members, datagrams*maxDatagramEntries) {
		message.Entries = append(message.Entries, toEntry(m))
	}
	f.write(message, to)
}

// withReferences returns the members of a domain and one of each other.
func withReferences(members []Member, domain string) (chosen []Member) {
	referenced := make(map[string]bool)
	for _, m := range sample(members, len(members)) {
		if m.Domain == domain || !referenced[m.Domain] {
			referenced[m.Domain] = true
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// roundTargets returns the addresses for a round: those of the VMs that monitor
// this one, and, for datagrams without changes, a random seed that is not the
// address of a live member. Without monitoring VMs all such seeds are returned.
// Now and then a VM that was dropped as dead is among them: a network may be parted for
// longer than dead VMs are kept, and the seeds name none of the other side. Until this VM
// has settled, VMs of other domains get no changes either. It also returns one dead VM to
// probe, in case it is back.
func (f *Fleet) roundTargets() (targets, plain []string, dead []Member) {
	heard := map[string]bool{f.self.Address: true}
	near, far := f.table.splitByDomain(f.table.heartbeatTargets())
	targets, plain = addresses(near), addresses(far)
	if f.table.settledMesh() {
		targets, plain = append(targets, plain...), nil
	}
	for _, m := range f.table.members {
		heard[m.Address] = heard[m.Address] || !m.Dead
	}
	for _, m := range f.table.members {
		if !heard[m.Address] && (m.Domain == f.self.Domain || f.table.fullMesh()) {
			dead = append(dead, m)
		}
	}
	var seeds []string
	for _, seed := range f.seeds {
		if !heard[seed] {
			seeds = append(seeds, seed)
		}
	}
	if len(targets)+len(plain) > 0 {
		seeds = sample(seeds, 1)
	}
	if f.heartbeat%lostProbeRounds == 0 {
		seeds = append(seeds, sample(f.table.lostAddresses(), 1)...)
	}
	return targets, append(plain, seeds...), sample(dead, 1)
}

// lostProbeRounds is the number of rounds between two in which a VM that was dropped as
// dead is looked for.
const lostProbeRounds = 4

// sample returns up to bound random elements. It shuffles the slice in place.
func sample[T any](from []T, bound int) []T {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(len(from), bound)]
}
