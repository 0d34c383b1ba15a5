// Package driftgossip lets the VMs of a fleet find each other without a list,
// and passes news between them.
//
// A VM begins with a few seed addresses, which may be stale. Each round it
// sends a UDP datagram to a bounded number of VMs, those of its own failure
// domain first, and these judge its silence. A datagram carries what the
// sender says of itself and what has changed of late; who hears a change
// passes it on. What one VM spends does not grow with the fleet. A datagram
// also tells which revision of the published state the sender holds, and a VM
// that holds an older one asks the sender for the changes by Twirp.
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
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
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
	// doubtAfter is the silence after which a VM is asked directly.
	doubtAfter = 500 * time.Millisecond
	// forgetAfter is how long a dead VM is remembered, and still sent to now
	// and then, so that the parts of a healed partition find each other.
	forgetAfter = time.Minute
	// meshSize is the largest fleet in which every VM sends to all others.
	meshSize = 12
	// nearTargets and farTargets are how many VMs judge the silence of one,
	// inside its failure domain and outside.
	nearTargets = 3
	farTargets  = 3
	// lookBack bounds the VMs on the ring among which a VM looks for those
	// that it has to judge.
	lookBack = 128
	// spreadTimes is how often a VM passes a change on.
	spreadTimes = 5
	// repairEntries is how many random entries a round sends to a random VM,
	// so that VMs that missed a change learn of it in the end.
	repairEntries = 5
	// datagramEntries bounds the entries of one datagram, which keeps it
	// within one packet.
	datagramEntries = 12
	// introductions bounds the datagrams that tell a VM which others there
	// are when it is first heard of.
	introductions = 8
	// greetingRate is how many VMs a second one VM introduces. A fleet that
	// starts all at once passes the rest on as changes.
	greetingRate = 10
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 4096
	// readerBound is how many VMs read the platform for all. Two in
	// different domains, so that the loss of one delays no change.
	readerBound = 2
)

// Self is what a VM tells about itself.
type Self struct {
	Name        string
	Domain      string
	Address     string
	Incarnation uint64
	// Capacity is how many sends to upstreams the VM bears a second, 0 if not
	// known.
	Capacity uint32
}

// Fleet is the membership as one VM sees it. It is safe for concurrent use.
type Fleet struct {
	self    Self
	seeds   []string
	socket  net.PacketConn
	replica *driftstate.Replica
	caller  ChangesClient
	nudge   func()
	suspect func(upstream string, span time.Duration)
	observe func(MembershipChange)
	urgent  chan []*driftgossippb.Suspect
	// greeting bounds how many VMs a second are told of all others.
	greeting *rate.Limiter

	mu      sync.Mutex
	table   *table
	beat    uint64
	leaving bool
	ready   bool
	blind   bool
	known   map[string]bool
	load    uint32
}

// MembershipChange says that another VM has come or gone.
type MembershipChange struct {
	Member Member
	Alive  bool
}

// ChangesClient asks another VM for changes.
type ChangesClient interface {
	// Changes returns what happened after the revision, as the VM at the IP
	// address knows it.
	Changes(ctx context.Context, address string, after int64) (driftstate.Changes, error)
}

// Option changes a Fleet that New makes.
type Option func(*Fleet)

// WithNewerRevisionHandler calls the function when another VM holds newer state.
func WithNewerRevisionHandler(nudge func()) Option {
	return func(f *Fleet) { f.nudge = nudge }
}

// WithSuspectHandler calls the function when another VM suspects an upstream.
func WithSuspectHandler(suspect func(upstream string, span time.Duration)) Option {
	return func(f *Fleet) { f.suspect = suspect }
}

// WithObserver calls the function when a VM comes or goes.
func WithObserver(observe func(MembershipChange)) Option {
	return func(f *Fleet) { f.observe = observe }
}

// New returns a fleet that knows only its seeds, which are UDP addresses. The
// socket stays the caller's to close.
func New(self Self, seeds []string, socket net.PacketConn, replica *driftstate.Replica, caller ChangesClient, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, seeds: seeds, socket: socket, replica: replica, caller: caller,
		nudge: func() {}, suspect: func(string, time.Duration) {}, observe: func(MembershipChange) {},
		urgent:   make(chan []*driftgossippb.Suspect, 16),
		greeting: rate.NewLimiter(greetingRate, greetingRate),
		table:    newTable(self), known: make(map[string]bool),
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
	return f.table.alive()
}

// RecentlyAlive returns the other VMs that were alive within the last ten seconds.
// Bounds that the fleet shares are divided among them and this VM.
func (f *Fleet) RecentlyAlive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.recent(time.Now())
}

// IsPlatformReader implements driftstate.Fleet.
func (f *Fleet) IsPlatformReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := append(f.table.alive(), Member{
		Name: f.self.Name, Domain: f.self.Domain, PlatformUnreadable: f.blind, Leaving: f.leaving,
	})
	return slices.Contains(readers(members, readerBound), f.self.Name)
}

// PullChanges implements driftstate.Fleet. It asks the VM that holds the newest
// revision.
func (f *Fleet) PullChanges(ctx context.Context, after int64) (c driftstate.Changes, err error) {
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
	for _, m := range f.table.alive() {
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

// SetPlatformUnreadable implements driftstate.Fleet.
func (f *Fleet) SetPlatformUnreadable(blind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blind = blind
}

// AnnounceRevision implements driftstate.Fleet.
func (f *Fleet) AnnounceRevision() { f.send(nil) }

// ReportSuspect tells other VMs that an upstream does not answer.
func (f *Fleet) ReportSuspect(upstream string, span time.Duration) {
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

// SetLoad tells other VMs how many sends to upstreams this one makes a second.
// They hear of it when it has doubled or halved.
func (f *Fleet) SetLoad(sends float64) {
	f.mu.Lock()
	level := loadLevel(f.load, sends)
	changed := f.load != level
	f.load = level
	f.mu.Unlock()
	if changed {
		f.send(nil)
	}
}

// Load returns what this VM tells of its load.
func (f *Fleet) Load() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load
}

// Leave tells other VMs that this one will stop.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.send(nil)
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
	f.table.merge(sender, now, true)
	for _, e := range message.GetEntries() {
		f.table.merge(e, now, false)
	}
	changed := f.table.ring == nil
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
	if (!known || held.Incarnation != sender.GetBoot()) && f.greeting.Allow() {
		f.introduce(sender.GetAddress())
	}
	if f.accused(message) {
		f.refute(sender.GetAddress())
	}
	if changed {
		f.send(nil)
	}
}
