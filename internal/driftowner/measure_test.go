package driftowner

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// measure runs the measurements at the size of docs/measures/owner.md. By
// default they are shorter and use one seed.
var measure = flag.Bool("measure", false, "run measurements at full size")

func measureSeeds() uint64 {
	if *measure {
		return 5
	}
	return 1
}

func measureLength() time.Duration {
	if *measure {
		return 10 * time.Second
	}
	return time.Second
}

// naiveSender is a sender without an owner, for comparison: it has a share of
// the slots, no queue order and no cold state.
type naiveSender struct {
	dialer driftupstream.Dialer
	slots  chan struct{}

	mu   sync.Mutex
	idle []driftupstream.Conn
}

// Handle implements driftshard.Handler.
func (n *naiveSender) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case n.slots <- struct{}{}:
	case <-ctx.Done():
		return driftshard.NotRun{Reason: driftshard.ReasonLate}
	}
	defer func() { <-n.slots }()
	conn, err := n.connection(ctx, r)
	if err != nil {
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	}
	switch conn.Do(ctx, r).(type) {
	case driftupstream.Answer:
		n.put(conn)
		return driftshard.Done{}
	case driftupstream.Refusal:
		n.put(conn)
		return driftshard.NotRun{Reason: driftshard.ReasonShed}
	}
	_ = conn.Close()
	return driftshard.Unknown{Reason: driftshard.ReasonSilent}
}

func (n *naiveSender) connection(ctx context.Context, r driftshard.Request) (driftupstream.Conn, error) {
	if conn := n.pop(); conn != nil {
		return conn, nil
	}
	return n.dialer.Dial(ctx, drifttable.Upstream{Name: r.Upstream})
}

func (n *naiveSender) pop() driftupstream.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := len(n.idle) - 1
	if last < 0 {
		return nil
	}
	conn := n.idle[last]
	n.idle = n.idle[:last]
	return conn
}

func (n *naiveSender) put(conn driftupstream.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = append(n.idle, conn)
}

// coldRun is the result of runCold for one policy: the requests above the cold
// limit, the overload refusals, the answered requests, the peak of requests in
// flight, and the time until the upstream was warm.
type coldRun struct {
	over, sheds, done, peak int
	warm                    time.Duration
}

// runCold loads an upstream at 80% of its capacity through the handlers,
// makes it cold after two seconds and observes it for eight more.
func runCold(ctx context.Context, w *testbed, handlers []driftshard.Handler) (run coldRun) {
	w.runLoads(ctx, 2*time.Second, load{"vm-1", "night", 2 * time.Millisecond, 2 * time.Second})
	before, overBefore := w.upstream.Counts(), w.coldOverload()
	w.upstream.MakeCold()
	cooled := time.Now()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for w.upstream.Cold() && time.Since(cooled) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		run.warm = time.Since(cooled)
	}()
	t := &tally{}
	var group sync.WaitGroup
	for i := 0; time.Since(cooled) < 8*time.Second; i++ {
		group.Go(func() {
			r := w.request("night", 2*time.Second)
			t.add(handlers[i%len(handlers)].Handle(ctx, r), 0, 0)
		})
		time.Sleep(940 * time.Microsecond)
	}
	group.Wait()
	<-watched
	after := w.upstream.Counts()
	run.over, run.sheds = w.coldOverload()-overBefore, after.Sheds-before.Sheds
	run.done, run.peak = t.done, after.PeakInFlight
	return run
}

func newNaiveSenders(w *testbed, senders, slots int) []driftshard.Handler {
	handlers := make([]driftshard.Handler, 0, senders)
	for range senders {
		handlers = append(handlers, &naiveSender{dialer: w.dialer, slots: make(chan struct{}, slots)})
	}
	return handlers
}

func TestMeasureCold(t *testing.T) {
	policies := []struct {
		name     string
		handlers func(w *testbed) []driftshard.Handler
	}{
		{"owner", func(w *testbed) []driftshard.Handler { return []driftshard.Handler{w.owners["vm-1"]} }},
		{"8 senders of 1", func(w *testbed) []driftshard.Handler { return newNaiveSenders(w, 8, 1) }},
		{"all slots at once", func(w *testbed) []driftshard.Handler { return newNaiveSenders(w, 1, testSlots) }},
	}
	for _, p := range policies {
		t.Run(p.name, func(t *testing.T) {
			for seed := range measureSeeds() {
				synctest.Test(t, func(t *testing.T) {
					w := newTestbed(t.Context(), policy{}, driftfake.WithSeed(seed))
					run := runCold(t.Context(), w, p.handlers(w))
					t.Logf("seed %d: over %d, sheds %d, answered %d, peak in flight %d, warm after %s",
						seed, run.over, run.sheds, run.done, run.peak, run.warm)
					if p.name == "owner" {
						assert.LessOrEqual(t, run.over, testSlots)
						assert.LessOrEqual(t, run.peak, testSlots)
					}
				})
			}
		})
	}
}

func TestMeasureUrgent(t *testing.T) {
	policies := []struct {
		name   string
		policy policy
	}{
		{"all", policy{}},
		{"no reservation", policy{noReservation: true}},
		{"no early refusal", policy{noEarlyRefusal: true}},
		{"first come first served", policy{fifo: true, noReservation: true}},
		{"none", policy{fifo: true, noEarlyRefusal: true, noReservation: true}},
	}
	for _, service := range []time.Duration{3 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond} {
		for _, p := range policies {
			t.Run(service.String()+" "+p.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestbed(t.Context(), p.policy, driftfake.WithServiceTime(service, 0.5))
					w.warmUp(t.Context())
					r := w.runLoads(t.Context(), measureLength(), nightLoad, fireLoad)
					t.Logf("fire: %d in time, p99 %s, refused %d, unknown %d; night: %d done, p99 %s, %d unknown",
						r[1].done-r[1].overObjective, percentile(r[1].took, 0.99), r[1].refused, r[1].unknown,
						r[0].done, percentile(r[0].took, 0.99), r[0].unknown)
				})
			})
		}
	}
}

func TestMeasureCancel(t *testing.T) {
	for _, p := range []policy{{}, {closeOnCancel: true}} {
		name := "left to its deadline"
		if p.closeOnCancel {
			name = "closed"
		}
		t.Run(name, func(t *testing.T) {
			for seed := range measureSeeds() {
				synctest.Test(t, func(t *testing.T) {
					w := newTestbed(t.Context(), p, driftfake.WithSeed(seed))
					w.warmUp(t.Context())
					opened := w.upstream.Counts().ConnsOpened
					canceled := make(chan int)
					go func() { canceled <- w.sendLosingHedges(t.Context(), measureLength()) }()
					r := w.runLoads(t.Context(), measureLength(), load{"vm-1", "fire", 1500 * time.Microsecond, fireObjective})[0]
					t.Logf("seed %d: %d canceled, %d connections opened, %d done, p99 %s, refused %d",
						seed, <-canceled, w.upstream.Counts().ConnsOpened-opened, r.done,
						percentile(r.took, 0.99), r.refused)
					w.assertInvariants(t)
				})
			}
		})
	}
}

// sendLosingHedges sends requests that are canceled after 2 ms, as a hedge is
// when another replica answers first.
func (w *testbed) sendLosingHedges(ctx context.Context, length time.Duration) (count int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		hedgeCtx, cancel := context.WithTimeout(ctx, 2*time.Millisecond)
		w.handle(hedgeCtx, "vm-1", "fire", fireObjective)
		cancel()
		count++
	}
	return count
}
