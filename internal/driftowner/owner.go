// Package driftowner serves shard requests at the VM that owns the upstream: it
// holds the upstream's connections, queue, concurrency limit and warm-up state.
//
// One Owner serves all upstreams that its VM owns and has one dispatcher for
// each. A dispatcher orders its queue by deadline, refuses early what it cannot
// answer in time, and never has more requests in flight than the limit, which is
// one while the upstream is cold. Right before a request is sent, the Owner
// checks on the monotonic clock that its view is fresh, that this VM still owns
// the upstream, that neither the upstream nor its failure domain is marked out or
// leaving, and that the deadline has not passed. Run hands the state of an
// upstream over to its new owner when this VM no longer owns it.
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
	views      *drifttable.ViewHolder
	dialer     driftupstream.Dialer
	handover   driftshard.HandoverSender
	observer   driftshard.Observer
	events     driftevent.Recorder
	checker    *driftcheck.Checker
	relay      driftshard.Sender
	maxViewAge time.Duration
	policy     policy

	mu          sync.Mutex
	dispatchers map[string]*dispatcher
	handovers   map[string]receivedHandover
	closed      bool
}

// Option configures an Owner in New.
type Option func(*Owner)

// WithMaxViewAge sets the age above which a view is too old to dispatch
// requests.
func WithMaxViewAge(age time.Duration) Option {
	return func(o *Owner) { o.maxViewAge = age }
}

// WithRelay relays a request for an upstream of another VM to that VM, at
// most once per request. Without it, such a request is refused with the name
// of the owner.
func WithRelay(sender driftshard.Sender) Option {
	return func(o *Owner) { o.relay = sender }
}

// defaultMaxViewAge applies when WithMaxViewAge is not given.
const defaultMaxViewAge = time.Second

// New returns an Owner that reads views and connects to upstreams with
// dialer.
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
		maxViewAge: defaultMaxViewAge, dispatchers: make(map[string]*dispatcher), handovers: make(map[string]receivedHandover),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// tickInterval is the time between two runs of the periodic work on the
// dispatchers.
const tickInterval = 50 * time.Millisecond

// Run does the periodic work on the dispatchers until ctx ends, then closes
// every connection. The result of a request still in flight is then Unknown.
func (o *Owner) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer o.closeDispatchers()
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
	if refusal := o.checkDispatch(v, r, now); refusal.Reason != "" {
		return o.refuseOrRelay(ctx, r, refusal)
	}
	l := o.dispatcherFor(v, r.Upstream, now)
	if l == nil {
		return o.refuseOrRelay(ctx, r, driftshard.NotRun{Reason: driftshard.ReasonLeaving})
	}
	t := &queuedRequest{
		request: r, key: queueKey(v, r, now, o.policy), arrived: now, ready: make(chan struct{}, 1),
	}
	result := l.enqueue(t, holdEnd(v, r.Upstream), now)
	if result == nil {
		result = o.serve(ctx, l, t)
	}
	if n, refused := result.(driftshard.NotRun); refused {
		o.events.Record(driftevent.DispatchRefused, r.Query, r.Upstream, r.Attempt+" "+string(n.Reason))
	}
	return result
}

// queueKey returns the time by which the queue is ordered.
func queueKey(v *drifttable.View, r driftshard.Request, now time.Time, p policy) time.Time {
	if p.fifo {
		return now
	}
	c, found := v.Classes.Get(r.Class)
	if !found || c.LatencyObjective <= 0 {
		return r.Deadline
	}
	objective := now.Add(c.LatencyObjective)
	if objective.Before(r.Deadline) {
		return objective
	}
	return r.Deadline
}

// refuseOrRelay refuses a request, or relays it to the owner of the upstream.
func (o *Owner) refuseOrRelay(ctx context.Context, r driftshard.Request, refusal driftshard.NotRun) driftshard.Result {
	other := refusal.Reason == driftshard.ReasonOwner && refusal.Owner != ""
	if !other || r.Relayed || o.relay == nil {
		o.events.Record(driftevent.DispatchRefused, r.Query, r.Upstream, r.Attempt+" "+string(refusal.Reason))
		return refusal
	}
	o.events.Record(driftevent.RequestRelayed, r.Query, r.Upstream, r.Attempt+" to "+refusal.Owner)
	r.Relayed = true
	return o.relay.Send(ctx, refusal.Owner, r)
}

// serve waits for a slot, gets a connection and sends the request. It does so
// again if the attempt did not run and may be repeated.
func (o *Owner) serve(ctx context.Context, l *dispatcher, t *queuedRequest) driftshard.Result {
	for {
		if result := l.awaitSlot(ctx, t); result != nil {
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
			refusal := o.checkDispatch(v, t.request, now)
			if out := l.startAttempt(t, c, refusal, holdEnd(v, t.request.Upstream), now); out.result != nil {
				return out.result
			} else if out.retry {
				break
			}
			o.assertMarks(v, t.request, now)
			out := o.runAttempt(ctx, l, t, c)
			if !out.retry {
				return out.result
			}
		}
	}
}

// runAttempt sends the request and waits for its reply or the end of ctx. A
// reply that arrives after ctx has ended still frees the slot.
func (o *Owner) runAttempt(ctx context.Context, l *dispatcher, t *queuedRequest, c *connection) outcome {
	replies := make(chan outcome, 1)
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), l.attemptDeadline(t, t.sent))
	go func() {
		defer cancel()
		reply := c.Do(sendCtx, t.request)
		out := l.completeAttempt(t, c, reply, time.Now())
		if _, departed := reply.(driftupstream.Departure); departed {
			o.observer.Observe(driftshard.UpstreamLeaving{Upstream: t.request.Upstream})
		}
		replies <- out
	}()
	select {
	case out := <-replies:
		return out
	case <-ctx.Done():
	}
	result, completed := l.detach(ctx, t, c)
	if completed {
		return <-replies
	}
	return outcome{result: result}
}

// dispatcherFor returns the dispatcher of an upstream and creates it on first
// use. It returns nil once the Owner is closed.
func (o *Owner) dispatcherFor(v *drifttable.View, upstream string, now time.Time) *dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	l, found := o.dispatchers[upstream]
	if !found {
		u, _ := v.Upstreams.Get(upstream)
		l = newDispatcher(u, o.events, o.checker, o.policy, now)
		o.dispatchers[upstream] = l
		o.applyHandover(l, now)
	}
	return l
}

// closeDispatchers closes every dispatcher and allows no new one.
func (o *Owner) closeDispatchers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, l := range o.dispatchers {
		l.close()
	}
}
