package driftrelay

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPublishedWhileSending guards against writing the address of an upstream, on each
// new view, while attempts read it. Only the race detector sees it.
func TestPublishedWhileSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := sweep()
		w := newSimulation(3, 4, 20*time.Millisecond, route)
		r := w.relay()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 100 {
				r.UpdateView(w.view)
				time.Sleep(5 * time.Millisecond)
			}
		}()
		assertInTime(t, runLoad(r, w.view.Table.Config.Routes[0], 100, 5*time.Millisecond), 0.99)
		<-done
		closeAll(r)
	})
}
