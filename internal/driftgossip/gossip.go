// Package driftgossip maintains the membership of a fleet by gossip, without a
// central list, and announces new revisions of the published state.
//
// A VM starts with a few seed addresses, which may be stale. In each round it
// sends a UDP heartbeat to a bounded number of VMs, preferably in its own
// failure domain, and these VMs detect when it fails. A datagram carries the
// sender's own state and the recent changes that it knows of; a VM that
// receives a change passes it on. The traffic of one VM does not grow with the
// fleet. A datagram also names the revision of the published state that the
// sender holds, and a VM with an older revision asks another VM for the changes
// by Twirp.
//
// # Usage
//
//	fleet := driftgossip.New(self, seeds, socket, replica, client)
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

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftquota"
	"github.com/almonddrift/almonddrift/internal/driftshare"
	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// Times and sizes of the gossip.
const (
	// heartbeatPeriod is the time between two rounds of heartbeats.
	heartbeatPeriod = 300 * time.Millisecond
	// changePeriod is the time between two rounds while changes are to be sent.
	changePeriod = 100 * time.Millisecond
	// deadAfter is the silence after which a VM is declared dead: four rounds,
	// since datagrams get lost.
	deadAfter = 1300 * time.Millisecond
	// suspectAfter is the silence after which a VM is suspected and is sent the
	// suspicion, so that it can refute it.
	suspectAfter = 500 * time.Millisecond
	// forgetAfter is how long a dead VM stays in the table. Probes are still sent
	// to it now and then, so that the two sides of a healed partition find each
	// other.
	forgetAfter = time.Minute
	// fullMeshSize is the largest fleet in which every VM sends heartbeats to all
	// others.
	fullMeshSize = 12
	// monitorCount is how many VMs of its failure domain monitor one VM, in a domain
	// of more than domainMeshSize. In a smaller one all others do.
	monitorCount   = 4
	domainMeshSize = 8
	// gatewaysPerDomain is how many VMs of a failure domain exchange heartbeats and
	// changes with other domains.
	gatewaysPerDomain = 2
	// rumorCount is how many random VMs of the failure domain changes are sent to
	// in a round.
	rumorCount = 2
	// changeTransmissions is how many rounds of a VM carry each change.
	changeTransmissions = 4
	// outboundTransmissions is the same from a gateway to those of other domains, which
	// come from each gateway.
	outboundTransmissions = 2
	// minRoundGap is the shortest time between two rounds.
	minRoundGap = 20 * time.Millisecond
	// antiEntropyEntries is how many random entries a round sends to a random VM,
	// so that a VM that missed a change receives it eventually.
	antiEntropyEntries = 5
	// maxDatagramEntries bounds the entries of one datagram, so that it fits into
	// one packet.
	maxDatagramEntries = 12
	// maxRoundDatagrams bounds the datagrams of changes of a round to one VM.
	maxRoundDatagrams = 8
	// maxIntroductionDatagrams bounds the datagrams that introduce the other
	// members to a new VM.
	maxIntroductionDatagrams = 8
	// maxSyncDatagrams bounds the datagrams that answer a request for members. More
	// members take several requests, as they are chosen at random.
	maxSyncDatagrams = 32
	// introductionsPerSecond limits how many new VMs of its failure domain one VM
	// sends its list of members to. When a whole fleet starts at once, the remaining
	// members spread as changes.
	introductionsPerSecond = 5
	// referralsPerSecond limits how many new VMs of other failure domains one VM
	// names members of their own domains to.
	referralsPerSecond = 100
	// maxReferralDatagrams bounds the datagrams to one of them.
	maxReferralDatagrams = 2
	// referralMemory is how long a VM is not referred again.
	referralMemory = time.Minute
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 4096
	// maxPlatformReaders is how many VMs read the platform for the whole fleet.
	// There are two, in different failure domains, so that the loss of one delays
	// no change.
	maxPlatformReaders = 2
)

// Self describes this VM to others.
type Self struct {
	Name    string
	Domain  string
	Address string
	// Incarnation identifies this run of the process; a later run has a greater
	// one.
	Incarnation uint64
	// Capacity is how many attempts at upstreams a second the VM can make, 0 if
	// unknown.
	Capacity uint32
}

// Fleet is the membership as this VM sees it. It is safe for concurrent use.
type Fleet struct {
	self            Self
	seeds           []string
	socket          net.PacketConn
	replica         *driftstate.Replica
	client          ChangesClient
	onNewerRevision func()
	onSuspect       func(upstream string, span time.Duration)
	onLeaving       func(LeavingUpstream) (isNew bool)
	onRoom          func(vm, domain string, claims []RoomClaim, reach float64)
	onChange        func([]MembershipChange)
	onDomains       func(unreached []string)
	loans           LoanHandler
	onQuota         func(from string, m driftquota.Message)
	// roundRequests asks for a round before the next heartbeat, suspectReports for
	// suspects to be reported.
	roundRequests  chan struct{}
	suspectReports chan *driftgossippb.Suspect
	// introductionLimiter and referralLimiter enforce introductionsPerSecond and
	// referralsPerSecond.
	introductionLimiter *rate.Limiter
	referralLimiter     *rate.Limiter

	mu sync.Mutex
	// met is set once a datagram of another VM has arrived, and heardAt is when the
	// last one did.
	met                bool
	heardAt            time.Time
	table              *memberTable
	heartbeat          uint64
	leaving            bool
	ready              bool
	platformUnreadable bool
	// observedAlive holds, by VM, whether the last call of onChange reported it
	// alive.
	observedAlive map[string]bool
	// load is the announced load level, in attempts a second.
	load uint32
	// referred holds the incarnations of VMs of other domains that were referred
	// to members of their own, and when.
	referred map[string]referral
	// agreedAt is when the VMs of a failure domain last had the same digest as this
	// one, or were asked for their members.
	agreedAt map[string]time.Time
	// digests holds the digests by domain, for digestKey.
	digests   map[string]uint64
	digestKey digestKey
	// leavings are the signs of leaving upstreams that are being passed on.
	leavings []leavingNews
	// roomClaims is this VM's demand for slots of services that are short of them.
	roomClaims []RoomClaim
	// roomHeard is when VMs last announced a demand.
	roomHeard map[string]time.Time
	// announce is set while a new revision has not been announced.
	announce bool
	// quotaSender is the entry of this VM in messages about accounts, as of
	// quotaSenderAt, and quotaView the view that belongs to quotaViewKey.
	quotaSender   *driftgossippb.Entry
	quotaSenderAt time.Time
	quotaView     driftquota.View
	quotaViewKey  quotaViewKey
	// newsSince is when a revision that this VM lacks was first heard of.
	newsSince time.Time
}

// MembershipChange reports that another VM is alive or has died.
type MembershipChange struct {
	Member Member
	Alive  bool
	// Monitored is set if this VM monitors the other one.
	Monitored bool
}

// ChangesClient asks another VM for changes.
type ChangesClient interface {
	// Changes returns the changes after the revision from the VM at the address.
	Changes(ctx context.Context, address string, after driftstate.Revision) (driftstate.Changes, error)
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithNewerRevisionHandler sets a function to call when another VM holds a
// newer revision.
func WithNewerRevisionHandler(handler func()) Option {
	return func(f *Fleet) { f.onNewerRevision = handler }
}

// WithSuspectHandler sets a function to call when another VM reports that an
// upstream does not answer. The span is how long the upstream counts as suspect.
func WithSuspectHandler(handler func(upstream string, span time.Duration)) Option {
	return func(f *Fleet) { f.onSuspect = handler }
}

// WithObserver sets a function to call when VMs become alive or die.
func WithObserver(observe func([]MembershipChange)) Option {
	return func(f *Fleet) { f.onChange = observe }
}

// WithDomainObserver sets a function to call when the failure domains change
// that this VM, a gateway of its own, hears nothing of.
func WithDomainObserver(observe func(unreached []string)) Option {
	return func(f *Fleet) { f.onDomains = observe }
}

// LoanHandler grants and receives loans of parts of the fleet's limits.
type LoanHandler interface {
	// Lend answers a request of another VM.
	Lend(driftshare.Request) (driftshare.Loan, bool)
	// Accept receives the loan that another VM has granted.
	Accept(lender string, loan driftshare.Loan)
}

// WithLoans sets the handler of loans.
func WithLoans(handler LoanHandler) Option {
	return func(f *Fleet) { f.loans = handler }
}

// New returns a Fleet that knows only its seeds, which are UDP addresses. The
// caller closes the socket.
func New(self Self, seeds []string, socket net.PacketConn, replica *driftstate.Replica, changesClient ChangesClient, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, seeds: seeds, socket: socket, replica: replica, client: changesClient,
		onNewerRevision: func() {}, onSuspect: func(string, time.Duration) {}, onLeaving: func(LeavingUpstream) bool { return false }, onChange: func([]MembershipChange) {}, onDomains: func([]string) {},
		roundRequests:       make(chan struct{}, 1),
		suspectReports:      make(chan *driftgossippb.Suspect, maxQueuedSuspects),
		introductionLimiter: rate.NewLimiter(introductionsPerSecond, introductionsPerSecond),
		referralLimiter:     rate.NewLimiter(referralsPerSecond, referralsPerSecond),
		table:               newTable(self), observedAlive: make(map[string]bool),
		referred: make(map[string]referral), agreedAt: make(map[string]time.Time),
		roomHeard: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run sends and receives datagrams until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.receive(ctx)
	}()
	f.runRounds(ctx)
	_ = f.socket.SetReadDeadline(time.Now())
	<-done
}

// Alive returns the other VMs that are alive, sorted by name.
func (f *Fleet) Alive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.alive()
}

// RecentlyAlive returns the other VMs that were alive within the last ten
// seconds. Limits that the whole fleet shares are divided among them and this
// VM.
func (f *Fleet) RecentlyAlive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.recent(time.Now())
}

// KnownVMs returns how many VMs limits of the whole fleet are divided among. A
// VM that is not reached counts for an hour, and a VM that has just started goes
// by what the others know. One that has met no other goes by driftshare.UnmetVMs.
func (f *Fleet) KnownVMs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.table.knownVMs(time.Now())
	for _, m := range f.table.members {
		if !m.Dead {
			known = max(known, int(m.Known))
		}
	}
	if f.unmet() {
		known = driftshare.UnmetVMs(known)
	}
	return known
}

// Unmet reports whether there may be other VMs although this one has met none.
func (f *Fleet) Unmet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unmet()
}

// unmet is Unmet for callers that hold the lock.
func (f *Fleet) unmet() bool { return driftshare.Unmet(f.met, len(f.seeds)) }

// SetSeeds replaces the seeds, which are UDP addresses.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	changed := !slices.Equal(f.seeds, seeds)
	f.seeds = seeds
	f.mu.Unlock()
	if changed {
		f.requestRound()
	}
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
func (f *Fleet) PullChanges(ctx context.Context, after driftstate.Revision) (c driftstate.Changes, err error) {
	best, ok := f.newestHolder(after)
	if !ok {
		return c, errors.NotFoundf("VM with a revision after %s", after)
	}
	defer errors.DeferredAnnotatef(&err, "changes after %s from VM %q", after, best.Name)
	return f.client.Changes(ctx, best.Address, after)
}

// remotePullDelay is how long a VM that is not a gateway waits for a newer revision
// to reach its failure domain before it asks another domain.
const remotePullDelay = 500 * time.Millisecond

// newestHolder returns a VM with the newest revision after the given one in this
// VM's failure domain, if there is one. Else a gateway gets one of any domain, and
// so do others after remotePullDelay.
func (f *Fleet) newestHolder(after driftstate.Revision) (best Member, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := slices.DeleteFunc(f.table.alive(), func(m Member) bool { return !m.Revision.After(after) })
	near, far := f.table.splitByDomain(newer)
	now := time.Now()
	if len(newer) > 0 && f.newsSince.IsZero() {
		f.newsSince = now
	}
	holders := near
	if len(near) == 0 && (f.table.isGateway() || f.table.fullMesh() || now.Sub(f.newsSince) > remotePullDelay) {
		holders = far
	}
	for _, m := range sample(holders, len(holders)) {
		if !ok || m.Revision.After(best.Revision) {
			best, ok = m, true
		}
	}
	if ok || len(newer) == 0 {
		f.newsSince = time.Time{}
	}
	return best, ok
}

// SetPlatformUnreadable implements driftstate.Fleet.
func (f *Fleet) SetPlatformUnreadable(unreadable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformUnreadable = unreadable
}

// AnnounceRevision implements driftstate.Fleet.
func (f *Fleet) AnnounceRevision() {
	f.mu.Lock()
	f.announce = true
	f.mu.Unlock()
	f.requestRound()
}

// ReportSuspect tells other VMs that an upstream does not answer. The report is
// dropped if too many are queued.
func (f *Fleet) ReportSuspect(upstream string, span time.Duration) {
	select {
	case f.suspectReports <- &driftgossippb.Suspect{Upstream: upstream, Span: uint32(span.Milliseconds())}:
	default:
	}
}

// SetReady announces whether this VM can serve callers.
func (f *Fleet) SetReady(ready bool) {
	f.mu.Lock()
	changed := f.ready != ready
	f.ready = ready
	f.mu.Unlock()
	if changed {
		f.requestRound()
	}
}

// SetLoad announces how many attempts a second this VM makes at upstreams.
// Other VMs are told once the rate has doubled or halved.
func (f *Fleet) SetLoad(attemptsPerSecond float64) {
	f.mu.Lock()
	level := loadLevel(f.load, attemptsPerSecond)
	changed := f.load != level
	f.load = level
	f.mu.Unlock()
	if changed {
		f.requestRound()
	}
}

// Load returns the load level that this VM announces, in attempts a second.
func (f *Fleet) Load() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load
}

// Leave announces that this VM will stop.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.requestRound()
}
