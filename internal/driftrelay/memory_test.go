package driftrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// TestLargePartsOfAllShards guards against holding more replies at a time than a VM
// has memory for: 20 of 21 shards reply with 1 MB each.
func TestLargePartsOfAllShards(t *testing.T) {
	const shards, partSize, limit = 21, 1 << 20, 4 << 20
	// peak serves a query and returns the most bytes that replies held.
	peak := func(t *testing.T, limit int64) (int64, Answer) {
		t.Helper()
		route := sweep()
		route.Target = driftroute.Gather{TopK: 10, CoverageFloor: 0.01, Shards: make([]string, shards)}
		w := newSimulation(shards, 4, 20*time.Millisecond, route)
		w.forEachUpstream(func(i int, s *fakeUpstream) {
			if i >= testDomains {
				s.bodySize = partSize
			}
		})
		memory := driftexchange.NewMemory(limit)
		r := w.relay(WithMemory(memory))
		var most atomic.Int64
		var done atomic.Bool
		go func() {
			for !done.Load() {
				most.Store(max(most.Load(), memory.Used()))
				time.Sleep(time.Millisecond)
			}
		}()
		a := r.Serve(context.Background(), &driftexchange.Request{
			ID: "q", Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
		}, route.Prefix, time.Now(), 0)
		r.Release(a)
		closeAll(r)
		done.Store(true)
		time.Sleep(time.Second)
		assert.Zero(t, memory.Used(), "all of it must be given back")
		return most.Load(), a
	}
	t.Run("bounded", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			most, a := peak(t, limit)
			t.Logf("at most %d bytes, status %d, missing %s", most, a.Status, a.Header.Get(testHeaders.MissingParts))
			// One read of each connection may pass the limit before it is closed.
			assert.LessOrEqual(t, most, int64(limit+shards*(16<<10)))
			assert.Equal(t, http.StatusOK, a.Status)
		})
	})
	t.Run("without a bound", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			most, _ := peak(t, 1<<40)
			assert.Greater(t, most, int64(4*limit), "the check must notice")
		})
	})
}

// TestReplyMemoryIsGivenBack sends queries whose replies are lost, refused, late and
// abandoned, and checks that none keeps memory.
func TestReplyMemoryIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(10, 2, rushServiceTime, rush())
		w.forEachUpstream(func(i int, s *fakeUpstream) {
			s.pause, s.pauseEvery = 200*time.Millisecond, time.Second
			s.replyLossRate, s.refusalRate = 0.1, 0.1*float64(i%testDomains)
		})
		memory := driftexchange.NewMemory(1 << 30)
		r := w.relay(WithMemory(memory))
		_ = runLoad(r, rush(), 300, 10*time.Millisecond)
		closeAll(r)
		assert.Zero(t, memory.Used())
	})
}
