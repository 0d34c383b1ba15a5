package driftrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// promises are the statuses that promise that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// assertPromiseKept asserts that a request was not refused as not run if it ran.
func assertPromiseKept(t *testing.T, w *simulation, id string, a Answer) {
	t.Helper()
	if w.runs()[id] > 0 {
		assert.NotContains(t, promises, a.Status, "%s has run: %s", id, a.Cause)
	}
}

// TestRefusedAsItWasSent guards against refusing a request as not run at the moment
// at which the connection for it opens and it is sent.
func TestRefusedAsItWasSent(t *testing.T) {
	for _, route := range []driftroute.Route{nonIdempotent(), receipt(), rush()} {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route.Timeout = 4 * time.Second
				// Hedges give up attempts whose connection is not open.
				route.LatencyObjective = 4 * time.Second
				w := newSimulation(1, 2, time.Millisecond, route)
				for i := range w.view.Table.Config.Services {
					w.view.Table.Config.Services[i].MaxConns = 1000
				}
				w.view.Table = driftroute.NewTable(w.view.Table.Config)
				opensAt := time.Now().Add(100 * time.Millisecond)
				r := w.relay(WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
					time.Sleep(time.Until(opensAt))
					return w.dial(ctx, address)
				}))
				var mu sync.Mutex
				var group sync.WaitGroup
				answers := make(map[string]Answer)
				for i := range 60 {
					group.Go(func() {
						id := fmt.Sprintf("q%d", i)
						a := r.Serve(context.Background(), &driftexchange.Request{
							ID: id, Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
						}, route.Prefix, time.Now(), 0)
						mu.Lock()
						defer mu.Unlock()
						answers[id] = a
					})
				}
				time.Sleep(50 * time.Millisecond)
				r.StopBy(opensAt)
				group.Wait()
				time.Sleep(time.Second)
				refused := 0
				for id, a := range answers {
					assertPromiseKept(t, w, id, a)
					if a.Status == http.StatusServiceUnavailable {
						refused++
					}
				}
				t.Logf("%d of %d refused, %d ran", refused, len(answers), len(w.runs()))
				closeAll(r)
			})
		})
	}
}

// TestRefusalsUntilTheEnd checks that a request that every upstream has refused is
// refused as not run, also if the wait for another ends with the time for it.
func TestRefusalsUntilTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 2, 10*time.Millisecond, nonIdempotent())
		w.forEachUpstream(func(_ int, s *fakeUpstream) { s.refusalRate = 1 })
		r := w.relay()
		a := sendQuery(t.Context(), r, nonIdempotent())
		assert.Zero(t, w.runs()["q"])
		assert.Equal(t, http.StatusServiceUnavailable, a.Status)
		closeAll(r)
	})
}
