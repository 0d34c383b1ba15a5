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

// testbed is two owners in one failure domain with one simulated upstream.
// Create it inside a synctest bubble.
type testbed struct {
	upstream *driftfake.Upstream
	dialer   *driftfake.Dialer
	owners   map[string]*Owner
	views    map[string]*drifttable.ViewHolder

	mu          sync.Mutex
	view        drifttable.View
	frozen      map[string]bool
	violations  []driftcheck.Violation
	observed    []driftshard.Observation
	lastRequest int
}

// testSlots is the number of slots of the upstream of a testbed.
const testSlots = 4

func newTestbed(ctx context.Context, p policy, opts ...driftfake.UpstreamOption) *testbed {
	opts = append([]driftfake.UpstreamOption{
		driftfake.WithSlots(testSlots), driftfake.WithOpening(6*time.Millisecond, 35),
	}, opts...)
	u := driftfake.NewUpstream("counter-1a", opts...)
	w := &testbed{
		upstream: u, dialer: driftfake.NewDialer(u), owners: make(map[string]*Owner),
		views: make(map[string]*drifttable.ViewHolder), frozen: make(map[string]bool),
	}
	w.view = drifttable.View{
		Domains: drifttable.NewTable(drifttable.Domain{Name: "Recife"}),
		Upstreams: drifttable.NewTable(drifttable.Upstream{
			Name: u.Name, Service: "counter", Domain: "Recife", Slots: testSlots,
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

func (w *testbed) start(ctx context.Context, vm string, p policy) {
	events := driftevent.NewLog(vm, 1)
	checker := driftcheck.NewChecker(events, driftcheck.WithViolationHandler(func(v driftcheck.Violation) {
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
func (w *testbed) publish(ctx context.Context, vm string) {
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

func (w *testbed) refresh(vm string) {
	w.mu.Lock()
	frozen := w.frozen[vm]
	w.mu.Unlock()
	if !frozen {
		w.views[vm].Publish(w.viewOf(vm))
	}
}

func (w *testbed) viewOf(vm string) drifttable.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.view
	v.Self, v.BuiltAt = vm, time.Now()
	return v
}

// changeView changes the view and publishes it to the VMs whose view is not
// frozen.
func (w *testbed) changeView(change func(v *drifttable.View)) {
	w.mu.Lock()
	change(&w.view)
	w.mu.Unlock()
	for vm := range w.views {
		w.refresh(vm)
	}
}

// testHold is how long a new owner waits without a handover from the previous
// one.
const testHold = time.Second

// setOwner makes a VM the owner of the upstream.
func (w *testbed) setOwner(vm string) {
	end := time.Now().Add(testHold)
	w.changeView(func(v *drifttable.View) {
		v.Owners = drifttable.NewTable(drifttable.Owner{Upstream: w.upstream.Name, Name: vm, HoldUntil: end})
	})
}

func (w *testbed) setLeaving(leaving bool) {
	now := time.Now()
	w.changeView(func(v *drifttable.View) {
		u, _ := v.Upstreams.Get(w.upstream.Name)
		u.Leaving, u.LeavingSince = leaving, now
		v.Upstreams = drifttable.NewTable(u)
	})
}

func (w *testbed) setDomainOut(out bool) {
	now := time.Now()
	w.changeView(func(v *drifttable.View) {
		v.Domains = drifttable.NewTable(drifttable.Domain{Name: "Recife", Out: out, OutSince: now})
	})
}

func (w *testbed) setFrozen(vm string, frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen[vm] = frozen
}

// SendHandover implements driftshard.HandoverSender.
func (w *testbed) SendHandover(_ context.Context, vm string, h driftshard.Handover) error {
	w.owners[vm].ReceiveHandover(h)
	return nil
}

// Send implements driftshard.Sender.
func (w *testbed) Send(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
	return w.owners[vm].Handle(ctx, r)
}

// Observe implements driftshard.Observer.
func (w *testbed) Observe(o driftshard.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observed = append(w.observed, o)
}

// request returns a new request of the class.
func (w *testbed) request(class string, deadline time.Duration) driftshard.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequest++
	id := fmt.Sprintf("q-%d", w.lastRequest)
	return driftshard.Request{
		Query: id, Attempt: id + "/1", Class: class, Service: "counter", Shard: "counter-1",
		Upstream: w.upstream.Name, Version: 1, Depots: []string{"depot-1"}, NonIdempotent: class == "reserve",
		Deadline: time.Now().Add(deadline),
	}
}

func (w *testbed) handle(ctx context.Context, vm, class string, deadline time.Duration) driftshard.Result {
	return w.owners[vm].Handle(ctx, w.request(class, deadline))
}

// load sends requests of a class to a VM at a fixed rate until ctx ends.
type load struct {
	vm       string
	class    string
	interval time.Duration
	deadline time.Duration
}

// tally counts the results of a load.
type tally struct {
	mu            sync.Mutex
	done          int
	refused       int
	unknown       int
	overObjective int
	took          []time.Duration
	refusalTook   []time.Duration
}

func (t *tally) add(r driftshard.Result, took, objective time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r.(type) {
	case driftshard.Done:
		t.done++
		t.took = append(t.took, took)
		if took > objective {
			t.overObjective++
		}
	case driftshard.NotRun:
		t.refused++
		t.refusalTook = append(t.refusalTook, took)
	case driftshard.Unknown:
		t.unknown++
	}
}

// runLoads runs the loads for a time and waits for every result.
func (w *testbed) runLoads(ctx context.Context, length time.Duration, loads ...load) []*tally {
	tallies := make([]*tally, len(loads))
	var group sync.WaitGroup
	for i, l := range loads {
		tallies[i] = &tally{}
		group.Go(func() { w.runLoad(ctx, length, l, tallies[i]) })
	}
	group.Wait()
	return tallies
}

func (w *testbed) runLoad(ctx context.Context, length time.Duration, l load, t *tally) {
	var group sync.WaitGroup
	defer group.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(l.interval) {
		group.Go(func() {
			started := time.Now()
			t.add(w.handle(ctx, l.vm, l.class, l.deadline), time.Since(started), l.deadline)
		})
	}
}

// warmUp sends load through vm-1 until the upstream is warm and its limit is
// the number of slots.
func (w *testbed) warmUp(ctx context.Context) {
	for range 50 {
		w.runLoads(ctx, 200*time.Millisecond, load{"vm-1", "night", 2 * time.Millisecond, 2 * time.Second})
		if l := w.loadAt("vm-1"); l != nil && l.Limit == testSlots && !l.Cold {
			return
		}
	}
}

// loadAt returns the load of the dispatcher of a VM, or nil if there is none.
func (w *testbed) loadAt(vm string) *driftshard.Load {
	o := w.owners[vm]
	o.mu.Lock()
	l := o.dispatchers[w.upstream.Name]
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

// coldOverload returns the number of requests that the cold upstream received
// in excess of its cold limit, including those before its first sign of being
// cold.
func (w *testbed) coldOverload() int {
	c := w.upstream.Counts()
	return c.ColdOverload + c.ColdOverloadBeforeSign
}

// assertInvariants asserts what must hold under any fault, from the checks
// inside the program and the counts of the upstream.
func (w *testbed) assertInvariants(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Empty(t, w.violations)
	c := w.upstream.Counts()
	assert.LessOrEqual(t, c.PeakInFlight, testSlots)
	assert.LessOrEqual(t, c.PeakConns, 35)
	assert.Zero(t, c.DuplicateRuns)
	assert.Zero(t, c.AfterLeaving)
}
