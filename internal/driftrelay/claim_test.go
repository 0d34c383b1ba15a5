package driftrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// TestFalseClaimWasTriedAgain guards against sending requests, each time the view
// changes, to an address that has answered that it belongs to another upstream.
func TestFalseClaimWasTriedAgain(t *testing.T) {
	arrivals := func(t *testing.T, change func(u *Upstream, round int)) (total int) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			w := newSimulation(1, 4, rushServiceTime, rush())
			r := w.relay()
			view := w.view
			view.Upstreams = append([]Upstream(nil), view.Upstreams...)
			upstream := w.upstreams[view.Upstreams[0].Address]
			upstream.misdirected = true
			for round := range 8 {
				runLoad(r, rushOf(w), 10, 40*time.Millisecond)
				change(&view.Upstreams[0], round)
				r.UpdateView(view)
			}
			total = upstream.arrived
			closeAll(r)
		})
		return total
	}
	t.Run("the same entry", func(t *testing.T) {
		assert.Equal(t, 1, arrivals(t, func(*Upstream, int) {}))
	})
	t.Run("an entry that changes once", func(t *testing.T) {
		assert.Equal(t, 2, arrivals(t, func(u *Upstream, round int) {
			if round == 3 {
				u.ColdPeriod = time.Millisecond
			}
		}))
	})
}

// TestTrueClaimCameBack checks that an upstream with the same entry is tried again
// after a while: it may have started again at its address.
func TestTrueClaimCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 4, rushServiceTime, rush())
		r := w.relay()
		upstream := w.upstreams[w.view.Upstreams[0].Address]
		upstream.misdirected = true
		runLoad(r, rushOf(w), 10, 40*time.Millisecond)
		upstream.mu.Lock()
		upstream.misdirected = false
		upstream.mu.Unlock()
		time.Sleep(falseClaimPause)
		r.UpdateView(w.view)
		before := len(upstream.runs)
		runLoad(r, rushOf(w), 50, 40*time.Millisecond)
		assert.Greater(t, len(upstream.runs), before)
		closeAll(r)
	})
}

// rushOf returns the route of the simulation.
func rushOf(w *simulation) driftroute.Route { return w.view.Table.Config.Routes[0] }
