// Package driftowner serves shard requests at the VM that owns the upstream:
// it holds the upstream's connections, queue, limit and warm-up state.
//
// One Owner serves all upstreams that its VM owns, each in a lane of its
// own. Every dispatch checks, on the monotonic clock, that the view is fresh,
// that this VM still owns the upstream and that the deadline is not past.
//
// # Usage
//
//	owner := driftowner.New(views, dialer, handover, control, events, checker)
//	go owner.Run(ctx)
//	result := owner.Handle(ctx, request)
package driftowner

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Owner serves shard requests for the upstreams of one VM. It is safe for
// concurrent use.
type Owner struct {
	views    *drifttable.Holder
	dialer   driftupstream.Dialer
	handover driftshard.HandoverSender
	observer driftshard.Observer
	events   driftevent.Recorder
	checker  *driftcheck.Checker
	fresh    time.Duration

	mu    sync.Mutex
	lanes map[string]*lane
}

// Option changes an Owner that New makes.
type Option func(*Owner)

// WithFresh sets the age above which a view is too old to act on.
func WithFresh(age time.Duration) Option {
	return func(o *Owner) { o.fresh = age }
}

// defaultFresh is the freshness limit when WithFresh is not given.
const defaultFresh = time.Second

// New returns an Owner that reads views and dials upstreams.
func New(
	views *drifttable.Holder,
	dialer driftupstream.Dialer,
	handover driftshard.HandoverSender,
	observer driftshard.Observer,
	events driftevent.Recorder,
	checker *driftcheck.Checker,
	opts ...Option,
) *Owner {
	o := &Owner{
		views: views, dialer: dialer, handover: handover, observer: observer, events: events, checker: checker,
		fresh: defaultFresh, lanes: make(map[string]*lane),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// tickInterval is the time between two runs of the systems over the lanes.
const tickInterval = 50 * time.Millisecond

// Run runs the systems over the lanes until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReceiveHandover implements driftshard.HandoverReceiver.
func (o *Owner) ReceiveHandover(driftshard.Handover) {}

// Handle implements driftshard.Handler.
func (o *Owner) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	l, refusal := o.admit(r)
	if refusal.Reason != "" {
		return refusal
	}
	return l.serve(ctx, r)
}

// admit returns the lane of the request, or a refusal with a reason.
func (o *Owner) admit(r driftshard.Request) (l *lane, refusal driftshard.NotRun) {
	now := time.Now()
	v := o.views.Load()
	name, _ := v.Owner(r.Upstream)
	switch {
	case v.Age(now) > o.fresh:
		return nil, driftshard.NotRun{Reason: driftshard.ReasonStale}
	case v.Fenced:
		return nil, driftshard.NotRun{Reason: driftshard.ReasonFenced}
	case name != v.Self:
		return nil, driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: name}
	case v.UpstreamOut(r.Upstream):
		return nil, driftshard.NotRun{Reason: driftshard.ReasonOut}
	case !now.Before(r.Deadline):
		return nil, driftshard.NotRun{Reason: driftshard.ReasonLate}
	}
	u, _ := v.Upstreams.Get(r.Upstream)
	return o.lane(u), driftshard.NotRun{}
}

// lane returns the lane of an upstream, made at its first use.
func (o *Owner) lane(u drifttable.Upstream) *lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, found := o.lanes[u.Name]
	if !found {
		l = newLane(u, o.dialer)
		o.lanes[u.Name] = l
	}
	return l
}
