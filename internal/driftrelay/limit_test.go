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

// Times and bounds of the published rule on rate limits.
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
	// joinAt is when joining new entry VMs are added, of which the others hear only
	// after announceDelay. At leaveAt as many are gone, of which they hear as late.
	joinAt, leaveAt time.Duration
	joining         int
}

// announceDelay is how long it takes until all VMs know of a change of the fleet:
// the time to declare a VM dead, and some rounds of gossip.
const announceDelay = 2 * time.Second

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
			s.rateLimit, s.limitFrom, s.limitUntil = c.perSecond, start.Add(limitedFrom), start.Add(limitedUntil)
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
	r.SetVMs(true, f.others(i))
	r.UpdateView(f.view)
	return r
}

// others returns the VMs beside one.
func (f *limitedFleet) others(i int) (others []VM) {
	for j := range f.vms {
		if vm := vmInDomain(j); j != i {
			vm.Entry = j < f.entries
			others = append(others, vm)
		}
	}
	return others
}

// announce tells all VMs which others there are.
func (f *limitedFleet) announce() {
	for i, r := range f.relays {
		r.SetVMs(true, f.others(i))
	}
}

// change applies the changes of the fleet that are due, and returns the VMs that
// have ended.
func (f *limitedFleet) change(c limitCase, since time.Duration) (ended []*Relay) {
	due := func(at time.Duration) bool { return at > 0 && since >= at && since < at+queryGap }
	switch {
	case due(c.restartAt):
		ended = append(ended, f.relays[0])
		f.relays[0] = f.newRelay(0)
	case due(c.joinAt):
		f.vms, f.entries = f.vms+c.joining, f.entries+c.joining
		for i := len(f.relays); i < f.entries; i++ {
			f.relays = append(f.relays, f.newRelay(i))
		}
	case due(c.leaveAt):
		f.vms, f.entries = f.vms-c.joining, f.entries-c.joining
		ended = append(ended, f.relays[f.entries:]...)
		f.relays = f.relays[:f.entries]
	case due(c.joinAt + announceDelay), due(c.leaveAt + announceDelay):
		f.announce()
	}
	return ended
}

// run plays the day: queries arrive at the entry VMs in turn. It returns how
// many were answered in time.
func (f *limitedFleet) run(c limitCase) (inTime, total int) {
	start := time.Now()
	var ended []*Relay
	results := make(chan bool, int(limitedDay/queryGap)+1)
	for time.Since(start) < limitedDay {
		ended = append(ended, f.change(c, time.Since(start))...)
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
	for _, r := range append(ended, f.relays...) {
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
	allowed := int(limitFactor*s.rateLimit*limitRuleSpan.Seconds() + limitSlack)
	most := 0
	for _, from := range s.arrivals {
		if from.Before(s.limitFrom.Add(limitLearnTime)) || from.Add(limitRuleSpan).After(s.limitUntil) {
			continue
		}
		most = max(most, s.arrivalsWithin(from, limitRuleSpan))
	}
	t.Logf("%s: limit %.1f a second, at most %d in 4 s, %d allowed", s.name, s.rateLimit, most, allowed)
	assert.LessOrEqual(t, most, allowed)
}

// TestRateLimitWasPassed guards against sending an upstream more requests than
// the limit that it names.
func TestRateLimitWasPassed(t *testing.T) {
	for _, c := range []limitCase{
		{name: "two of three", vms: 8, entries: 8, limited: 2, perSecond: 31.1},
		{name: "two of three, a VM restarts", vms: 8, entries: 8, limited: 2, perSecond: 35.2, restartAt: 13 * time.Second},
		{name: "all, far below the load", vms: 8, entries: 8, limited: 3, perSecond: 8.6},
		{name: "all, below one request a VM", vms: 8, entries: 8, limited: 3, perSecond: 1.2},
		{name: "two of three, few entry VMs", vms: 79, entries: 9, limited: 2, perSecond: 16.5},
		{name: "all, many entry VMs", vms: 60, entries: 60, limited: 3, perSecond: 3.3},
		{
			name: "all, VMs join and leave", vms: 8, entries: 8, limited: 3, perSecond: 8.6,
			joinAt: 11 * time.Second, leaveAt: 18 * time.Second, joining: 3,
		},
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
			s.rateLimit, s.limitUntil = 8, time.Now().Add(time.Hour)
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

// TestLimitOfAnUpstreamAtAReusedAddress guards against applying the limit of an upstream
// to the one that had its address before.
func TestLimitOfAnUpstreamAtAReusedAddress(t *testing.T) {
	w := newSimulation(1, 1, time.Millisecond, rush())
	r := w.relay()
	e := r.services["shard-0"][0]
	q := &Query{Request: &driftexchange.Request{ID: "q"}, Table: w.view.Table, Route: &w.view.Table.Config.Routes[0], Deadline: time.Now().Add(time.Second)}
	for _, misdirected := range []bool{true, false} {
		result := driftexchange.NotRun{
			Misdirected: misdirected, Refused: true, Header: http.Header{testHeaders.RateLimit: {"9.5"}}, Err: driftexchange.ErrRefused,
		}
		r.finishAttempt(&attempt{upstream: e, started: time.Now()}, q, result, func(*attempt, driftexchange.Result) {})
		assert.Equal(t, !misdirected, e.rateLimit.named)
	}
}
