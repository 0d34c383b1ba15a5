// Package driftcontrol is the control plane of one VM: one goroutine that
// owns the tables of domains, VMs, upstreams, services, classes and marks,
// and the systems that run over them on each tick.
//
// Readers and probers run in goroutines of their own and tell the control
// goroutine what happened in small messages, handled in one switch. After a
// message that changes a table, and on every tick, the control goroutine
// publishes a new View for traffic to read.
//
// # Usage
//
//	control := driftcontrol.New(self, platform, platform, transport, events, checker)
//	go control.Run(ctx)
//	view := control.Views().Load()
package driftcontrol

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Control owns the tables of one VM.
type Control struct {
	self     drifttable.VM
	config   driftplatform.Config
	lister   driftplatform.Lister
	peers    driftpeer.Transport
	events   driftevent.Recorder
	checker  *driftcheck.Checker
	views    *drifttable.Holder
	messages chan message
	tick     time.Duration
	listing  time.Duration

	// The fields below belong to the control goroutine.
	documents documentTable
	watched   map[string]context.CancelFunc
	members   memberTable
	owners    ownerTable
	marks     sinceTable
	number    uint64
	leaving   bool
}

// Option changes a Control that New makes.
type Option func(*Control)

// WithTick sets the time between two runs of the systems.
func WithTick(tick time.Duration) Option {
	return func(c *Control) { c.tick = tick }
}

// WithListing sets the time between two reads of the VM list.
func WithListing(interval time.Duration) Option {
	return func(c *Control) { c.listing = interval }
}

// Defaults of the options.
const (
	defaultTick    = 100 * time.Millisecond
	defaultListing = time.Second
	messageBacklog = 256
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
		self:      self,
		config:    config,
		lister:    lister,
		peers:     peers,
		events:    events,
		checker:   checker,
		messages:  make(chan message, messageBacklog),
		tick:      defaultTick,
		listing:   defaultListing,
		documents: newDocumentTable(),
		watched:   make(map[string]context.CancelFunc),
		owners:    newOwnerTable(),
		marks:     newSinceTable(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.views = drifttable.NewHolder(drifttable.View{Self: self.Name})
	return c
}

// Views returns the holder through which traffic reads the newest view.
func (c *Control) Views() *drifttable.Holder {
	return c.views
}

// Leave announces that this VM shuts down: it gives up its upstreams and
// leaves the list that callers get.
func (c *Control) Leave(ctx context.Context) {
	c.tell(ctx, leaveRequested{})
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

// loop is the control goroutine.
func (c *Control) loop(ctx context.Context, group *errgroup.Group) {
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	c.watchKeys(ctx, group)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.handle(m)
		case now := <-ticker.C:
			c.publish(now)
		}
		c.watchKeys(ctx, group)
	}
}

// message is something that happened, told to the control goroutine.
type message interface {
	message()
}

type (
	// documentRead carries a value of the configuration service.
	documentRead struct{ value driftplatform.Value }
	// documentMissed tells that the configuration service did not answer.
	documentMissed struct {
		key string
		err error
	}
	// listRead carries the published VM list.
	listRead struct{ vms []driftplatform.ListedVM }
	// leaveRequested starts the shutdown of this VM.
	leaveRequested struct{}
)

func (documentRead) message()   {}
func (documentMissed) message() {}
func (listRead) message()       {}
func (leaveRequested) message() {}

func (c *Control) handle(m message) {
	switch m := m.(type) {
	case documentRead:
		c.applyDocument(m.value)
	case documentMissed:
		c.events.Record(driftevent.ConfigUnavailable, "", m.key, m.err.Error())
	case listRead:
		c.members.apply(m.vms)
	case observed:
		return
	case leaveRequested:
		c.leaving = true
		c.events.Record(driftevent.VMLeaving, "", c.self.Name, "")
	}
	c.publish(time.Now())
}

func (c *Control) tell(ctx context.Context, m message) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

// publish runs the systems over the tables and publishes the view.
func (c *Control) publish(now time.Time) {
	c.number++
	v := drifttable.View{Self: c.self.Name, Number: c.number, Made: now}
	c.documents.fill(&v)
	c.members.fill(&v, c.self, c.leaving)
	c.applyMarks(&v, now)
	c.chooseOwners(&v, now)
	c.views.Publish(v)
}

// applyDocument puts a newer document in force and refuses an invalid one.
func (c *Control) applyDocument(value driftplatform.Value) {
	held := c.documents.number(value.Key)
	if value.Number <= held {
		return
	}
	doc, err := driftdocument.Parse(value.Key, value.Body)
	if err != nil {
		c.events.Record(driftevent.ConfigRefused, "", value.Key, err.Error())
		return
	}
	c.checker.Forward(value.Key, held, value.Number)
	c.documents.put(value, doc)
	c.events.Record(driftevent.ConfigInForce, "", value.Key, revisionText(value.Number))
}
