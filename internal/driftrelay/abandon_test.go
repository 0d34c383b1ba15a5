package driftrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// attemptAt starts an attempt of a query of its own at an upstream, and returns it
// with the channel of its result.
func attemptAt(r *Relay, e *upstreamState, id string) (*attempt, <-chan driftexchange.Result) {
	route := rush()
	q := &Query{
		Request: &driftexchange.Request{ID: id, Method: http.MethodGet, Target: route.Prefix, Host: route.Host},
		Table:   r.table, Route: &route, Arrived: time.Now(), Deadline: time.Now().Add(30 * time.Second),
	}
	results := make(chan driftexchange.Result, 1)
	r.mu.Lock()
	f, send := r.startAttempt(q, e, time.Second, false, func(_ *attempt, result driftexchange.Result) { results <- result })
	r.mu.Unlock()
	send()
	return f, results
}

// TestAbandonedAttemptCutOffNextRequest guards against an abandoned attempt that
// closes its connection after that went on to another request.
func TestAbandonedAttemptCutOffNextRequest(t *testing.T) {
	for _, callerLeft := range []bool{true, false} {
		t.Run(fmt.Sprintf("caller left: %v", callerLeft), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(1, 4, 2*time.Second, rush())
				r := w.relay()
				e := r.upstreams["shard-0-0"]
				late, lateResult := attemptAt(r, e, "late")
				require.IsType(t, driftexchange.Done{}, <-lateResult)
				next, nextResult := attemptAt(r, e, "next")
				synctest.Wait()
				require.Same(t, late.conn, next.conn)
				s := &scatter{relay: r, requests: []*shardRequest{{inFlight: []*attempt{late}}}}
				s.abandonAttempts(time.Now(), callerLeft)
				assert.IsType(t, driftexchange.Done{}, <-nextResult, "the request of another caller")
				closeAll(r)
			})
		})
	}
}

// TestAbandonedAttemptEnds checks that an attempt in flight ends once it is abandoned,
// at once if its caller has left.
func TestAbandonedAttemptEnds(t *testing.T) {
	for callerLeft, within := range map[bool]time.Duration{true: 0, false: abandonedTimeout} {
		t.Run(fmt.Sprintf("caller left: %v", callerLeft), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(1, 4, 2*time.Second, rush())
				r := w.relay()
				f, result := attemptAt(r, r.upstreams["shard-0-0"], "abandoned")
				time.Sleep(100 * time.Millisecond)
				s := &scatter{relay: r, requests: []*shardRequest{{inFlight: []*attempt{f}}}}
				abandoned := time.Now()
				s.abandonAttempts(abandoned, callerLeft)
				assert.IsType(t, driftexchange.Unknown{}, <-result)
				assert.Equal(t, within, time.Since(abandoned))
				closeAll(r)
			})
		})
	}
}

// TestRefusedAsNotRunWasSent guards against a request that is sent right after its
// caller was told that it did not run.
func TestRefusedAsNotRunWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 4, time.Millisecond, rush())
		connect := make(chan struct{})
		r := w.relay(WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
			<-connect
			return w.dial(ctx, address)
		}))
		f, result := attemptAt(r, r.upstreams["shard-0-0"], "late")
		route := rush()
		route.Target = driftroute.Single{Service: "shard-0"}
		s := newScatter(r, &Query{Request: &driftexchange.Request{ID: "late"}, Table: r.table, Route: &route, Arrived: time.Now(), Deadline: time.Now()})
		s.requests[0].inFlight = []*attempt{f}
		answer, ok := s.tryAnswerSingle(s.requests[0], true)
		assert.True(t, ok)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
		close(connect)
		assert.Equal(t, driftexchange.NotRun{Err: driftexchange.ErrAborted}, <-result)
		assert.Zero(t, w.upstreams["10.0.0.0:80"].arrived)
		closeAll(r)
	})
}
