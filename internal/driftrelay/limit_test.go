package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Times and bounds of the published rule on named limits.
const (
	limitLearnTime = 4 * time.Second
	limitRuleSpan  = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
)

// limitedFleet is a fleet of VMs in front of three shards, of which some
// upstreams of the first name a rate limit for a while.
type limitedFleet struct {
	*simulation
	route   driftroute.Route
	relays  []*Relay
	vms     int
	entries int
	limited []*fakeUpstream
}

// limitCase is one way in which upstreams of a shard name limits.
type limitCase struct {
	name         string
	vms, entries int
	// limited is how many of the three upstreams name the limit.
	limited   int
	perSecond float64
	// restartAt is when one VM is replaced, 0 if none is.
	restartAt time.Duration
}

const (
	limitedFrom  = 6 * time.Second
	limitedUntil = 25 * time.Second
	limitedDay   = 32 * time.Second
	// queryGap gives 180 queries a second, as on the published sites.
	queryGap = time.Second / 180
)

func newLimitedFleet(c limitCase) *limitedFleet {
	route := sweep()
	route.Target = driftroute.Gather{TopK: 10, CoverageFloor: 0.6, Shards: make([]string, 3)}
	f := &limitedFleet{simulation: newSimulation(3, 4, 20*time.Millisecond, route), route: route, vms: c.vms, entries: c.entries}
	start := time.Now()
	f.forEachUpstream(func(i int, s *fakeUpstream) {
		if i < c.limited {
			s.namedLimit, s.limitFrom, s.limitUntil = c.perSecond, start.Add(limitedFrom), start.Add(limitedUntil)
			f.limited = append(f.limited, s)
		}
	})
	for i := range c.entries {
		f.relays = append(f.relays, f.newRelay(i))
	}
	return f
}

func vmInDomain(i int) VM {
	return VM{Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%testDomains)}
}

func (f *limitedFleet) newRelay(i int) *Relay {
	r := New(vmInDomain(i), testHeaders, WithDialer(f.dial))
	var others []VM
	for j := range f.vms {
		if vm := vmInDomain(j); j != i {
			vm.Entry = j < f.entries
			others = append(others, vm)
		}
	}
	r.SetVMs(true, others)
	r.UpdateView(f.view)
	return r
}

// run plays the day: queries arrive at the entry VMs in turn. It returns how
// many were answered in time.
func (f *limitedFleet) run(c limitCase) (inTime, total int) {
	start := time.Now()
	var replaced *Relay
	results := make(chan bool, int(limitedDay/queryGap)+1)
	for time.Since(start) < limitedDay {
		if c.restartAt > 0 && replaced == nil && time.Since(start) >= c.restartAt {
			replaced = f.relays[0]
			f.relays[0] = f.newRelay(0)
		}
		id := fmt.Sprintf("q%d", total)
		relay := f.relays[total%len(f.relays)]
		total++
		go func() {
			begin := time.Now()
			a := relay.Serve(context.Background(), &driftexchange.Request{
				ID: id, Method: http.MethodGet, Target: f.route.Prefix, Host: f.route.Host,
			}, f.route.Prefix, begin, 0)
			results <- a.Status == http.StatusOK && time.Since(begin) <= f.route.LatencyObjective
		}()
		time.Sleep(queryGap)
	}
	for range total {
		if <-results {
			inTime++
		}
	}
	if replaced != nil {
		closeAll(replaced)
	}
	for _, r := range f.relays {
		closeAll(r)
	}
	return inTime, total
}

// arrivalsWithin returns how many requests arrived in the span from a time on.
func (s *fakeUpstream) arrivalsWithin(from time.Time, span time.Duration) int {
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// assertLimitKept checks that the upstream got no more than the published rule
// allows in any span, from limitLearnTime after it had named its limit.
func assertLimitKept(t *testing.T, s *fakeUpstream) {
	t.Helper()
	allowed := int(limitFactor*s.namedLimit*limitRuleSpan.Seconds() + limitSlack)
	most := 0
	for _, from := range s.arrivals {
		if from.Before(s.limitFrom.Add(limitLearnTime)) || from.Add(limitRuleSpan).After(s.limitUntil) {
			continue
		}
		most = max(most, s.arrivalsWithin(from, limitRuleSpan))
	}
	t.Logf("%s: limit %.1f a second, at most %d in 4 s, %d allowed", s.name, s.namedLimit, most, allowed)
	assert.LessOrEqual(t, most, allowed)
}

// TestNamedLimitWasPassed guards against sending an upstream more requests than
// the limit that it names (found in simulated days of all deployments).
func TestNamedLimitWasPassed(t *testing.T) {
	for _, c := range []limitCase{
		{"two of three", 8, 8, 2, 31.1, 0},
		{"two of three, a VM restarts", 8, 8, 2, 35.2, 13 * time.Second},
		{"all, far below the load", 8, 8, 3, 8.6, 0},
		{"all, below one request a VM", 8, 8, 3, 1.2, 0},
		{"two of three, few entry VMs", 79, 9, 2, 16.5, 0},
		{"all, many entry VMs", 60, 60, 3, 3.3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(c)
				inTime, total := f.run(c)
				t.Logf("%d of %d in time", inTime, total)
				for _, s := range f.limited {
					assertLimitKept(t, s)
				}
			})
		})
	}
}

// TestLimitLiftedByFailure guards against lifting a limit by failures, which may not
// name it, and so counting its requests anew.
func TestLimitLiftedByFailure(t *testing.T) {
	w := newSimulation(1, 1, time.Millisecond, rush())
	r := w.relay()
	e := r.services["shard-0"][0]
	q := &Query{Request: &driftexchange.Request{ID: "q"}, Table: w.view.Table, Route: &w.view.Table.Config.Routes[0], Deadline: time.Now().Add(time.Second)}
	finish := func(status int, header http.Header) {
		f := &attempt{upstream: e, started: time.Now()}
		r.finishAttempt(f, q, driftexchange.Done{Reply: driftexchange.Reply{Status: status, Header: header}}, func(*attempt, driftexchange.Result) {})
	}
	finish(http.StatusOK, http.Header{testHeaders.RateLimit: {"9.5"}})
	assert.True(t, e.rateLimit.named)
	finish(http.StatusInternalServerError, http.Header{})
	assert.True(t, e.rateLimit.named)
	finish(http.StatusOK, http.Header{})
	assert.False(t, e.rateLimit.named)
}

// TestLimitedServiceRefusedLate guards against holding requests that the rate
// limits of all upstreams leave no room for until their deadline.
func TestLimitedServiceRefusedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := nonIdempotent()
		w := newSimulation(1, 4, 50*time.Millisecond, route)
		w.forEachUpstream(func(_ int, s *fakeUpstream) {
			s.namedLimit, s.limitUntil = 8, time.Now().Add(time.Hour)
		})
		r := w.relay()
		served := 0
		for i := range 400 {
			start := time.Now()
			a := r.Serve(context.Background(), &driftexchange.Request{
				ID: fmt.Sprintf("q%d", i), Method: http.MethodPost, Target: route.Prefix, Host: route.Host,
			}, route.Prefix, start, 0)
			if a.Status == http.StatusOK {
				served++
				continue
			}
			assert.Equal(t, http.StatusServiceUnavailable, a.Status)
			assert.LessOrEqual(t, time.Since(start), route.LatencyObjective/4)
			assert.GreaterOrEqual(t, a.RetryAfter, retrySoon)
		}
		t.Logf("%d of 400 served", served)
		assert.Positive(t, served)
		closeAll(r)
	})
}

func TestRateLimitAllows(t *testing.T) {
	assert.True(t, RateLimitAllows(8, 7, 1))
	assert.False(t, RateLimitAllows(8, 8, 0), "the part of the span is used")
	assert.False(t, RateLimitAllows(8, 2, 2), "the part of the second is used")
	assert.True(t, RateLimitAllows(1, 0, 0))
	assert.False(t, RateLimitAllows(0, 0, 0))
}

// TestLimitOfAnotherVM guards against applying the limit in an answer that another
// VM has passed on to that VM.
func TestLimitOfAnotherVM(t *testing.T) {
	r := New(VM{Name: "vm"}, testHeaders)
	header := http.Header{testHeaders.RateLimit: {"1"}}
	for service, named := range map[string]bool{forwardService: false, "shard-0": true} {
		e := newUpstreamState(Upstream{ID: "u", Service: service}, time.Now())
		r.recordRateLimit(&attempt{upstream: e}, header, time.Now())
		assert.Equal(t, named, e.rateLimit.named, service)
	}
}

// TestLimitLiftedByLateReply guards against lifting a limit by a reply that the
// upstream gave before it named the limit.
func TestLimitLiftedByLateReply(t *testing.T) {
	r := New(VM{Name: "vm"}, testHeaders)
	e := newUpstreamState(Upstream{ID: "u", Service: "shard-0"}, time.Now())
	start := time.Now()
	r.recordRateLimit(&attempt{upstream: e, started: start}, http.Header{testHeaders.RateLimit: {"9.5"}}, start.Add(time.Second))
	r.recordNoRateLimit(&attempt{upstream: e, started: start}, http.Header{}, start.Add(2*time.Second))
	assert.True(t, e.rateLimit.named)
	r.recordNoRateLimit(&attempt{upstream: e, started: start.Add(2 * time.Second)}, http.Header{}, start.Add(3*time.Second))
	assert.False(t, e.rateLimit.named)
}
