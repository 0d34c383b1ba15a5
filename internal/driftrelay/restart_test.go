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

// Published figures of a service whose upstreams bear little while cold, and the
// published rule: no more than restartRate x coldFactor + coldSlack in any second.
const (
	restartRate = 10
	restartCold = 3 * time.Second
	coldFactor  = 1.5
	coldSlack   = 5
)

// restartFleet is a fleet of VMs in front of one service, whose view of the
// upstreams never changes.
type restartFleet struct {
	*simulation
	route  driftroute.Route
	relays []*Relay
}

func newRestartFleet(vms int) *restartFleet {
	route := driftroute.Route{
		Name: "fetch", Host: "h", Prefix: "/fetch/", Idempotent: true, MaxAttempts: 2,
		Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond, Target: driftroute.Single{},
	}
	f := &restartFleet{simulation: newSimulation(1, 4, 20*time.Millisecond, route)}
	config := f.view.Table.Config
	config.Services[0].ColdRate, config.Services[0].ColdPeriod, config.Services[0].HealthPath = restartRate, restartCold, healthTarget
	f.view.Table = driftroute.NewTable(config)
	f.route = config.Routes[0]
	for i := range vms {
		r := New(vmInDomain(i), testHeaders, WithDialer(f.dial))
		var others []VM
		for j := range vms {
			if j != i {
				vm := vmInDomain(j)
				vm.Entry = true
				others = append(others, vm)
			}
		}
		r.SetVMs(true, others)
		r.UpdateView(f.view)
		f.relays = append(f.relays, r)
	}
	return f
}

// run sends the VMs 150 requests a second in turn, as many as the published site
// has of a class, calls step before each, and returns the times at which those
// answered in time began.
func (f *restartFleet) run(span time.Duration, step func(since time.Duration)) (inTime []time.Time, total int) {
	start := time.Now()
	results := make(chan time.Time, 150*int(span/time.Second)+150)
	for ; time.Since(start) < span; total++ {
		step(time.Since(start))
		relay, id := f.relays[total%len(f.relays)], fmt.Sprintf("q%d", total)
		go func() {
			begin := time.Now()
			a := relay.Serve(context.Background(), &driftexchange.Request{
				ID: id, Method: http.MethodGet, Target: f.route.Prefix, Host: f.route.Host,
			}, f.route.Prefix, begin, 800*time.Millisecond)
			if a.Status != http.StatusOK || time.Since(begin) > f.route.LatencyObjective {
				begin = time.Time{}
			}
			results <- begin
		}()
		time.Sleep(time.Second / 150)
	}
	for range total {
		if begin := <-results; !begin.IsZero() {
			inTime = append(inTime, begin)
		}
	}
	for _, r := range f.relays {
		closeAll(r)
	}
	return inTime, total
}

// assertColdBound checks that the upstream got no more in any second while it was
// cold than the published rule allows.
func assertColdBound(t *testing.T, s *fakeUpstream) {
	t.Helper()
	most := 0
	for _, from := range s.arrivals {
		if from.Before(s.startedAt) || !from.Before(s.coldUntil) {
			continue
		}
		most = max(most, s.arrivalsWithin(from, min(time.Second, s.coldUntil.Sub(from))))
	}
	t.Logf("%s: at most %d requests in one second while cold, %d health requests", s.name, most, s.probes)
	assert.LessOrEqual(t, float64(most), restartRate*coldFactor+coldSlack, s.name)
}

// TestColdRestartTakenForWarm guards against sending an upstream that restarted
// while the published state was stale the load of a warm one.
func TestColdRestartTakenForWarm(t *testing.T) {
	const crashAt, restartAt = 5 * time.Second, 6500 * time.Millisecond
	for _, c := range []struct {
		name     string
		vms      int
		restarts int
		downFor  time.Duration
		health   string
	}{
		{"all", 3, 3, 1500 * time.Millisecond, healthTarget},
		{"one of three", 3, 1, 1500 * time.Millisecond, healthTarget},
		{"all, at once", 3, 3, 0, healthTarget},
		{"all, more VMs than the rate", 24, 3, 1500 * time.Millisecond, healthTarget},
		{"all, no health requests", 3, 3, 1500 * time.Millisecond, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFleet(c.vms)
				f.view.Table.Config.Services[0].HealthPath = c.health
				f.view.Table = driftroute.NewTable(f.view.Table.Config)
				for _, r := range f.relays {
					r.UpdateView(f.view)
				}
				var crashed, restarted bool
				restarting := func(act func(s *fakeUpstream)) {
					f.forEachUpstream(func(i int, s *fakeUpstream) {
						if i < c.restarts {
							act(s)
						}
					})
				}
				inTime, total := f.run(15*time.Second, func(since time.Duration) {
					if since >= crashAt && !crashed {
						crashed = true
						restarting((*fakeUpstream).crash)
					}
					if since >= crashAt+c.downFor && !restarted {
						restarted = true
						restarting(func(s *fakeUpstream) { s.restart(restartCold) })
					}
				})
				t.Logf("%d of %d in time", len(inTime), total)
				restarting(func(s *fakeUpstream) { assertColdBound(t, s) })
			})
		})
	}
}

// TestBrokenConnectionsChokedService guards against treating warm upstreams as cold
// for long after a VM has lost all its connections.
func TestBrokenConnectionsChokedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFleet(3)
		broken := false
		start := time.Now()
		inTime, total := f.run(10*time.Second, func(since time.Duration) {
			if since >= 5*time.Second && !broken {
				broken = true
				f.forEachUpstream(func(_ int, s *fakeUpstream) { s.closeConns() })
			}
		})
		served := 0
		for _, at := range inTime {
			if since := at.Sub(start); since >= 5*time.Second && since < 6*time.Second {
				served++
			}
		}
		t.Logf("%d of %d in time, %d of 150 in the second after", len(inTime), total, served)
		assert.GreaterOrEqual(t, served, 145)
	})
}

// TestRestartKeptColdPeriod guards against missing a restart whose entry names the
// same cold period as the entry before.
func TestRestartKeptColdPeriod(t *testing.T) {
	now := time.Now()
	u := Upstream{ID: "u", Service: "s", ColdPeriod: restartCold, Incarnation: 1}
	e := newUpstreamState(u, now)
	now = now.Add(time.Minute)
	e.applyPublished(u, now)
	assert.False(t, now.Before(e.coldUntil), "the same entry")
	u.Incarnation = 2
	e.applyPublished(u, now)
	assert.Equal(t, now.Add(restartCold), e.coldUntil, "a new start")
}

func TestProvesWarm(t *testing.T) {
	assert.False(t, ProvesWarm(restartCold-1, restartCold, false, false), "may be new")
	assert.True(t, ProvesWarm(restartCold, restartCold, false, false), "older than an incarnation stays cold")
	assert.True(t, ProvesWarm(0, restartCold, true, false))
	assert.False(t, ProvesWarm(restartCold, restartCold, true, true), "may have lost its upstream")
}

// TestReplyProvedNewConnection guards against taking a new connection for one to a
// known incarnation because of a reply to a request that began before it.
func TestReplyProvedNewConnection(t *testing.T) {
	now := time.Now()
	e := newUpstreamState(Upstream{ID: "u", Service: "s"}, now)
	known, other := new(driftexchange.Conn), new(driftexchange.Conn)
	e.established[known] = &connProof{acceptedAt: now, known: true}
	e.established[other] = &connProof{acceptedAt: now.Add(time.Second)}
	e.proveConns(known, now)
	assert.False(t, e.established[other].known)
	e.doubtConns(now.Add(time.Minute))
	e.proveConns(known, now.Add(2*time.Second))
	assert.True(t, e.established[other].known)
	assert.False(t, e.established[known].provesWarm(restartCold, now), "no reply since the failure")
	e.proveConns(known, now.Add(2*time.Minute))
	assert.True(t, e.established[known].provesWarm(restartCold, now))
}
