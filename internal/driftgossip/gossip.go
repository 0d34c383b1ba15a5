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
	// heartbeatPeriod is the time between two rounds of datagrams.
	heartbeatPeriod = 300 * time.Millisecond
	// deadAfter is the silence after which a VM is taken for dead: four
	// rounds, since datagrams get lost.
	deadAfter = 1300 * time.Millisecond
	// suspectAfter is the silence after which a VM is asked directly.
	suspectAfter = 500 * time.Millisecond
	// forgetAfter is how long a dead VM is remembered, and still sent to now
	// and then, so that the parts of a healed partition find each other.
	forgetAfter = time.Minute
	// fullMeshSize is the largest fleet in which every VM sends to all others.
	fullMeshSize = 12
	// sameDomainTargets and farTargets are how many VMs judge the silence of one,
	// inside its failure domain and outside.
	sameDomainTargets  = 3
	otherDomainTargets = 3
	// maxRingLookback bounds the VMs on the ring among which a VM looks for those
	// that it has to judge.
	maxRingLookback = 128
	// changeTransmissions is how often a VM passes a change on.
	changeTransmissions = 5
	// antiEntropyEntries is how many random entries a round sends to a random VM,
	// so that VMs that missed a change learn of it in the end.
	antiEntropyEntries = 5
	// maxDatagramEntries bounds the entries of one datagram, which keeps it
	// within one packet.
	maxDatagramEntries = 12
	// maxIntroductionDatagrams bounds the datagrams that tell a VM which others there
	// are when it is first heard of.
	maxIntroductionDatagrams = 8
	// introductionsPerSecond is how many VMs a second one VM introduces. A fleet that
	// starts all at once passes the rest on as changes.
	introductionsPerSecond = 10
	// maxDatagramBytes is the largest datagram that is read, in bytes.
	maxDatagramBytes = 4096
	// maxPlatformReaders is how many VMs read the platform for all. Two in
	// different domains, so that the loss of one delays no change.
	maxPlatformReaders = 2
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
	self            Self
	seeds           []string
	socket          net.PacketConn
	replica         *driftstate.Replica
	client          ChangesClient
	onNewerRevision func()
	onSuspect       func(upstream string, span time.Duration)
	onChange        func(MembershipChange)
	urgentRounds    chan []*driftgossippb.Suspect
	// introductions bounds how many VMs a second are told of all others.
	introductions *rate.Limiter

	mu                 sync.Mutex
	table              *memberTable
	heartbeat          uint64
	leaving            bool
	ready              bool
	platformUnreadable bool
	observedAlive      map[string]bool
	load               uint32
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
	return func(f *Fleet) { f.onNewerRevision = nudge }
}

// WithSuspectHandler calls the function when another VM suspects an upstream.
func WithSuspectHandler(suspect func(upstream string, span time.Duration)) Option {
	return func(f *Fleet) { f.onSuspect = suspect }
}

// WithObserver calls the function when a VM comes or goes.
func WithObserver(observe func(MembershipChange)) Option {
	return func(f *Fleet) { f.onChange = observe }
}

// New returns a fleet that knows only its seeds, which are UDP addresses. The
// socket stays the caller's to close.
func New(self Self, seeds []string, socket net.PacketConn, replica *driftstate.Replica, caller ChangesClient, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, seeds: seeds, socket: socket, replica: replica, client: caller,
		onNewerRevision: func() {}, onSuspect: func(string, time.Duration) {}, onChange: func(MembershipChange) {},
		urgentRounds:  make(chan []*driftgossippb.Suspect, 16),
		introductions: rate.NewLimiter(introductionsPerSecond, introductionsPerSecond),
		table:         newTable(self), observedAlive: make(map[string]bool),
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
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	f.runRound(nil)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			f.runRound(nil)
		case suspects := <-f.urgentRounds:
			f.runRound(suspects)
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
		Name: f.self.Name, Domain: f.self.Domain, PlatformUnreadable: f.platformUnreadable, Leaving: f.leaving,
	})
	return slices.Contains(platformReaders(members, maxPlatformReaders), f.self.Name)
}

// PullChanges implements driftstate.Fleet. It asks the VM that holds the newest
// revision.
func (f *Fleet) PullChanges(ctx context.Context, after int64) (c driftstate.Changes, err error) {
	best, ok := f.newestHolder(after)
	if !ok {
		return c, errors.NotFoundf("VM with a revision after %d", after)
	}
	defer errors.DeferredAnnotatef(&err, "changes after %d from VM %q", after, best.Name)
	return f.client.Changes(ctx, best.Address, after)
}

func (f *Fleet) newestHolder(after int64) (best Member, ok bool) {
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
	f.platformUnreadable = blind
}

// AnnounceRevision implements driftstate.Fleet.
func (f *Fleet) AnnounceRevision() { f.requestRound(nil) }

// ReportSuspect tells other VMs that an upstream does not answer.
func (f *Fleet) ReportSuspect(upstream string, span time.Duration) {
	f.requestRound([]*driftgossippb.Suspect{{Upstream: upstream, Span: uint32(span.Milliseconds())}})
}

func (f *Fleet) requestRound(suspects []*driftgossippb.Suspect) {
	select {
	case f.urgentRounds <- suspects:
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
		f.requestRound(nil)
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
		f.requestRound(nil)
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
	f.requestRound(nil)
}

func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
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
			f.mergeDatagram(&message, time.Now())
		}
	}
}

// mergeDatagram merges what a datagram tells.
func (f *Fleet) mergeDatagram(message *driftgossippb.Datagram, now time.Time) {
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
	if sender.GetAge() < unconfirmedAgeMillis {
		f.replica.Confirm(sender.GetRevision(), now.Add(-time.Duration(sender.GetAge())*time.Millisecond))
	}
	if revision, _ := f.replica.Revision(); sender.GetRevision() > revision {
		f.onNewerRevision()
	}
	for _, s := range message.GetSuspects() {
		f.onSuspect(s.GetUpstream(), time.Duration(s.GetSpan())*time.Millisecond)
	}
	if (!known || held.Incarnation != sender.GetBoot()) && f.introductions.Allow() {
		f.introduce(sender.GetAddress())
	}
	if f.isSuspectedBy(message) {
		f.refute(sender.GetAddress())
	}
	if changed {
		f.requestRound(nil)
	}
}
