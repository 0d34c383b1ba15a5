package driftgossip

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// round sends one datagram to each target.
func (f *Fleet) round(suspects []*driftgossippb.Suspect) {
	now := time.Now()
	f.mu.Lock()
	f.beat++
	doubted := f.table.judge(now)
	changes := f.observeChanges()
	message := &driftgossippb.Datagram{Sender: f.entry(now), Suspects: suspects, Entries: f.table.news()}
	targets, silent := f.targets()
	to, repair := f.repair(message.GetSender())
	f.mu.Unlock()
	doubted = append(doubted, silent...)
	for _, c := range changes {
		f.observe(c)
	}
	f.write(message, targets...)
	if len(suspects) == 0 {
		f.write(repair, to...)
	}
	for _, m := range doubted {
		f.ask(message.GetSender(), m)
	}
}

// repair returns random entries, and the random VM that they go to. In a small
// fleet all VMs hear of each other directly, and there is none.
func (f *Fleet) repair(sender *driftgossippb.Entry) (to []string, message *driftgossippb.Datagram) {
	message = &driftgossippb.Datagram{Sender: sender}
	if len(f.table.order()) <= meshSize {
		return nil, message
	}
	members := make([]Member, 0, len(f.table.members))
	for _, m := range f.table.members {
		members = append(members, m)
	}
	for _, m := range pick(members, repairEntries) {
		message.Entries = append(message.Entries, toEntry(m))
	}
	for _, m := range pick(f.table.alive(), 1) {
		to = append(to, m.Address)
	}
	return to, message
}

// ask tells a VM that it is about to be taken for dead, so that it answers.
func (f *Fleet) ask(sender *driftgossippb.Entry, m Member) {
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

// observeChanges returns the VMs that came or went since the last call.
func (f *Fleet) observeChanges() []MembershipChange {
	var changes []MembershipChange
	for name, m := range f.table.members {
		if f.known[name] == m.Dead {
			f.known[name] = !m.Dead
			changes = append(changes, MembershipChange{Member: m, Alive: !m.Dead})
		}
	}
	for name := range f.known {
		if _, ok := f.table.members[name]; !ok {
			delete(f.known, name)
		}
	}
	return changes
}

func (f *Fleet) entry(now time.Time) *driftgossippb.Entry {
	revision, confirmed := f.replica.Revision()
	e := &driftgossippb.Entry{
		Name: f.self.Name, Domain: f.self.Domain, Address: f.self.Address,
		Boot: f.self.Incarnation, Beat: f.beat, Leaving: f.leaving, Ready: f.ready,
		Blind: f.blind, Revision: revision, Age: unconfirmed,
		Size: f.self.Capacity, Load: f.load,
	}
	if !confirmed.IsZero() {
		e.Age = uint32(min(now.Sub(confirmed).Milliseconds(), unconfirmed))
	}
	return e
}

// unconfirmed is the age of state that the platform has not confirmed, in
// milliseconds.
const unconfirmed = 1 << 30

// accused reports whether the sender takes this VM for dead, or is about to.
func (f *Fleet) accused(message *driftgossippb.Datagram) bool {
	return slices.ContainsFunc(message.GetEntries(), func(e *driftgossippb.Entry) bool {
		return e.GetName() == f.self.Name && e.GetDead()
	})
}

// refute tells a VM that this one is alive.
func (f *Fleet) refute(to string) {
	f.mu.Lock()
	f.beat++
	message := &driftgossippb.Datagram{Sender: f.entry(time.Now())}
	f.mu.Unlock()
	f.write(message, to)
}

// introduce tells a VM that was not known which others there are.
func (f *Fleet) introduce(to string) {
	f.mu.Lock()
	alive := f.table.alive()
	sender := f.entry(time.Now())
	f.mu.Unlock()
	for chunk := range slices.Chunk(pick(alive, introductions*datagramEntries), datagramEntries) {
		message := &driftgossippb.Datagram{Sender: sender}
		for _, m := range chunk {
			message.Entries = append(message.Entries, toEntry(m))
		}
		f.write(message, to)
	}
}

// targets returns the addresses that a round goes to: the VMs that judge this
// one's silence, and a seed that has not been heard of. It also returns a dead
// VM that is asked whether it is back.
func (f *Fleet) targets() (targets []string, dead []Member) {
	heard := map[string]bool{f.self.Address: true}
	for _, m := range f.table.targets() {
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
		seeds = pick(seeds, 1)
	}
	return append(targets, seeds...), pick(dead, 1)
}

// pick returns a random few.
func pick[T any](from []T, bound int) []T {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(len(from), bound)]
}
