// Package driftowner serves shard requests at the VM that owns the upstream:
// it holds the upstream's connections, queue, limit and warm-up state.
//
// One Owner serves all upstreams that its VM owns, each in a lane of its
// own. A lane orders its queue by deadline, refuses early what cannot be in
// time, and never has more requests at the upstream than the limit, which
// is one while the upstream is cold. Right before a request is sent, the
// Owner checks on the monotonic clock that its view is fresh, that this VM
// still owns the upstream, that nothing is marked out or leaving and that the
// deadline is not past. Run passes the state of a lost upstream on to its new
// owner.
//
// # Usage
//
//	owner := driftowner.New(views, dialer, handover, control, events, checker,
//		driftowner.WithRelay(router))
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
	views    *drifttable.ViewHolder
	dialer   driftupstream.Dialer
	handover driftshard.HandoverSender
	observer driftshard.Observer
	events   driftevent.Recorder
	checker  *driftcheck.Checker
	relay    driftshard.Sender
	fresh    time.Duration
	policy   policy

	mu      sync.Mutex
	lanes   map[string]*lane
	arrived map[string]arrival
	closed  bool
}

// Option changes an Owner that New makes.
type Option func(*Owner)

// WithFresh sets the age above which a view is too old to act on.
func WithFresh(age time.Duration) Option {
	return func(o *Owner) { o.fresh = age }
}

// WithRelay passes a request for an upstream that another VM owns on to that
// VM, one hop at most. Without it such a request is refused with the name of
// the owner.
func WithRelay(sender driftshard.Sender) Option {
	return func(o *Owner) { o.relay = sender }
}

// defaultFresh is the freshness limit when WithFresh is not given.
const defaultFresh = time.Second

// New returns an Owner that reads views and dials upstreams.
func New(
	views *drifttable.ViewHolder,
	dialer driftupstream.Dialer,
	handover driftshard.HandoverSender,
	observer driftshard.Observer,
	events driftevent.Recorder,
	checker *driftcheck.Checker,
	opts ...Option,
) *Owner {
	o := &Owner{
		views: views, dialer: dialer, handover: handover, observer: observer, events: events, checker: checker,
		fresh: defaultFresh, lanes: make(map[string]*lane), arrived: make(map[string]arrival),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// tickInterval is the time between two runs of the systems over the lanes.
const tickInterval = 50 * time.Millisecond

// Run runs the systems over the lanes until ctx ends, then closes every
// connection. Requests that are still in flight end as unknown.
func (o *Owner) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer o.shut()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(ctx, &group, time.Now())
		}
	}
}

// Handle implements driftshard.Handler.
func (o *Owner) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	v := o.views.Load()
	if refusal := o.judge(v, r, now); refusal.Reason != "" {
		return o.turnAway(ctx, r, refusal)
	}
	l := o.lane(v, r.Upstream, now)
	if l == nil {
		return o.turnAway(ctx, r, driftshard.NotRun{Reason: driftshard.ReasonLeaving})
	}
	t := &ticket{
		request: r, key: key(v, r, now, o.policy), arrived: now, ready: make(chan struct{}, 1),
	}
	result := l.enter(t, hold(v, r.Upstream), now)
	if result == nil {
		result = o.serve(ctx, l, t)
	}
	if n, refused := result.(driftshard.NotRun); refused {
		o.events.Record(driftevent.DispatchRefused, r.Query, r.Upstream, r.Attempt+" "+string(n.Reason))
	}
	return result
}

// key returns what orders the queue.
func key(v *drifttable.View, r driftshard.Request, now time.Time, p policy) time.Time {
	if p.fifo {
		return now
	}
	c, found := v.Classes.Get(r.Class)
	if !found || c.LatencyObjective <= 0 {
		return r.Deadline
	}
	target := now.Add(c.LatencyObjective)
	if target.Before(r.Deadline) {
		return target
	}
	return r.Deadline
}

// turnAway refuses a request, or passes it on to the owner.
func (o *Owner) turnAway(ctx context.Context, r driftshard.Request, refusal driftshard.NotRun) driftshard.Result {
	other := refusal.Reason == driftshard.ReasonOwner && refusal.Owner != ""
	if !other || r.Relayed || o.relay == nil {
		o.events.Record(driftevent.DispatchRefused, r.Query, r.Upstream, r.Attempt+" "+string(refusal.Reason))
		return refusal
	}
	o.events.Record(driftevent.RequestRelayed, r.Query, r.Upstream, r.Attempt+" to "+refusal.Owner)
	r.Relayed = true
	return o.relay.Send(ctx, refusal.Owner, r)
}

// serve waits for a slot and a connection and sends the request.
func (o *Owner) serve(ctx context.Context, l *lane, t *ticket) driftshard.Result {
	for {
		if result := l.await(ctx, t); result != nil {
			return result
		}
		again := true
		for again {
			c, result := l.connect(ctx, o.dialer, t)
			if result != nil {
				return result
			}
			now := time.Now()
			v := o.views.Load()
			refusal := o.judge(v, t.request, now)
			if out := l.begin(t, c, refusal, hold(v, t.request.Upstream), now); out.result != nil {
				return out.result
			} else if out.again {
				break
			}
			o.assertMarks(v, t.request, now)
			out := o.exchange(ctx, l, t, c)
			if !out.again {
				return out.result
			}
		}
	}
}

// exchange sends the request and waits for its reply, or until ctx ends. The
// reply to a request that nobody waits for any more still frees its slot.
func (o *Owner) exchange(ctx context.Context, l *lane, t *ticket, c *link) outcome {
	replies := make(chan outcome, 1)
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), l.patience(t, t.sent))
	go func() {
		defer cancel()
		reply := c.Do(sendCtx, t.request)
		out := l.settle(t, c, reply, time.Now())
		if _, parting := reply.(driftupstream.Parting); parting {
			o.observer.Observe(driftshard.UpstreamParting{Upstream: t.request.Upstream})
		}
		replies <- out
	}()
	select {
	case out := <-replies:
		return out
	case <-ctx.Done():
	}
	result, settled := l.detach(ctx, t, c)
	if settled {
		return <-replies
	}
	return outcome{result: result}
}

// lane returns the lane of an upstream, made at its first use, or nil once
// the Owner is shut.
func (o *Owner) lane(v *drifttable.View, upstream string, now time.Time) *lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	l, found := o.lanes[upstream]
	if !found {
		u, _ := v.Upstreams.Get(upstream)
		l = newLane(u, o.events, o.checker, o.policy, now)
		o.lanes[upstream] = l
		o.welcome(l, now)
	}
	return l
}

// shut closes every lane.
func (o *Owner) shut() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, l := range o.lanes {
		l.shut()
	}
}
