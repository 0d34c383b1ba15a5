package driftowner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// world is two owners in one failure domain over one stand-in upstream. Make
// it inside a synctest bubble.
type world struct {
	upstream *driftfake.Upstream
	dialer   *driftfake.Dialer
	owners   map[string]*Owner
	views    map[string]*drifttable.ViewHolder

	mu         sync.Mutex
	view       drifttable.View
	frozen     map[string]bool
	violations []driftcheck.Violation
	observed   []driftshard.Observation
	number     int
}

// worldSlots is the slots of the upstream of a world.
const worldSlots = 4

func newWorld(ctx context.Context, p policy, opts ...driftfake.UpstreamOption) *world {
	opts = append([]driftfake.UpstreamOption{
		driftfake.WithSlots(worldSlots), driftfake.WithOpening(6*time.Millisecond, 35),
	}, opts...)
	u := driftfake.NewUpstream("counter-1a", opts...)
	w := &world{
		upstream: u, dialer: driftfake.NewDialer(u), owners: make(map[string]*Owner),
		views: make(map[string]*drifttable.ViewHolder), frozen: make(map[string]bool),
	}
	w.view = drifttable.View{
		Domains: drifttable.NewTable(drifttable.Domain{Name: "Recife"}),
		Upstreams: drifttable.NewTable(drifttable.Upstream{
			Name: u.Name, Service: "counter", Domain: "Recife", Slots: worldSlots,
			MaxConnections: 35, ConnectionCost: 6 * time.Millisecond,
		}),
		Classes: drifttable.NewTable(
			drifttable.Class{Name: "fire", LatencyObjective: 40 * time.Millisecond},
			drifttable.Class{Name: "night", LatencyObjective: 2 * time.Second},
			drifttable.Class{Name: "reserve", LatencyObjective: 200 * time.Millisecond, NonIdempotent: true},
		),
		Owners: drifttable.NewTable(drifttable.Owner{Upstream: u.Name, Name: "vm-1"}),
	}
	for _, vm := range []string{"vm-1", "vm-2"} {
		w.start(ctx, vm, p)
	}
	return w
}

func (w *world) start(ctx context.Context, vm string, p policy) {
	events := driftevent.NewLog(vm, 1)
	checker := driftcheck.NewChecker(events, driftcheck.WithViolation(func(v driftcheck.Violation) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.violations = append(w.violations, v)
	}))
	w.views[vm] = drifttable.NewViewHolder(w.viewOf(vm))
	o := New(w.views[vm], w.dialer, w, w, events, checker, WithRelay(w))
	o.policy = p
	w.owners[vm] = o
	go o.Run(ctx)
	go w.publish(ctx, vm)
}

// publish keeps the view of a VM fresh, as the control goroutine does.
func (w *world) publish(ctx context.Context, vm string) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.refresh(vm)
		}
	}
}

func (w *world) refresh(vm string) {
	w.mu.Lock()
	frozen := w.frozen[vm]
	w.mu.Unlock()
	if !frozen {
		w.views[vm].Publish(w.viewOf(vm))
	}
}

func (w *world) viewOf(vm string) drifttable.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.view
	v.Self, v.BuiltAt = vm, time.Now()
	return v
}

// change changes the view and publishes it to the VMs whose view is live.
func (w *world) change(change func(v *drifttable.View)) {
	w.mu.Lock()
	change(&w.view)
	w.mu.Unlock()
	for vm := range w.views {
		w.refresh(vm)
	}
}

// testHold is the hold of a new owner that hears nothing of the earlier one.
const testHold = time.Second

// own makes a VM the owner.
func (w *world) own(vm string) {
	end := time.Now().Add(testHold)
	w.change(func(v *drifttable.View) {
		v.Owners = drifttable.NewTable(drifttable.Owner{Upstream: w.upstream.Name, Name: vm, HoldUntil: end})
	})
}

func (w *world) leave(leaving bool) {
	now := time.Now()
	w.change(func(v *drifttable.View) {
		u, _ := v.Upstreams.Get(w.upstream.Name)
		u.Leaving, u.LeavingSince = leaving, now
		v.Upstreams = drifttable.NewTable(u)
	})
}

func (w *world) markOut(out bool) {
	now := time.Now()
	w.change(func(v *drifttable.View) {
		v.Domains = drifttable.NewTable(drifttable.Domain{Name: "Recife", Out: out, OutSince: now})
	})
}

func (w *world) freeze(vm string, frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen[vm] = frozen
}

// SendHandover implements driftshard.HandoverSender.
func (w *world) SendHandover(_ context.Context, vm string, h driftshard.Handover) error {
	w.owners[vm].ReceiveHandover(h)
	return nil
}

// Send implements driftshard.Sender.
func (w *world) Send(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
	return w.owners[vm].Handle(ctx, r)
}

// Observe implements driftshard.Observer.
func (w *world) Observe(o driftshard.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observed = append(w.observed, o)
}

// request returns a new request of the class.
func (w *world) request(class string, deadline time.Duration) driftshard.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	id := fmt.Sprintf("q-%d", w.number)
	return driftshard.Request{
		Query: id, Attempt: id + "/1", Class: class, Service: "counter", Shard: "counter-1",
		Upstream: w.upstream.Name, Version: 1, Depots: []string{"depot-1"}, Once: class == "reserve",
		Deadline: time.Now().Add(deadline),
	}
}

func (w *world) ask(ctx context.Context, vm, class string, deadline time.Duration) driftshard.Result {
	return w.owners[vm].Handle(ctx, w.request(class, deadline))
}

// load sends requests of a class at a fixed rate until ctx ends.
type load struct {
	vm       string
	class    string
	interval time.Duration
	deadline time.Duration
}

// tally counts the results of a load.
type tally struct {
	mu      sync.Mutex
	done    int
	refused int
	unknown int
	late    int
	took    []time.Duration
	refuse  []time.Duration
}

func (t *tally) add(r driftshard.Result, took, target time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r.(type) {
	case driftshard.Done:
		t.done++
		t.took = append(t.took, took)
		if took > target {
			t.late++
		}
	case driftshard.NotRun:
		t.refused++
		t.refuse = append(t.refuse, took)
	case driftshard.Unknown:
		t.unknown++
	}
}

// drive runs the load for a time and waits until every result has come.
func (w *world) drive(ctx context.Context, length time.Duration, loads ...load) []*tally {
	tallies := make([]*tally, len(loads))
	var group sync.WaitGroup
	for i, l := range loads {
		tallies[i] = &tally{}
		group.Go(func() { w.run(ctx, length, l, tallies[i]) })
	}
	group.Wait()
	return tallies
}

func (w *world) run(ctx context.Context, length time.Duration, l load, t *tally) {
	var group sync.WaitGroup
	defer group.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(l.interval) {
		group.Go(func() {
			started := time.Now()
			t.add(w.ask(ctx, l.vm, l.class, l.deadline), time.Since(started), l.deadline)
		})
	}
}

// warm drives the upstream through vm-1 until its limit is the slots.
func (w *world) warm(ctx context.Context) {
	for range 50 {
		w.drive(ctx, 200*time.Millisecond, load{"vm-1", "night", 2 * time.Millisecond, 2 * time.Second})
		if l := w.lane("vm-1"); l != nil && l.Limit == worldSlots && !l.Cold {
			return
		}
	}
}

// lane returns the load of a VM's lane, or nil.
func (w *world) lane(vm string) *driftshard.Load {
	o := w.owners[vm]
	o.mu.Lock()
	l := o.lanes[w.upstream.Name]
	o.mu.Unlock()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load()
	return &load
}

func assertDone(t *testing.T, r driftshard.Result) {
	t.Helper()
	assert.IsType(t, driftshard.Done{}, r, "%+v", r)
}

func assertNotRun(t *testing.T, reason driftshard.Reason, r driftshard.Result) {
	t.Helper()
	n, ok := r.(driftshard.NotRun)
	assert.True(t, ok, "%+v", r)
	assert.Equal(t, reason, n.Reason)
}

func assertUnknown(t *testing.T, reason driftshard.Reason, r driftshard.Result) {
	t.Helper()
	assert.Equal(t, driftshard.Unknown{Reason: reason}, r)
}

// over counts the requests that a cold upstream got over what it bears, also
// those that came before its first sign of being cold.
func (w *world) over() int {
	c := w.upstream.Counts()
	return c.ColdOver + c.ColdUnseen
}

// assertSound asserts what no fault may break: the checks inside the program
// and what the upstream has counted for itself.
func (w *world) assertSound(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Empty(t, w.violations)
	c := w.upstream.Counts()
	assert.LessOrEqual(t, c.PeakFlight, worldSlots)
	assert.LessOrEqual(t, c.PeakConns, 35)
	assert.Zero(t, c.Repeats)
	assert.Zero(t, c.AfterLeaving)
}
