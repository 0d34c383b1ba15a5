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
)

// TestRefusedRequestSentAtDeadline guards against refusing a request as not run whose
// connection opens at the very moment of the refusal, and which is then sent.
func TestRefusedRequestSentAtDeadline(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			route := nonIdempotent()
			route.LatencyObjective = 4 * time.Second
			w := newSimulation(1, 4, 160*time.Millisecond, route)
			stop := time.Now().Add(500 * time.Millisecond)
			r := New(VM{Name: "vm-0"}, testHeaders, WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
				time.Sleep(time.Until(stop))
				return w.dial(ctx, address)
			}))
			r.UpdateView(w.view)
			answers := make([]Answer, 8)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() {
					answers[i] = r.Serve(context.Background(), &driftexchange.Request{
						ID: fmt.Sprint(i), Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
					}, route.Prefix, time.Now(), 0)
				})
			}
			synctest.Wait()
			r.StopBy(stop)
			group.Wait()
			time.Sleep(time.Second)
			runs := w.runs()
			for i, a := range answers {
				if a.Status == http.StatusServiceUnavailable {
					assert.Zero(t, runs[fmt.Sprint(i)], "refused, and ran")
				}
			}
			closeAll(r)
		})
		if t.Failed() {
			return
		}
	}
}
