// Package driftfront answers callers' queries: it pins one index version,
// scatters a request to each shard, gathers the replies and states exactly
// which depots were searched.
//
// An idempotent query runs as a search: one goroutine keeps the state of its
// shards, starts attempts, hedges slow ones and merges replies until the
// answer is complete, the class's latency objective has passed with the
// coverage floor met, or the deadline is near. If too few shards serve the
// pinned version, the whole search starts again on another one. A query that
// is not idempotent goes to one affinity replica and is retried only after
// NotRun.
//
// A Front keeps its statistics in memory only: the load and latency of
// upstreams, the versions that they refuse, the latency of each class. They
// are lost with the process and collected again from replies.
//
// # Usage
//
//	front := driftfront.New(views, sender, events, checker)
//	go front.Run(ctx)
//	switch o := front.Query(ctx, query).(type) {
//	case driftfront.Answered:
//		send(o.Answer)
//	case driftfront.Refused:
//		refuse(o.Refusal)
//	}
package driftfront

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Front answers queries at one VM. It is safe for concurrent use.
type Front struct {
	settings settings
	views    *drifttable.ViewHolder
	sender   driftshard.Sender
	events   driftevent.Recorder
	checker  *driftcheck.Checker

	attemptIDs     attemptIDSource
	loads          *loadTable
	latencies      *latencyTable
	refusals       *refusalTable
	admission      *admission
	dedup          *dedupTable
	epochs         *epochTable
	random         *randomSource
	hedgeBudget    *budget
	retryBudget    *budget
	redirectBudget *budget
	counters       counters
	// stopBy is by when this VM stops, nil unless it is about to.
	stopBy atomic.Pointer[time.Time]
}

// New returns a Front that reads views and sends shard requests.
func New(
	views *drifttable.ViewHolder,
	sender driftshard.Sender,
	events driftevent.Recorder,
	checker *driftcheck.Checker,
	opts ...Option,
) *Front {
	s := defaultSettings()
	for _, opt := range opts {
		opt(&s)
	}
	return &Front{
		settings: s, views: views, sender: sender, events: events, checker: checker,
		loads: newLoadTable(), latencies: newLatencyTable(), refusals: newRefusalTable(),
		admission: newAdmission(s), dedup: newDedupTable(), epochs: newEpochTable(s.stabilizationDelay),
		random: newRandomSource(s.seed), hedgeBudget: newBudget(s.hedgeRatio, 0), retryBudget: newBudget(s.retryRatio, minRetriesPerSecond),
		redirectBudget: newBudget(redirectRatio, minRedirectsPerSecond),
	}
}

// tickInterval is the time between two runs of the maintenance of the tables.
const tickInterval = 250 * time.Millisecond

// Run maintains the tables of the Front until ctx is done.
func (f *Front) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.tick(now)
		}
	}
}

func (f *Front) tick(now time.Time) {
	v := f.views.Load()
	f.epochs.observe(v, now)
	f.dedup.sweep(now)
	f.refusals.sweep(now)
	f.loads.sweep(v)
}

// Outcome is Answered or Refused.
type Outcome interface {
	outcome()
}

// Answered carries the answer to a query.
type Answered struct {
	Answer driftapi.Answer
}

// Refused carries the refusal of a query.
type Refused struct {
	Refusal driftapi.Refusal
}

func (Answered) outcome() {}
func (Refused) outcome()  {}

// Query answers one query before its deadline.
func (f *Front) Query(ctx context.Context, q driftapi.Query) Outcome {
	now := time.Now()
	f.counters.queries.Add(1)
	f.counters.inFlight.Add(1)
	defer f.counters.inFlight.Add(-1)
	f.events.Record(driftevent.QueryStarted, q.Request, q.Class, "")
	wait := time.Duration(q.Deadline) * time.Millisecond
	o := f.query(ctx, call{query: q, started: now, deadline: now.Add(wait - replyMargin(wait))})
	f.recordOutcome(q, o)
	return o
}

// Bounds of the time that is reserved for the network delay of a reply: a
// tenth of the time to the deadline, at most maxReplyMargin.
const (
	replyMarginDivisor = 10
	maxReplyMargin     = 10 * time.Millisecond
)

// replyMargin returns how long before the deadline a reply must be sent in
// order to arrive in time.
func replyMargin(wait time.Duration) time.Duration {
	return min(wait/replyMarginDivisor, maxReplyMargin)
}

// call is a caller's query with its class and times. The deadline is the latest time at
// which the answer may be sent.
type call struct {
	query    driftapi.Query
	class    drifttable.Class
	started  time.Time
	deadline time.Time
}

// latencyObjective returns the time within which the caller needs the answer:
// the latency objective of the class, or the time to the deadline if that is
// shorter.
func (c call) latencyObjective() time.Duration {
	return min(c.class.LatencyObjective, c.deadline.Sub(c.started))
}

func (f *Front) query(ctx context.Context, c call) Outcome {
	v := f.views.Load()
	class, reason := f.resolveClass(v, c)
	if reason != "" {
		return refuse(c.query, reason)
	}
	if !f.endsBeforeStop(c) {
		return refuse(c.query, driftshard.ReasonLeaving)
	}
	c.class = class
	permit, retryDelay, admitted := f.admission.acquire(c, v.Classes, c.started)
	if !admitted {
		refused := refuse(c.query, driftshard.ReasonFull)
		refused.Refusal.Retry = max(1, retryDelay.Milliseconds())
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if class.NonIdempotent {
		o, busy := f.runNonIdempotent(ctx, c)
		f.admission.release(permit, busy, time.Now())
		return o
	}
	s := newSearch(f, c)
	o := s.run(ctx)
	f.admission.release(permit, s.busy(), time.Now())
	return o
}

// StopBy tells the front that its VM stops, and when all queries must have ended.
func (f *Front) StopBy(at time.Time) { f.stopBy.Store(&at) }

// endsBeforeStop reports whether a query ends before this VM stops, if it does. It handles
// a planned stop with less time than some callers wait: another VM can serve them.
func (f *Front) endsBeforeStop(c call) bool {
	at := f.stopBy.Load()
	return at == nil || !c.deadline.After(*at)
}

// resolveClass returns the class of a query, or the reason why this VM may not
// serve it.
func (f *Front) resolveClass(v *drifttable.View, c call) (class drifttable.Class, reason driftshard.Reason) {
	switch {
	case v.Age(c.started) > f.settings.maxViewAge:
		return class, driftshard.ReasonStale
	case selfLeaving(v):
		return class, driftshard.ReasonLeaving
	case v.MarkedOut(v.Self):
		return class, driftshard.ReasonOut
	}
	class, found := v.Classes.Get(c.query.Class)
	if !found {
		return class, driftshard.ReasonUnclassified
	}
	service, found := v.Services.Get(class.Service)
	if !found || len(service.Versions) == 0 {
		return class, driftshard.ReasonUnpublished
	}
	return class, ""
}

// selfLeaving reports whether this VM is leaving and accepts no more queries.
// A draining VM still accepts them.
func selfLeaving(v *drifttable.View) bool {
	vm, found := v.VMs.Get(v.Self)
	return found && vm.Health == drifttable.Leaving && !v.Draining
}

func refuse(q driftapi.Query, reason driftshard.Reason) Refused {
	return Refused{Refusal: driftapi.Refusal{
		Request: q.Request, Ran: driftapi.RanNo, Reason: string(reason),
	}}
}
