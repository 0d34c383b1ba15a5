// Package driftgossip lets the VMs of a fleet find each other without a list,
// and passes news between them.
//
// A VM begins with a few seed addresses, which may be stale. It sends UDP
// datagrams to a bounded number of VMs, those of its own failure domain first;
// each datagram carries what the sender knows of itself and of some others.
// What one VM spends does not grow with the fleet. A datagram also tells
// which revision of the published state the sender holds, and a VM that holds
// an older one asks the sender for the changes by Twirp.
//
// # Usage
//
//	fleet, err := driftgossip.New(self, seeds, conn)
//	go fleet.Run(ctx)
//	for _, m := range fleet.Alive() {
//		fmt.Println(m.Name, m.Domain)
//	}
package driftgossip

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// Times and sizes of the gossip.
const (
	// beatPeriod is the time between two rounds of datagrams.
	beatPeriod = 300 * time.Millisecond
	// deadAfter is the silence after which a VM is taken for dead: four
	// rounds, since datagrams get lost.
	deadAfter = 1300 * time.Millisecond
	// forgetAfter is how long a dead VM is remembered, and still sent to now
	// and then, so that the parts of a healed partition find each other.
	forgetAfter = time.Minute
	// nearTargets and farTargets bound the VMs that a round goes to, inside
	// the failure domain and outside.
	nearTargets = 6
	farTargets  = 5
	// datagramEntries bounds the entries of one datagram, which keeps it
	// within one packet.
	datagramEntries = 12
	// introduced is the number of entries while all VMs hear of each other
	// directly.
	introduced = 1
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 4096
	// readerBound is how many VMs read the platform for all. Two in
	// different domains, so that the loss of one delays no change.
	readerBound = 2
)

// Self is what a VM tells about itself.
type Self struct {
	Name    string
	Domain  string
	Address string
	Boot    uint64
}

// Fleet is the membership as one VM sees it. It is safe for concurrent use.
type Fleet struct {
	self    Self
	seeds   []string
	socket  net.PacketConn
	replica *driftstate.Replica
	caller  Caller
	nudge   func()
	suspect func(upstream string, span time.Duration)
	observe func(Change)
	urgent  chan []*driftgossippb.Suspect

	mu      sync.Mutex
	table   *table
	beat    uint64
	leaving bool
	ready   bool
	blind   bool
	known   map[string]bool
}

// Change says that another VM has come or gone.
type Change struct {
	Member Member
	Alive  bool
}

// Caller asks another VM for changes.
type Caller interface {
	// Changes returns what happened after the revision, as the VM at the IP
	// address knows it.
	Changes(ctx context.Context, address string, after int64) (driftstate.Changes, error)
}

// Option changes a Fleet that New makes.
type Option func(*Fleet)

// WithNudge calls the function when another VM holds newer state.
func WithNudge(nudge func()) Option {
	return func(f *Fleet) { f.nudge = nudge }
}

// WithSuspect calls the function when another VM suspects an upstream.
func WithSuspect(suspect func(upstream string, span time.Duration)) Option {
	return func(f *Fleet) { f.suspect = suspect }
}

// WithObserver calls the function when a VM comes or goes.
func WithObserver(observe func(Change)) Option {
	return func(f *Fleet) { f.observe = observe }
}

// New returns a fleet that knows only its seeds, which are UDP addresses. The
// socket stays the caller's to close.
func New(self Self, seeds []string, socket net.PacketConn, replica *driftstate.Replica, caller Caller, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, seeds: seeds, socket: socket, replica: replica, caller: caller,
		nudge: func() {}, suspect: func(string, time.Duration) {}, observe: func(Change) {},
		urgent: make(chan []*driftgossippb.Suspect, 16),
		table:  newTable(), known: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run sends and receives until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.receive(ctx)
	}()
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	f.round(nil)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			f.round(nil)
		case suspects := <-f.urgent:
			f.round(suspects)
		}
	}
	_ = f.socket.SetReadDeadline(time.Now())
	<-done
}

// Alive returns the other VMs that are alive, by name.
func (f *Fleet) Alive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.alive(time.Now())
}

// Recent returns the other VMs that were alive within the last ten seconds.
// Bounds that the fleet shares are divided among them and this VM.
func (f *Fleet) Recent() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.recent(time.Now())
}

// Reads implements driftstate.Fleet.
func (f *Fleet) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	members := append(f.table.alive(now), Member{
		Name: f.self.Name, Domain: f.self.Domain, Blind: f.blind, Leaving: f.leaving,
	})
	return slices.Contains(readers(members, readerBound), f.self.Name)
}

// Pull implements driftstate.Fleet. It asks the VM that holds the newest
// revision.
func (f *Fleet) Pull(ctx context.Context, after int64) (c driftstate.Changes, err error) {
	best, ok := f.newest(after)
	if !ok {
		return c, errors.NotFoundf("VM with a revision after %d", after)
	}
	defer errors.DeferredAnnotatef(&err, "changes after %d from VM %q", after, best.Name)
	return f.caller.Changes(ctx, best.Address, after)
}

func (f *Fleet) newest(after int64) (best Member, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.table.alive(time.Now()) {
		if m.Revision <= after {
			continue
		}
		nearer := m.Domain == f.self.Domain && best.Domain != f.self.Domain
		if !ok || m.Revision > best.Revision || (m.Revision == best.Revision && nearer) {
			best, ok = m, true
		}
	}
	return best, ok
}

// Blind implements driftstate.Fleet.
func (f *Fleet) Blind(blind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blind = blind
}

// News implements driftstate.Fleet.
func (f *Fleet) News() { f.send(nil) }

// Suspect tells other VMs that an upstream does not answer.
func (f *Fleet) Suspect(upstream string, span time.Duration) {
	f.send([]*driftgossippb.Suspect{{Upstream: upstream, Span: uint32(span.Milliseconds())}})
}

func (f *Fleet) send(suspects []*driftgossippb.Suspect) {
	select {
	case f.urgent <- suspects:
	default:
	}
}

// SetReady tells other VMs whether this one can serve callers.
func (f *Fleet) SetReady(ready bool) {
	f.mu.Lock()
	changed := f.ready != ready
	f.ready = ready
	f.mu.Unlock()
	if changed {
		f.send(nil)
	}
}

// Leave tells other VMs that this one will stop.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.send(nil)
}

// round sends one datagram to each target.
func (f *Fleet) round(suspects []*driftgossippb.Suspect) {
	now := time.Now()
	f.mu.Lock()
	f.table.sweep(now)
	f.beat++
	gone := f.observeChanges(now)
	alive := f.table.alive(now)
	targets := f.targets(alive, now)
	message := &driftgossippb.Datagram{Sender: f.entry(now), Suspects: suspects}
	if len(suspects) == 0 {
		message.Entries = f.entries(alive)
	}
	f.mu.Unlock()
	for _, c := range gone {
		f.observe(c)
	}
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
func (f *Fleet) observeChanges(now time.Time) []Change {
	var changes []Change
	for name, m := range f.table.members {
		alive := m.Alive(now)
		if f.known[name] != alive {
			f.known[name] = alive
			changes = append(changes, Change{Member: m, Alive: alive})
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
		Boot: f.self.Boot, Beat: f.beat, Leaving: f.leaving, Ready: f.ready,
		Blind: f.blind, Revision: revision, Age: unconfirmed,
	}
	if !confirmed.IsZero() {
		e.Age = uint32(min(now.Sub(confirmed).Milliseconds(), unconfirmed))
	}
	return e
}

// unconfirmed is the age of state that the platform has not confirmed, in
// milliseconds.
const unconfirmed = 1 << 30

// entries returns what to tell of other VMs: a random few. While every VM can
// be reached in a round, one is enough, to introduce VMs to each other.
func (f *Fleet) entries(alive []Member) []*driftgossippb.Entry {
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	bound := datagramEntries
	if len(alive) <= nearTargets+farTargets {
		bound = introduced
	}
	entries := make([]*driftgossippb.Entry, 0, bound)
	for _, m := range alive[:min(len(alive), bound)] {
		entries = append(entries, &driftgossippb.Entry{
			Name: m.Name, Domain: m.Domain, Address: m.Address, Boot: m.Boot, Beat: m.Beat,
			Leaving: m.Leaving, Ready: m.Ready, Blind: m.Blind, Revision: m.Revision, Age: unconfirmed,
		})
	}
	return entries
}

// targets returns the addresses that a round goes to: VMs of the own domain,
// some of other domains, and one that has not been heard of.
func (f *Fleet) targets(alive []Member, now time.Time) []string {
	var near, far, silent []string
	heard := map[string]bool{f.self.Address: true}
	for _, m := range alive {
		heard[m.Address] = true
		if m.Domain == f.self.Domain {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	for _, m := range f.table.members {
		if !m.Alive(now) && !heard[m.Address] {
			silent = append(silent, m.Address)
		}
	}
	for _, seed := range f.seeds {
		if !heard[seed] {
			silent = append(silent, seed)
		}
	}
	targets := append(pick(near, nearTargets), pick(far, farTargets)...)
	return append(targets, pick(silent, 1+len(f.seeds))...)
}

// pick returns a random few of the addresses.
func pick(addresses []string, bound int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), bound)]
}

func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := f.socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var message driftgossippb.Datagram
		if proto.Unmarshal(buffer[:n], &message) == nil {
			f.take(&message, time.Now())
		}
	}
}

// take merges what a datagram tells.
func (f *Fleet) take(message *driftgossippb.Datagram, now time.Time) {
	sender := message.GetSender()
	if sender.GetName() == "" || sender.GetName() == f.self.Name {
		return
	}
	f.mu.Lock()
	held, known := f.table.members[sender.GetName()]
	fresh := !known || !held.Alive(now)
	f.table.merge(sender, now)
	for _, e := range message.GetEntries() {
		if e.GetName() != f.self.Name && e.GetName() != "" {
			f.table.merge(e, now)
		}
	}
	f.mu.Unlock()
	if sender.GetAge() < unconfirmed {
		f.replica.Confirm(sender.GetRevision(), now.Add(-time.Duration(sender.GetAge())*time.Millisecond))
	}
	if revision, _ := f.replica.Revision(); sender.GetRevision() > revision {
		f.nudge()
	}
	for _, s := range message.GetSuspects() {
		f.suspect(s.GetUpstream(), time.Duration(s.GetSpan())*time.Millisecond)
	}
	if fresh {
		f.send(nil)
	}
}
