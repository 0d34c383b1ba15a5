// Package driftcontrol is the control plane of one VM. One goroutine owns the
// tables of domains, VMs, upstreams, services, classes and marks, and updates
// them on each tick.
//
// Configuration reads and probes run in their own goroutines and report to the
// control goroutine in small messages, handled in one switch. After a message
// that changes a table, and on every tick, the control goroutine publishes a new
// View for the code that handles traffic.
//
// # Usage
//
//	control := driftcontrol.New(self, platform, platform, transport, events, checker)
//	go control.Run(ctx)
//	view := control.Views().Load()
package driftcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Control owns the tables of one VM.
type Control struct {
	self         drifttable.VM
	config       driftplatform.Config
	lister       driftplatform.Lister
	peers        driftpeer.Transport
	events       driftevent.Recorder
	checker      *driftcheck.Checker
	views        *drifttable.ViewHolder
	messages     chan message
	tick         time.Duration
	listInterval time.Duration
	gate         func(ctx context.Context)
	random       *rand.Rand
	backoff      backoff

	// The fields below belong to the control goroutine. spawn runs a function in
	// a goroutine that Run waits for.
	spawn               func(run func())
	documents           *documentTable
	readers             map[string]reader
	initialReads        map[string]bool
	fallbackDue         time.Time
	members             *memberTable
	owners              ownerTable
	markTimes           markTimeTable
	departures          *departureTable
	tables              tableCache
	previousAdoptions   adoptionTable
	emptySince          map[string]time.Time
	restoredAt          map[string]time.Time
	ownDomainEmptyAt    time.Time
	lastConfigContact   time.Time
	started             time.Time
	lastStep            time.Time
	monitorDue          time.Time
	ownDomainVMs        []string
	randomTargets       []string
	randomTargetsDue    time.Time
	ownDomainGeneration uint64
	monitoredGeneration uint64
	viewNumber          uint64
	listRead            bool
	leaving             bool
	closed              bool
	documentsSynced     bool
	serviceUnavailable  bool
	fenced              bool
}

// Option changes a Control that New makes.
type Option func(*Control)

// WithTick sets the time between two updates of the tables.
func WithTick(tick time.Duration) Option {
	return func(c *Control) { c.tick = tick }
}

// WithListInterval sets the time between two reads of the VM list.
func WithListInterval(interval time.Duration) Option {
	return func(c *Control) { c.listInterval = interval }
}

// WithGate calls the function before each step of the control goroutine. Tests
// pause a VM with a function that blocks.
func WithGate(gate func(ctx context.Context)) Option {
	return func(c *Control) { c.gate = gate }
}

// Defaults of the options.
const (
	defaultTick         = 100 * time.Millisecond
	defaultListInterval = time.Second
	messageBacklog      = 256
)

// New returns a Control for the VM self. Run starts it.
func New(
	self drifttable.VM,
	config driftplatform.Config,
	lister driftplatform.Lister,
	peers driftpeer.Transport,
	events driftevent.Recorder,
	checker *driftcheck.Checker,
	opts ...Option,
) *Control {
	c := &Control{
		self:         self,
		config:       config,
		lister:       lister,
		peers:        peers,
		events:       events,
		checker:      checker,
		messages:     make(chan message, messageBacklog),
		tick:         defaultTick,
		listInterval: defaultListInterval,
		gate:         func(context.Context) {},
		random:       rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name)))),
		documents:    newDocumentTable(),
		readers:      make(map[string]reader),
		initialReads: make(map[string]bool),
		owners:       newOwnerTable(),
		markTimes:    newMarkTimeTable(),
		departures:   newDepartureTable(),
		emptySince:   make(map[string]time.Time),
		restoredAt:   make(map[string]time.Time),
		fenced:       true,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.tables.view.Self = self.Name
	c.views = drifttable.NewViewHolder(drifttable.View{Self: c.self.Name, Fenced: true})
	return c
}

// Views returns the holder of the newest view.
func (c *Control) Views() *drifttable.ViewHolder {
	return c.views
}

// Leave announces that this VM shuts down: it gives up its upstreams and
// leaves the list that callers get.
func (c *Control) Leave(ctx context.Context) {
	c.sendMessage(ctx, leaveRequested{})
}

// Close ends the draining of this VM: with its next view it refuses all queries.
// Call it after Leave.
func (c *Control) Close(ctx context.Context) {
	c.sendMessage(ctx, closeRequested{})
}

// Run runs the control plane until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		c.loop(ctx, group)
		return nil
	})
	group.Go(func() error {
		c.readList(ctx)
		return nil
	})
	return group.Wait()
}

// loop runs the control goroutine.
func (c *Control) loop(ctx context.Context, group *errgroup.Group) {
	c.start(group)
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.gate(ctx)
			c.step(ctx, m)
		case <-ticker.C:
			c.gate(ctx)
			c.step(ctx, nil)
			c.updateReaders(ctx, group, c.lastStep)
		}
	}
}

// start initializes the state that depends on the start time of the loop.
func (c *Control) start(group *errgroup.Group) {
	now := time.Now()
	c.started, c.lastStep = now, now
	c.spawn = func(run func()) {
		group.Go(func() error {
			run()
			return nil
		})
	}
	c.members = newMemberTable(c.self, now)
	c.events.Record(driftevent.VMStarted, "", c.self.Name, c.self.Domain)
}

// step handles a message, or updates the tables when there is none.
func (c *Control) step(ctx context.Context, m message) {
	now := time.Now()
	c.detectPause(now)
	if m == nil {
		c.chooseMonitored(now)
		c.runProbes(ctx, now)
		c.publish(now)
		return
	}
	before := c.changeCount()
	c.handleMessage(ctx, m, now)
	if c.changeCount() != before {
		c.publish(now)
	}
}

// changeCount changes with every table that a view shows.
func (c *Control) changeCount() uint64 {
	return c.members.generation + c.documents.changes + uint64(len(c.departures.rows))
}

// message is an event that is sent to the control goroutine.
type message interface {
	message()
}

type (
	// documentRead carries a value that the configuration service returned.
	documentRead struct{ parsed parsedDocument }
	// configUnavailable reports that the configuration service did not answer.
	configUnavailable struct {
		key string
		err error
	}
	// listRead carries the published VM list.
	listRead struct{ vms []driftplatform.ListedVM }
	// leaveRequested starts the shutdown of this VM.
	leaveRequested struct{}
	// closeRequested ends the draining: this VM refuses queries from then on.
	closeRequested struct{}
)

func (documentRead) message()      {}
func (configUnavailable) message() {}
func (listRead) message()          {}
func (leaveRequested) message()    {}
func (closeRequested) message()    {}

func (c *Control) handleMessage(ctx context.Context, m message, now time.Time) {
	switch m := m.(type) {
	case documentRead:
		c.handleDocumentRead(ctx, m.parsed, now)
	case configUnavailable:
		c.recordConfigUnavailable(m)
	case serviceAnswered:
		c.recordConfigContact(now)
	case documentsReceived:
		c.receiveDocuments(ctx, m)
	case pullResult:
		c.applyPull(m)
	case listRead:
		c.listRead = true
		c.members.applyList(m.vms, c.self.Name, now)
	case trafficObservation:
		c.applyObservation(m.observation, now)
	case probeReceived:
		c.answerProbe(m, now)
	case probeResult:
		c.handleProbeResult(ctx, m, now)
	case relayResult:
		c.handleRelayResult(m, now)
	case leaveRequested:
		c.leave(ctx, now)
	case closeRequested:
		c.closed = true
		c.members.generation++
	}
}

// leave gives up the upstreams of this VM and announces its departure to other
// VMs at once.
func (c *Control) leave(ctx context.Context, now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	self := c.members.rows[c.self.Name]
	self.departedIncarnation = c.self.Incarnation
	c.members.generation++
	for _, m := range c.members.rows {
		m.probe.due = now
	}
	c.events.Record(driftevent.VMLeaving, "", c.self.Name, "")
	c.runProbes(ctx, now)
}

func (c *Control) sendMessage(ctx context.Context, m message) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

// readList reads the published VM list until ctx ends.
func (c *Control) readList(ctx context.Context) {
	refused := ""
	for ctx.Err() == nil {
		interval := c.listInterval
		if r, ok := c.lister.List(ctx).(driftplatform.VMList); ok {
			refused = c.recordRefusedVMs(r.Refused, refused)
			interval = listInterval(c.listInterval, len(r.VMs))
			c.sendMessage(ctx, listRead{vms: r.VMs})
		}
		sleep(ctx, interval)
	}
}

// recordRefusedVMs records the entries of the VM list that name no VM, unless they
// are those recorded before. It returns what was recorded last.
func (c *Control) recordRefusedVMs(refused []error, recorded string) string {
	if len(refused) == 0 {
		return ""
	}
	detail := fmt.Sprintf("%d entries of the VM list, the first: %.200s", len(refused), refused[0])
	if detail != recorded {
		c.events.Record(driftevent.EntryIgnored, "", "vms", detail)
	}
	return detail
}

// Limits of the interval between two reads of the VM list.
const (
	vmsPerListInterval = 32
	maxListInterval    = 30 * time.Second
)

// listInterval grows with the fleet, so that the total read rate of all VMs
// stays bounded.
func listInterval(base time.Duration, vms int) time.Duration {
	return min(base*time.Duration(max(1, vms/vmsPerListInterval)), maxListInterval)
}
