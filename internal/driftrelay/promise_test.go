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

// broken is a relay and a query that a test breaks a promise with.
type broken struct {
	relay   *Relay
	scatter *scatter
	entity  *entity
}

// launch sends the query to the entity, whatever place would say.
func (b broken) launch() {
	b.relay.mu.Lock()
	_, send := b.relay.launch(b.scatter.query, b.entity, time.Millisecond, func(*flight, driftexchange.Result) {})
	b.relay.mu.Unlock()
	send()
}

// land gives every leg of the query a part.
func (b broken) land() {
	for _, l := range b.scatter.legs {
		l.part = &driftexchange.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("0123456789abcdef"), Announced: 16}
		l.from = &flight{entity: &entity{Upstream: Upstream{Service: l.service}}, version: b.scatter.query.Table.Config.Version}
	}
}

// TestPromises breaks each promise that the relay asserts, by state that the
// relay would never reach by itself, and holds that the checker says so.
func TestPromises(t *testing.T) {
	for _, c := range []struct {
		promise driftcheck.Invariant
		name    string
		route   driftroute.Route
		act     func(b broken)
	}{
		{driftcheck.LeavingUpstream, "an upstream that leaves", rush(), func(b broken) { b.entity.leavingAt = time.Now().Add(-time.Hour); b.launch() }},
		{driftcheck.LeavingUpstream, "an upstream that is gone", rush(), func(b broken) { b.entity.goneAt = time.Now().Add(-time.Hour); b.launch() }},
		{driftcheck.MarkedOut, "a failure domain that is out", rush(), func(b broken) { b.relay.out[b.entity.Domain] = time.Now().Add(-time.Hour); b.launch() }},
		{driftcheck.ColdUpstream, "a cold upstream", rush(), func(b broken) {
			b.entity.coldUntil = time.Now().Add(time.Minute)
			b.launch()
			b.launch()
		}},
		{driftcheck.Snapshot, "a part of another version", rush(), func(b broken) {
			b.land()
			b.scatter.legs[0].from.version++
			b.scatter.merge(CauseServed)
		}},
		{driftcheck.CompleteReply, "a part that is cut short", rush(), func(b broken) {
			b.land()
			b.scatter.legs[0].part.Announced++
			b.scatter.merge(CauseServed)
		}},
		{driftcheck.CompleteReply, "an answer to another request", once(), func(b broken) {
			b.land()
			b.scatter.legs[0].part.Header.Set(testHeaders.Request, "other")
			b.scatter.settleOne(b.scatter.legs[0], false)
		}},
		{driftcheck.Coverage, "a part of another shard", rush(), func(b broken) {
			b.land()
			b.scatter.legs[0].from.entity.Service = b.scatter.legs[1].service
			b.scatter.merge(CauseServed)
		}},
		{driftcheck.NotRun, "a refusal after it ran", once(), func(b broken) {
			b.scatter.legs[0].ran = true
			b.scatter.notRun(CauseRefused)
		}},
		{driftcheck.AtMostOnce, "sent again after it ran", once(), func(b broken) {
			b.scatter.legs[0].ran = true
			b.scatter.try(b.scatter.legs[0], time.Now())
		}},
		{driftcheck.ConfigRevision, "an older version", rush(), func(b broken) {
			config := b.relay.table.Config
			config.Version--
			b.relay.Update(View{Table: driftroute.NewTable(config)})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				events := driftevent.NewLog("vm-0", 1)
				checker := driftcheck.NewChecker(events)
				w := newWorld(10, 2, rushWork, c.route)
				for i := range w.view.Table.Config.Services {
					w.view.Table.Config.Services[i].ColdRate = 1
				}
				w.view.Table = driftroute.NewTable(w.view.Table.Config)
				r := w.relay(WithChecks(events, checker))
				route, _ := w.view.Table.Find(c.route.Host, c.route.Prefix)
				q := &Query{
					Request: &driftexchange.Request{ID: "q", Method: http.MethodGet, Target: route.Prefix, Host: route.Host},
					Table:   w.view.Table, Route: route, Arrived: time.Now(), End: time.Now().Add(time.Second),
				}
				assert.Zero(t, checker.Total())
				c.act(broken{relay: r, scatter: newScatter(r, q), entity: r.services["shard-0"][0]})
				for _, n := range checker.Violations() {
					assert.Equal(t, n.Invariant == c.promise, n.Number > 0, "%s: %d", n.Invariant, n.Number)
				}
				closeAll(r)
			})
		})
	}
}

// TestWhyNone names in the log why no upstream could take a request: the lines
// of a played incident left it out.
func TestWhyNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, rushWork, once())
		events := driftevent.NewLog("vm-0", 1)
		r := w.relay(WithChecks(events, driftcheck.NewChecker(events)))
		long := time.Now().Add(-time.Hour)
		shard := r.services["shard-0"]
		shard[0].leavingAt = long
		shard[1].downUntil = time.Now().Add(time.Hour)
		r.out[shard[2].Domain] = long
		a := r.Serve(t.Context(), &driftexchange.Request{ID: "q", Method: http.MethodPost, Target: "/once/", Host: "h"}, "/once/", time.Now(), 0)
		assert.Equal(t, CauseNowhere, a.Cause)
		recorded := events.Events()
		assert.Contains(t, recorded[len(recorded)-1].Detail,
			"no other upstream of 3: 0 tried, 1 leaving, 1 in a domain that is out, 1 not reachable of late")
		closeAll(r)
	})
}

// TestPromisesHold serves queries and holds that nothing is violated, with
// cold upstreams whose rate is bounded.
func TestPromisesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := driftevent.NewLog("vm-0", 1)
		checker := driftcheck.NewChecker(events)
		w := newWorld(10, 4, rushWork, rush())
		for i := range w.view.Table.Config.Services {
			w.view.Table.Config.Services[i].ColdRate = 80
		}
		w.view.Table = driftroute.NewTable(w.view.Table.Config)
		for i := range w.view.Upstreams {
			if i%testDomains == 0 {
				w.view.Upstreams[i].Cold = 5 * time.Second
			}
		}
		r := w.relay(WithChecks(events, checker))
		assertInAim(t, drive(r, rush(), 400, 20*time.Millisecond), 0.97)
		assert.Zero(t, checker.Total())
		a := r.Serve(context.Background(), &driftexchange.Request{ID: "q", Host: "h", Target: "/none"}, "/none", time.Now(), 0)
		assert.Equal(t, http.StatusNotFound, a.Status)
		closeAll(r)
	})
}
