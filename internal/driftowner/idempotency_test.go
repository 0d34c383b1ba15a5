package driftowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

func TestNonIdempotent(t *testing.T) {
	t.Run("a duplicate of a request that ran is not run again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			r := w.request("reserve", time.Second)
			assertDone(t, w.owners["vm-1"].Handle(t.Context(), r))
			time.Sleep(time.Minute)
			r.Deadline = time.Now().Add(time.Second)
			assertUnknown(t, driftshard.ReasonDuplicate, w.owners["vm-1"].Handle(t.Context(), r))
			assert.Equal(t, 1, w.upstream.Counts().Runs)
		})
	})
	t.Run("a duplicate of a request that may have run is not run again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.SetReplyMode(driftfake.ConnectionClosed)
			r := w.request("reserve", time.Second)
			assertUnknown(t, driftshard.ReasonUnreachable, w.owners["vm-1"].Handle(t.Context(), r))
			w.upstream.SetReplyMode(driftfake.NormalReply)
			time.Sleep(100 * time.Millisecond)
			assertUnknown(t, driftshard.ReasonDuplicate, w.owners["vm-1"].Handle(t.Context(), r))
			assert.Equal(t, 1, w.upstream.Counts().Runs)
		})
	})
	t.Run("a duplicate of a request that did not run may run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.dialer.SetUnreachable(w.upstream.Name, true)
			r := w.request("reserve", time.Second)
			assertNotRun(t, driftshard.ReasonUnreachable, w.owners["vm-1"].Handle(t.Context(), r))
			w.dialer.SetUnreachable(w.upstream.Name, false)
			time.Sleep(100 * time.Millisecond)
			assertDone(t, w.owners["vm-1"].Handle(t.Context(), r))
			assert.Equal(t, 1, w.upstream.Counts().Runs)
			w.assertInvariants(t)
		})
	})
	t.Run("request IDs move to the next owner", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			r := w.request("reserve", time.Minute)
			assertDone(t, w.owners["vm-1"].Handle(t.Context(), r))
			w.setOwner("vm-2")
			time.Sleep(2 * tickInterval)
			assertUnknown(t, driftshard.ReasonDuplicate, w.owners["vm-2"].Handle(t.Context(), r))
			w.setOwner("vm-1")
			time.Sleep(2 * tickInterval)
			assertUnknown(t, driftshard.ReasonDuplicate, w.owners["vm-1"].Handle(t.Context(), r))
		})
	})
}

func TestCancel(t *testing.T) {
	cancelAfter := func(t *testing.T, w *testbed, class string, after time.Duration) driftshard.Result {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(after, cancel)
		return w.handle(ctx, "vm-1", class, time.Second)
	}
	t.Run("a request canceled while queued did not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.SetSlowdown(10)
			go w.handle(t.Context(), "vm-1", "night", time.Second)
			synctest.Wait()
			runs := w.upstream.Counts().Runs
			assertNotRun(t, driftshard.ReasonCanceled, cancelAfter(t, w, "night", 2*time.Millisecond))
			assert.Equal(t, runs, w.upstream.Counts().Runs)
		})
	})
	t.Run("a request canceled in flight may have run and keeps its slot and connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
			opened := w.upstream.Counts().ConnsOpened
			w.upstream.SetSlowdown(10)
			assertUnknown(t, driftshard.ReasonCanceled, cancelAfter(t, w, "reserve", 2*time.Millisecond))
			assert.Equal(t, 1, w.loadAt("vm-1").InFlight)
			time.Sleep(time.Second)
			assert.Zero(t, w.loadAt("vm-1").InFlight)
			assert.Equal(t, opened, w.upstream.Counts().ConnsOpened)
		})
	})
}

func TestSilence(t *testing.T) {
	t.Run("silent pooled connections are replaced without making the upstream cold", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.upstream.SetReplyMode(driftfake.NoReply)
			assertUnknown(t, driftshard.ReasonSilent, w.handle(t.Context(), "vm-1", "night", 2*time.Second))
			w.upstream.SetReplyMode(driftfake.NormalReply)
			opened := w.upstream.Counts().ConnsOpened
			assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
			assert.Greater(t, w.upstream.Counts().ConnsOpened, opened)
		})
	})
	t.Run("a standby connection that was reset is replaced without a refusal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			time.Sleep(2 * tickInterval)
			w.upstream.Restart()
			assertDone(t, w.handle(t.Context(), "vm-1", "night", time.Second))
		})
	})
	t.Run("a silent new connection makes the upstream cold", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.warmUp(t.Context())
			w.upstream.SetReplyMode(driftfake.NoReply)
			assertUnknown(t, driftshard.ReasonSilent, w.handle(t.Context(), "vm-1", "night", 2*time.Second))
			assertUnknown(t, driftshard.ReasonSilent, w.handle(t.Context(), "vm-1", "night", 2*time.Second))
			assert.True(t, w.loadAt("vm-1").Cold)
			assertNotRun(t, driftshard.ReasonSilent, w.handle(t.Context(), "vm-1", "night", 2*time.Second))
		})
	})
	t.Run("crossed and short replies are failed attempts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t.Context(), policy{})
			w.upstream.SetReplyMode(driftfake.MismatchedReply)
			assertUnknown(t, driftshard.ReasonCrossed, w.handle(t.Context(), "vm-1", "night", time.Second))
			w.upstream.SetReplyMode(driftfake.TruncatedReply)
			assertUnknown(t, driftshard.ReasonShort, w.handle(t.Context(), "vm-1", "night", time.Second))
			w.assertInvariants(t)
		})
	})
}
