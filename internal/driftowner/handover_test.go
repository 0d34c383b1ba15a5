package driftowner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

func TestOwnerChange(t *testing.T) {
	t.Run("a handover keeps the upstream warm and ends the hold early", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.setOwner("vm-2")
			time.Sleep(2 * tickInterval)
			assertDone(t, w.handle(t.Context(), "vm-2", "fire", fireObjective))
			assert.Equal(t, testSlots, w.loadAt("vm-2").Limit)
			assert.Nil(t, w.loadAt("vm-1"))
		})
	})
	t.Run("without a handover, a new owner waits until the hold ends and starts cold", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.setFrozen("vm-1", true)
			w.setOwner("vm-2")
			assertNotRun(t, driftshard.ReasonHold, w.handle(t.Context(), "vm-2", "fire", fireObjective))
			time.Sleep(testHold)
			assertDone(t, w.handle(t.Context(), "vm-2", "fire", fireObjective))
			assert.Equal(t, coldLimit, w.loadAt("vm-2").Limit)
		})
	})
	t.Run("owner changes during a warm-up do not overload a cold upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{}, driftfake.WithCold(1, 60))
			w.warmUp(t.Context())
			w.upstream.Restart()
			go w.runLoads(t.Context(), 5*time.Second, nightLoad)
			go func() {
				for _, vm := range []string{"vm-2", "vm-1", "vm-2", "vm-1", "vm-2", "vm-1"} {
					time.Sleep(300 * time.Millisecond)
					w.setOwner(vm)
				}
			}()
			w.runLoads(t.Context(), 5*time.Second, load{"vm-2", "night", time.Millisecond, 2 * time.Second})
			assert.LessOrEqual(t, w.coldOverload(), testSlots)
			assert.False(t, w.upstream.Cold())
			w.assertInvariants(t)
		})
	})
	t.Run("a long request of the previous owner keeps its slot after the hold", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.SetSlowdown(1000)
			w.upstream.MakeCold()
			go w.handle(t.Context(), "vm-1", "reserve", time.Minute)
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
			w.setOwner("vm-2")
			time.Sleep(2 * testHold)
			go w.handle(t.Context(), "vm-2", "night", time.Minute)
			time.Sleep(time.Second)
			assert.Equal(t, driftshard.Load{Queue: 1, InFlight: 1, Limit: 1, Cold: true}, *w.loadAt("vm-2"))
			time.Sleep(time.Minute)
			assert.Zero(t, w.coldOverload())
			w.assertInvariants(t)
		})
	})
	t.Run("requests in flight are not counted twice when an upstream comes back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.SetSlowdown(500)
			go w.handle(t.Context(), "vm-1", "reserve", 10*time.Second)
			time.Sleep(100 * time.Millisecond)
			w.setOwner("vm-2")
			time.Sleep(2 * testHold / 3)
			go w.handle(t.Context(), "vm-2", "night", time.Second)
			time.Sleep(2 * tickInterval)
			w.setOwner("vm-1")
			time.Sleep(5 * time.Second)
			assertDone(t, w.handle(t.Context(), "vm-1", "night", 5*time.Second))
			w.assertInvariants(t)
		})
	})
	t.Run("a later handover never raises a limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.MakeCold()
			assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
			w.owners["vm-1"].ReceiveHandover(driftshard.Handover{
				Upstream: w.upstream.Name, From: "vm-2", Limit: testSlots,
				Baselines: []driftshard.Baseline{{Class: "night", Mean: time.Second, Deviation: time.Second}},
			})
			assert.Equal(t, coldLimit, w.loadAt("vm-1").Limit)
		})
	})
	t.Run("another VM relays a request at most once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			assertDone(t, w.handle(t.Context(), "vm-2", "night", time.Second))
			r := w.request("night", time.Second)
			r.Relayed = true
			assertNotRun(t, driftshard.ReasonOwner, w.owners["vm-2"].Handle(t.Context(), r))
		})
	})
}

func TestMarks(t *testing.T) {
	// queueUp queues a request behind a long one.
	queueUp := func(t *testing.T, w *testbed) chan driftshard.Result {
		t.Helper()
		w.upstream.SetSlowdown(1000)
		go w.handle(t.Context(), "vm-1", "reserve", time.Minute)
		synctest.Wait()
		waiting := make(chan driftshard.Result, 1)
		go func() { waiting <- w.handle(t.Context(), "vm-1", "night", time.Minute) }()
		time.Sleep(20 * time.Millisecond)
		return waiting
	}
	t.Run("a failure domain that is out gets no request, queued or new", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			waiting := queueUp(t, w)
			w.setDomainOut(true)
			assertNotRun(t, driftshard.ReasonOut, <-waiting)
			assertNotRun(t, driftshard.ReasonOut, w.handle(t.Context(), "vm-1", "night", time.Second))
			assert.Equal(t, 1, w.upstream.Counts().Requests)
			w.assertInvariants(t)
		})
	})
	t.Run("a leaving upstream gets no new request and is reported to the control goroutine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.upstream.Leave()
			assertNotRun(t, driftshard.ReasonLeaving, w.handle(t.Context(), "vm-1", "night", time.Second))
			requests := w.upstream.Counts().Requests
			w.runLoads(t.Context(), 5*time.Second, nightLoad)
			assert.Equal(t, requests, w.upstream.Counts().Requests)
			assert.Contains(t, w.observed, driftshard.UpstreamLeaving{Upstream: w.upstream.Name})
			w.setLeaving(true)
			time.Sleep(time.Second)
			w.upstream.Restart()
			w.setLeaving(false)
			time.Sleep(time.Second)
			assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
			assert.Equal(t, coldLimit, w.loadAt("vm-1").Limit)
			w.assertInvariants(t)
		})
	})
	t.Run("a VM with a stale view sends nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.setFrozen("vm-1", true)
			time.Sleep(2 * time.Second)
			assertNotRun(t, driftshard.ReasonStale, w.handle(t.Context(), "vm-1", "night", time.Second))
			assert.Zero(t, w.upstream.Counts().Requests)
		})
	})
}
