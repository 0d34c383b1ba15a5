package driftrelay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// violationFixture is a relay and a query with which a test violates an
// invariant.
type violationFixture struct {
	relay    *Relay
	scatter  *scatter
	upstream *upstreamState
}

// startAttempt sends the query to the upstream, bypassing chooseUpstream.
func (b violationFixture) startAttempt() {
	b.relay.mu.Lock()
	_, send := b.relay.startAttempt(b.scatter.query, b.upstream, time.Millisecond, false, func(*attempt, driftexchange.Result) {})
	b.relay.mu.Unlock()
	send()
}

// setParts gives every shard request of the query a part.
func (b violationFixture) setParts() {
	for _, l := range b.scatter.requests {
		l.part = &driftexchange.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("0123456789abcdef"), ContentLength: 16}
		l.partAttempt = &attempt{upstream: &upstreamState{Upstream: Upstream{Service: l.service}}, version: b.scatter.query.Table.Config.Version}
	}
}

// TestInvariantViolations violates each invariant that the relay checks, by
// putting the relay into a state that it never reaches by itself, and expects
// the checker to report that invariant only.
func TestInvariantViolations(t *testing.T) {
	for _, c := range []struct {
		invariant driftcheck.Invariant
		name      string
		route     driftroute.Route
		act       func(b violationFixture)
	}{
		{driftcheck.LeavingUpstream, "an upstream that leaves", rush(), func(b violationFixture) { b.upstream.leavingAt = time.Now().Add(-time.Hour); b.startAttempt() }},
		{driftcheck.LeavingUpstream, "an upstream that was removed", rush(), func(b violationFixture) { b.upstream.removedAt = time.Now().Add(-time.Hour); b.startAttempt() }},
		{driftcheck.MarkedOut, "a failure domain that is out of service", rush(), func(b violationFixture) {
			b.relay.outSince[b.upstream.Domain] = time.Now().Add(-time.Hour)
			b.startAttempt()
		}},
		{driftcheck.ColdUpstream, "a cold upstream", rush(), func(b violationFixture) {
			b.upstream.coldUntil = time.Now().Add(time.Minute)
			b.startAttempt()
			b.startAttempt()
		}},
		{driftcheck.Snapshot, "a part of another version", rush(), func(b violationFixture) {
			b.setParts()
			b.scatter.requests[0].partAttempt.version++
			b.scatter.mergeParts(CauseServed)
		}},
		{driftcheck.CompleteReply, "a truncated part", rush(), func(b violationFixture) {
			b.setParts()
			b.scatter.requests[0].part.ContentLength++
			b.scatter.mergeParts(CauseServed)
		}},
		{driftcheck.CompleteReply, "an answer to another request", nonIdempotent(), func(b violationFixture) {
			b.setParts()
			b.scatter.requests[0].part.Header.Set(testHeaders.Request, "other")
			b.scatter.tryAnswerSingle(b.scatter.requests[0], false)
		}},
		{driftcheck.Coverage, "a part of another shard", rush(), func(b violationFixture) {
			b.setParts()
			b.scatter.requests[0].partAttempt.upstream.Service = b.scatter.requests[1].service
			b.scatter.mergeParts(CauseServed)
		}},
		{driftcheck.NotRun, "a refusal after it ran", nonIdempotent(), func(b violationFixture) {
			b.scatter.requests[0].mayHaveRun = true
			b.scatter.refuseNotRun(NotRun{alwaysRefused}, CauseRefused)
		}},
		{driftcheck.AtMostOnce, "sent again after it ran", nonIdempotent(), func(b violationFixture) {
			b.scatter.requests[0].mayHaveRun = true
			b.scatter.sendToNext(b.scatter.requests[0], time.Now())
		}},
		{driftcheck.ConfigRevision, "an older version", rush(), func(b violationFixture) {
			config := b.relay.table.Config
			config.Version--
			b.relay.UpdateView(View{Table: driftroute.NewTable(config)})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				events := driftevent.NewLog("vm-0", 1)
				checker := driftcheck.NewChecker(events)
				w := newSimulation(10, 2, rushServiceTime, c.route)
				for i := range w.view.Table.Config.Services {
					w.view.Table.Config.Services[i].ColdRate = 1
				}
				w.view.Table = driftroute.NewTable(w.view.Table.Config)
				r := w.relay(WithChecks(events, checker))
				route, _ := w.view.Table.Find(c.route.Host, c.route.Prefix)
				q := &Query{
					Request: &driftexchange.Request{ID: "q", Method: http.MethodGet, Target: route.Prefix, Host: route.Host},
					Table:   w.view.Table, Route: route, Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
				}
				assert.Zero(t, checker.Total())
				c.act(violationFixture{relay: r, scatter: newScatter(r, q), upstream: r.services["shard-0"][0]})
				for _, n := range checker.Violations() {
					assert.Equal(t, n.Invariant == c.invariant, n.Number > 0, "%s: %d", n.Invariant, n.Number)
				}
				closeAll(r)
			})
		})
	}
}

// TestNoUpstreamReason checks that the log says why no upstream could take a
// request; the event of such a refusal once lacked the reason.
func TestNoUpstreamReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 2, rushServiceTime, nonIdempotent())
		events := driftevent.NewLog("vm-0", 1)
		r := w.relay(WithChecks(events, driftcheck.NewChecker(events)))
		longAgo := time.Now().Add(-time.Hour)
		shard := r.services["shard-0"]
		shard[0].leavingAt = longAgo
		shard[1].downUntil = time.Now().Add(time.Hour)
		r.outSince[shard[2].Domain] = longAgo
		a := r.Serve(t.Context(), &driftexchange.Request{ID: "q", Method: http.MethodPost, Target: "/once/", Host: "h"}, "/once/", time.Now(), 0)
		assert.Equal(t, CauseNoUpstream, a.Cause)
		recorded := events.Events()
		assert.Contains(t, recorded[len(recorded)-1].Detail,
			"no other upstream of 3: 0 tried, 1 leaving, 1 in a domain that is out, 1 not reachable of late")
		closeAll(r)
	})
}

// TestNoInvariantViolated serves queries, with cold upstreams whose rate is
// limited, and expects no violation.
func TestNoInvariantViolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := driftevent.NewLog("vm-0", 1)
		checker := driftcheck.NewChecker(events)
		w := newSimulation(10, 4, rushServiceTime, rush())
		for i := range w.view.Table.Config.Services {
			w.view.Table.Config.Services[i].ColdRate = 80
		}
		w.view.Table = driftroute.NewTable(w.view.Table.Config)
		for i := range w.view.Upstreams {
			if i%testDomains == 0 {
				w.view.Upstreams[i].ColdPeriod = 5 * time.Second
			}
		}
		r := w.relay(WithChecks(events, checker))
		assertInTime(t, runLoad(r, rush(), 400, 20*time.Millisecond), 0.97)
		assert.Zero(t, checker.Total())
		a := r.Serve(context.Background(), &driftexchange.Request{ID: "q", Host: "h", Target: "/none"}, "/none", time.Now(), 0)
		assert.Equal(t, http.StatusNotFound, a.Status)
		closeAll(r)
	})
}
