package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

func TestFitsBeforeStop(t *testing.T) {
	for _, c := range []struct {
		name                          string
		left, untilDeadline, expected time.Duration
		want                          bool
	}{
		{"the caller gives up first", time.Second, 900 * time.Millisecond, 0, true},
		{"nothing is known of the class", time.Second, 4 * time.Second, 0, false},
		{"the class is short", time.Second, 4 * time.Second, time.Second, true},
		{"the class is long", time.Second, 4 * time.Second, time.Second + 1, false},
		{"no time is left", 0, time.Second, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, FitsBeforeStop(c.left, c.untilDeadline, c.expected))
		})
	}
}

func TestRecentTimes(t *testing.T) {
	start := time.Now()
	t.Run("nothing is known", func(t *testing.T) {
		assert.Zero(t, newRecentTimes().expected(start))
	})
	t.Run("one may take longer than the longest of a few", func(t *testing.T) {
		m := newRecentTimes()
		m.add(start, 20*time.Millisecond)
		m.add(start.Add(time.Second), 10*time.Millisecond)
		assert.Equal(t, 30*time.Millisecond, m.expected(start.Add(timesSpan-1)))
	})
	t.Run("all but one in a hundred of many took no longer", func(t *testing.T) {
		m := newRecentTimes()
		for i := range 1000 {
			m.add(start, time.Duration(i+1)*time.Millisecond)
		}
		assert.GreaterOrEqual(t, m.expected(start), 990*time.Millisecond)
		assert.LessOrEqual(t, m.expected(start), 1100*time.Millisecond)
	})
	t.Run("old times are forgotten", func(t *testing.T) {
		m := newRecentTimes()
		m.add(start, 20*time.Millisecond)
		m.add(start.Add(timesSpan), 10*time.Millisecond)
		assert.Equal(t, 30*time.Millisecond, m.expected(start.Add(timesSpan)))
		m.add(start.Add(2*timesSpan), 4*time.Millisecond)
		assert.Equal(t, 15*time.Millisecond, m.expected(start.Add(2*timesSpan)))
		assert.Zero(t, m.expected(start.Add(4*timesSpan)))
	})
	t.Run("a time beyond the range counts", func(t *testing.T) {
		m := newRecentTimes()
		m.add(start, 2*maxRecentTime)
		assert.GreaterOrEqual(t, m.expected(start), maxRecentTime)
	})
}

// receipt is a class of 160 ms of work at one upstream, which callers wait 4 s for.
func receipt() driftroute.Route {
	route := nonIdempotent()
	route.Name, route.Prefix, route.Idempotent = "receipt", "/receipt/", true
	return route
}

// servingVMs are VMs that serve while another one stops.
var servingVMs = []VM{
	{Name: "vm-1", Domain: "domain-1", Entry: true, Address: "10.0.9.1:1"},
	{Name: "vm-2", Domain: "domain-2", Entry: true, Address: "10.0.9.2:1"},
}

// stopQuery is one query of a test of a planned stop.
type stopQuery struct {
	id          string
	answer      Answer
	sent, ended time.Duration
}

// runStop sends queries at a steady rate for a second before a planned stop and
// until it is over, and returns them with times since the stop began.
func runStop(r *Relay, route driftroute.Route, lead, grace, every time.Duration) (queries []stopQuery) {
	var mu sync.Mutex
	var group sync.WaitGroup
	begins := time.Now().Add(lead)
	for i := range int((lead + grace) / every) {
		if i == int(lead/every) {
			r.StopBy(begins.Add(grace))
		}
		group.Go(func() {
			sent := time.Now()
			q := stopQuery{id: fmt.Sprintf("q%d", i), sent: sent.Sub(begins)}
			q.answer = r.Serve(context.Background(), &driftexchange.Request{
				ID: q.id, Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
			}, route.Prefix, sent, 0)
			q.ended = time.Since(begins)
			mu.Lock()
			defer mu.Unlock()
			queries = append(queries, q)
		})
		time.Sleep(every)
	}
	group.Wait()
	return queries
}

// runs returns how often each request ran.
func (w *simulation) runs() map[string]int {
	runs := make(map[string]int)
	w.forEachUpstream(func(_ int, s *fakeUpstream) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, n := range s.runs {
			runs[id] += n
		}
	})
	return runs
}

// TestStop stops a VM under load. All queries are answered in time, and what was
// refused has not run.
func TestStop(t *testing.T) {
	const grace = 5 * time.Second
	for _, c := range []struct {
		name  string
		route driftroute.Route
		work  time.Duration
		conns int
		every time.Duration
	}{
		{"short requests", receipt(), 160 * time.Millisecond, testConns, 40 * time.Millisecond},
		{"long requests", receipt(), 1900 * time.Millisecond, testConns, 200 * time.Millisecond},
		{"long requests that run once", nonIdempotent(), 1900 * time.Millisecond, testConns, 200 * time.Millisecond},
		{"requests that wait for connections", receipt(), 400 * time.Millisecond, 9, 20 * time.Millisecond},
		{"shards", rush(), rushServiceTime, testConns, 40 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(10, 4, c.work, c.route)
				for i := range w.view.Table.Config.Services {
					w.view.Table.Config.Services[i].MaxConns = c.conns
				}
				w.view.Table = driftroute.NewTable(w.view.Table.Config)
				events := driftevent.NewLog("vm-0", 1)
				checker := driftcheck.NewChecker(events)
				r := w.relay(WithChecks(events, checker))
				r.SetVMs(true, servingVMs)
				queries := runStop(r, c.route, 5*time.Second, grace, c.every)
				runs, served, refused := w.runs(), 0, 0
				for _, q := range queries {
					assert.LessOrEqual(t, q.ended, grace, "%s, sent at %v: %s", q.id, q.sent, q.answer.Cause)
					switch q.answer.Status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
						assert.Zero(t, runs[q.id], "%s, sent at %v: %s", q.id, q.sent, q.answer.Cause)
						assert.Positive(t, q.answer.RetryAfter)
					}
				}
				t.Logf("%d queries, %d served, %d refused", len(queries), served, refused)
				assert.NotZero(t, served)
				assert.Equal(t, InFlight{}, r.InFlight())
				assert.Zero(t, checker.Total())
				closeAll(r)
			})
		})
	}
}

// TestStopAlone stops a VM while no other one serves, as the others stop too: it goes on to serve what may be repeated, and
// answers what has not ended.
func TestStopAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 5 * time.Second
		w := newSimulation(1, 8, 1900*time.Millisecond, receipt())
		r := w.relay()
		r.SetVMs(true, []VM{{Name: "vm-1", Domain: "domain-1", Entry: true}})
		for _, q := range runStop(r, receipt(), 5*time.Second, grace, 200*time.Millisecond) {
			assert.LessOrEqual(t, q.ended, grace)
			if q.sent < time.Second {
				assert.Equal(t, http.StatusOK, q.answer.Status, "%s, sent at %v", q.id, q.sent)
			}
			assert.NotEqual(t, http.StatusServiceUnavailable, q.answer.Status, "%s, sent at %v", q.id, q.sent)
		}
		closeAll(r)
	})
}

// TestStopRefusedClassAfterTimeout guards against refusing all requests of a short
// class, from the start of a stop, since one upstream has not answered.
func TestStopRefusedClassAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := receipt()
		w := newSimulation(1, 8, 160*time.Millisecond, route)
		r := w.relay()
		r.SetVMs(true, servingVMs)
		now := time.Now()
		served := &Query{Route: &route, Arrived: now.Add(-400 * time.Millisecond)}
		silent := &Query{Route: &route, Arrived: now.Add(-route.Timeout)}
		r.recordTime(served, CauseServed, now)
		r.recordTime(silent, CauseTimeout, now)
		r.StopBy(now.Add(time.Second))
		assert.True(t, r.fitsBeforeStop(&route, now.Add(route.Timeout), now))
		once := nonIdempotent()
		r.recordTime(&Query{Route: &once, Arrived: now.Add(-once.Timeout)}, CauseTimeout, now)
		assert.False(t, r.fitsBeforeStop(&once, now.Add(once.Timeout), now), "its requests may run once only")
		r.SetVMs(true, nil)
		assert.False(t, r.fitsBeforeStop(&once, now.Add(once.Timeout), now), "its requests may take as long as that one")
		closeAll(r)
	})
}

// TestStopTookRefusalsForShortRequests guards against taking requests that may run once
// late in a stop since earlier ones of their class were refused within milliseconds.
func TestStopTookRefusalsForShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		once := nonIdempotent()
		w := newSimulation(1, 8, 1900*time.Millisecond, once)
		r := w.relay()
		now := time.Now()
		for _, cause := range []Cause{CauseRefused, CauseNoUpstream, CauseUnknown, CauseCallerLeft} {
			r.recordTime(&Query{Route: &once, Arrived: now.Add(-time.Millisecond)}, cause, now)
		}
		r.StopBy(now.Add(time.Second))
		assert.False(t, r.fitsBeforeStop(&once, now.Add(once.Timeout), now))
		closeAll(r)
	})
}

// TestStopGaveUpRequestsThatRunOnce guards against taking requests that may run once late
// in a stop, as their class was short until then, and leaving their outcome unknown.
func TestStopGaveUpRequestsThatRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 6 * time.Second
		w := newSimulation(1, 8, 40*time.Millisecond, nonIdempotent())
		r := w.relay()
		r.SetVMs(true, servingVMs)
		time.AfterFunc(8*time.Second, func() {
			w.forEachUpstream(func(_ int, u *fakeUpstream) {
				u.mu.Lock()
				defer u.mu.Unlock()
				u.serviceTime = 1900 * time.Millisecond
			})
		})
		refused := 0
		for _, q := range runStop(r, nonIdempotent(), 5*time.Second, grace, 100*time.Millisecond) {
			switch q.answer.Status {
			case http.StatusOK:
			case http.StatusServiceUnavailable:
				refused++
				assert.Zero(t, w.runs()[q.id])
			default:
				assert.Fail(t, "given up", "%s, sent at %v: %d, %s", q.id, q.sent, q.answer.Status, q.answer.Cause)
			}
		}
		assert.NotZero(t, refused)
		closeAll(r)
	})
}

// TestStopHeldUpRequests guards against holding a request that waits for a
// connection until the VM ends, when it can no longer be served there.
func TestStopHeldUpRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 4, 160*time.Millisecond, receipt())
		w.view.Table.Config.Services[0].MaxConns = 0
		w.view.Table = driftroute.NewTable(w.view.Table.Config)
		r := w.relay()
		r.SetVMs(true, servingVMs)
		const grace = 5 * time.Second
		// Nothing is known of the class, which is then expected to meet its objective.
		lastStart := grace - time.Duration(fewTimesFactor*float64(receipt().LatencyObjective))
		for _, q := range runStop(r, receipt(), 200*time.Millisecond, grace, 100*time.Millisecond) {
			assert.Equal(t, http.StatusServiceUnavailable, q.answer.Status)
			if q.sent+receipt().Timeout <= grace {
				continue // its caller's deadline passes before the VM stops
			}
			held := max(0, lastStart-q.sent)
			assert.LessOrEqual(t, q.ended-q.sent, held+placementInterval, "%s, sent at %v", q.id, q.sent)
		}
		closeAll(r)
	})
}
