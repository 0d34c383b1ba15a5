package driftrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// The published rule on upstreams that turn a VM away: from closedRuleGrace after the
// answer until the end of the time, maxClosedRequests may reach them.
const (
	closedRuleGrace   = 500 * time.Millisecond
	maxClosedRequests = 2
)

// assertClosuresKept checks the rule for each answer that turned a VM away.
func assertClosuresKept(t *testing.T, s *fakeUpstream) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, c := range s.closures {
		n := 0
		for _, q := range s.received {
			if q.caller == c.caller && q.at.After(c.from.Add(closedRuleGrace)) && q.at.Before(c.end) {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("%s: turned VMs away %d times, then got at most %d", s.name, len(s.closures), most)
	assert.LessOrEqual(t, most, maxClosedRequests)
}

// TestClosedUpstreamsWereAsked guards against sending requests to upstreams for which a
// VM has been told to wait: half of each service turns away for 1 to 20 s each time,
// and some leave in the same second, while VMs restart.
func TestClosedUpstreamsWereAsked(t *testing.T) {
	const (
		troubleFrom  = 3 * time.Second
		troubleUntil = 23 * time.Second
		day          = 30 * time.Second
	)
	for _, c := range []struct {
		name              string
		closing, leaving  int
		restarts, expires bool
	}{
		{name: "half", closing: 2},
		{name: "half, VMs restart", closing: 2, restarts: true},
		{name: "half, one leaves in the same second, VMs restart", closing: 2, leaving: 1, restarts: true},
		{name: "half, whose entries expire and are back", closing: 2, expires: true},
		{name: "all", closing: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Log("seed", testSeed)
				rng := rand.New(rand.NewPCG(testSeed, testSeed))
				f := newNewsFleet(8, 300*time.Millisecond, sweep())
				start := time.Now()
				var closing, leaving []*fakeUpstream
				empty := f.view
				empty.Upstreams = nil
				f.forEachUpstream(func(i int, s *fakeUpstream) {
					from := start.Add(troubleFrom + time.Duration(rng.Int64N(int64(time.Second))))
					if i%testDomains < c.closing {
						s.turnAwayFrom, s.turnAwayUntil = from, start.Add(troubleUntil)
						s.turnAwayFor = func() time.Duration { return time.Second + time.Duration(s.rng.Int64N(int64(19*time.Second))) }
						closing = append(closing, s)
					} else {
						empty.Upstreams = append(empty.Upstreams, f.view.Upstreams[i])
					}
					if i%testDomains < c.leaving {
						s.leavingFrom = from
						leaving = append(leaving, s)
					}
				})
				changes := map[time.Duration]func(){}
				if c.restarts {
					changes[6*time.Second] = func() { f.start(0); f.start(3) }
					changes[9*time.Second] = func() { f.start(5) }
				}
				if c.expires {
					changes[5*time.Second] = func() { f.publish(empty) }
					changes[9*time.Second] = f.tick
					changes[10*time.Second] = func() { f.publish(f.view) }
				}
				total := f.run(day, changes)
				t.Logf("%d of %d in time", f.served, total)
				for _, s := range closing {
					assertClosuresKept(t, s)
				}
				for _, s := range leaving {
					f.assertDrained(t, s)
				}
				if c.closing < testDomains {
					assert.GreaterOrEqual(t, float64(f.served), 0.97*float64(total), "the others serve the load")
				}
				f.close()
			})
		})
	}
}

// TestClosedServiceRefusedLate guards against holding requests that every upstream has
// turned away, and against telling their callers to return before one opens.
func TestClosedServiceRefusedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const closedFor = 10 * time.Second
		w := newSimulation(1, 4, 20*time.Millisecond, nonIdempotent())
		start := time.Now()
		w.forEachUpstream(func(_ int, s *fakeUpstream) {
			s.turnAwayFrom, s.turnAwayUntil = start, start.Add(time.Second)
			s.turnAwayFor = func() time.Duration { return closedFor }
		})
		r := w.relay()
		route := w.view.Table.Config.Routes[0]
		returns := make(map[time.Duration]bool)
		for i := range 40 {
			begin := time.Now()
			a := r.Serve(context.Background(), &driftexchange.Request{
				ID: fmt.Sprintf("q%d", i), Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
			}, route.Prefix, begin, 0)
			assert.Equal(t, http.StatusServiceUnavailable, a.Status)
			if i >= testDomains {
				assert.Zero(t, time.Since(begin), "refused at once")
				assert.GreaterOrEqual(t, time.Now().Add(a.RetryAfter).Sub(start), closedFor)
				returns[a.RetryAfter] = true
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Greater(t, len(returns), 20, "callers don't return together")
		w.forEachUpstream(func(_ int, s *fakeUpstream) { assertClosuresKept(t, s) })
		time.Sleep(closedFor)
		a := r.Serve(context.Background(), &driftexchange.Request{
			ID: "later", Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
		}, route.Prefix, time.Now(), 0)
		assert.Equal(t, http.StatusOK, a.Status)
		closeAll(r)
	})
}

// TestRetryAfterOfOneUpstream guards against passing on the time of one upstream to a
// caller that others can serve.
func TestRetryAfterOfOneUpstream(t *testing.T) {
	w := newSimulation(1, 4, time.Millisecond, receipt())
	r := w.relay()
	q := &Query{Request: &driftexchange.Request{ID: "q"}, Table: w.view.Table, Route: &w.view.Table.Config.Routes[0], Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
	s := newScatter(r, q)
	s.requests[0].exhausted = true
	reply := driftexchange.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{testHeaders.RetryAfter: {"20"}}, Body: []byte("b")}
	r.recordClosure(&attempt{upstream: r.services["shard-0"][0]}, driftexchange.Done{Reply: reply}, time.Now())
	a := s.passFailure(reply)
	assert.Equal(t, retrySoon, a.RetryAfter)
	assert.Equal(t, reply.Body, a.Body)
	for _, e := range r.services["shard-0"][1:] {
		r.recordClosure(&attempt{upstream: e}, driftexchange.Done{Reply: reply}, time.Now())
	}
	assert.Greater(t, s.passFailure(reply).RetryAfter, 19*time.Second)
}

func TestReturnDelay(t *testing.T) {
	assert.Zero(t, ReturnDelay(0, 3, 0.5), "no closure")
	assert.Equal(t, 2*time.Second, ReturnDelay(2*time.Second, 0, 0))
	assert.Less(t, ReturnDelay(time.Second, 0, 0.99), ReturnDelay(time.Second, 1, 0), "urgent callers first")
	assert.Equal(t, ReturnDelay(time.Second, maxReturnRank, 0), ReturnDelay(time.Second, 1000, 0), "bounded")
}

// TestClosure checks which replies close an upstream, and for how long.
func TestClosure(t *testing.T) {
	refusal := func(status int, value string) driftexchange.Result {
		return driftexchange.NotRun{Refused: true, Status: status, Header: http.Header{testHeaders.RetryAfter: {value}}, Err: driftexchange.ErrRefused}
	}
	for _, c := range []struct {
		name     string
		service  string
		result   driftexchange.Result
		closed   time.Duration
		trialled bool
	}{
		{"refusal", "s", refusal(503, "1.25"), 1250 * time.Millisecond, false},
		{"failure", "s", driftexchange.Done{Reply: driftexchange.Reply{Status: 503, Header: http.Header{testHeaders.RetryAfter: {"3"}}}}, 3 * time.Second, false},
		{"huge", "s", refusal(503, "1e300"), maxClosure, true},
		{"malformed", "s", refusal(503, "soon"), 0, false},
		{"another status", "s", refusal(429, "3"), 0, false},
		{"an answer of another VM", forwardService, refusal(503, "3"), 0, false},
		{"an answer at an address that was reused", "s", driftexchange.NotRun{
			Misdirected: true, Status: 503, Header: http.Header{testHeaders.RetryAfter: {"3"}}, Err: driftexchange.ErrRefused,
		}, 0, false},
		{"no answer", "s", driftexchange.Unknown{Err: driftexchange.ErrClosed}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(VM{Name: "vm"}, testHeaders)
			now := time.Now()
			e := newUpstreamState(Upstream{ID: "u", Service: c.service}, now)
			r.recordClosure(&attempt{upstream: e}, c.result, now)
			assert.Equal(t, c.closed == 0, e.closed.allows(now, 0))
			assert.Equal(t, c.closed == 0, e.closed.allows(now.Add(c.closed-1), 0))
			assert.True(t, e.closed.allows(now.Add(c.closed), 0))
			assert.Equal(t, !c.trialled, e.closed.allows(now.Add(c.closed), 1), "one at a time")
			if c.closed > 0 {
				r.recordClosure(&attempt{upstream: e}, refusal(503, "0.1"), now)
				assert.False(t, e.closed.allows(now.Add(c.closed-1), 0), "a shorter time ends none")
			}
			r.recordClosure(&attempt{upstream: e}, driftexchange.Done{Reply: driftexchange.Reply{Status: 200, Header: http.Header{}}}, now.Add(c.closed))
			assert.True(t, e.closed.allows(now.Add(c.closed), 1), "the trial has succeeded")
		})
	}
}

// TestQueuedForClosedUpstream guards against sending a request that waits for its
// connection to an upstream that has closed meanwhile.
func TestQueuedForClosedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTime = 20 * time.Millisecond
		w := newSimulation(1, 4, time.Millisecond, nonIdempotent())
		w.view.Upstreams = w.view.Upstreams[:1]
		r := w.relay(WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(dialTime)
			return w.dial(ctx, address)
		}))
		e := r.services["shard-0"][0]
		time.AfterFunc(dialTime/2, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			e.closed.until = time.Now().Add(time.Minute)
		})
		route := w.view.Table.Config.Routes[0]
		a := r.Serve(t.Context(), &driftexchange.Request{
			ID: "q", Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
		}, route.Prefix, time.Now(), 0)
		assert.Equal(t, http.StatusServiceUnavailable, a.Status)
		assert.Greater(t, a.RetryAfter, 59*time.Second)
		assert.Empty(t, w.upstreams[w.view.Upstreams[0].Address].received)
		closeAll(r)
	})
}

// TestClosureOutlivedItsIncarnation guards against keeping an upstream that has
// restarted closed, and against sending it a burst: the reply that closed it may have
// been one of the new incarnation.
func TestClosureOutlivedItsIncarnation(t *testing.T) {
	now := time.Now()
	u := Upstream{ID: "u", Service: "s", Incarnation: 1}
	e := newUpstreamState(u, now)
	e.closed.until = now.Add(20 * time.Second)
	e.applyPublished(u, now)
	assert.False(t, e.closed.allows(now, 0))
	u.Incarnation = 2
	e.applyPublished(u, now)
	assert.True(t, e.closed.allows(now, 0))
	assert.False(t, e.closed.allows(now, 1), "one at a time")
}

// TestClosedShardWastedTheOthers guards against sending a query to shards whose parts
// can't be used, as it is known that too many others are closed.
func TestClosedShardWastedTheOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		closed int
		sent   bool
	}{
		{"as many as the answer may lack", 2, true},
		{"more than the answer may lack", 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(10, 4, time.Millisecond, rush())
				r := w.relay()
				route := w.view.Table.Config.Routes[0]
				serve := func() Answer {
					return r.Serve(t.Context(), &driftexchange.Request{
						ID: "q", Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
					}, route.Prefix, time.Now(), 0)
				}
				count := func() (received int) {
					w.forEachUpstream(func(_ int, s *fakeUpstream) {
						s.mu.Lock()
						defer s.mu.Unlock()
						received += len(s.received)
					})
					return received
				}
				assert.Equal(t, http.StatusOK, serve().Status, "opens connections")
				time.Sleep(time.Second)
				before := count()
				for i := range c.closed {
					for _, e := range r.services[fmt.Sprintf("shard-%d", i)] {
						e.closed.until = time.Now().Add(10 * time.Second)
					}
				}
				a := serve()
				closeAll(r)
				assert.Equal(t, c.sent, a.Status == http.StatusOK)
				assert.Equal(t, c.sent, count() > before)
				if !c.sent {
					assert.GreaterOrEqual(t, a.RetryAfter, 10*time.Second)
				}
			})
		})
	}
}
