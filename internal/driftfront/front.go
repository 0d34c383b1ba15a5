// Package driftfront answers callers' queries: it pins one index version,
// scatters a request to each shard, gathers the replies and states exactly
// which depots were searched.
//
// # Usage
//
//	front := driftfront.New(views, sender, events, checker)
//	switch o := front.Query(ctx, query).(type) {
//	case driftfront.Answered:
//		send(o.Answer)
//	case driftfront.Refused:
//		refuse(o.Refusal)
//	}
package driftfront

import (
	"context"
	"fmt"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Front answers queries at one VM. It is safe for concurrent use.
type Front struct {
	views   *drifttable.Holder
	sender  driftshard.Sender
	events  driftevent.Recorder
	checker *driftcheck.Checker
	fresh   time.Duration
}

// Option changes a Front that New makes.
type Option func(*Front)

// WithFresh sets the age above which a view is too old to act on.
func WithFresh(age time.Duration) Option {
	return func(f *Front) { f.fresh = age }
}

// defaultFresh is the freshness limit when WithFresh is not given.
const defaultFresh = time.Second

// New returns a Front that reads views and sends shard requests.
func New(
	views *drifttable.Holder,
	sender driftshard.Sender,
	events driftevent.Recorder,
	checker *driftcheck.Checker,
	opts ...Option,
) *Front {
	f := &Front{views: views, sender: sender, events: events, checker: checker, fresh: defaultFresh}
	for _, opt := range opts {
		opt(f)
	}
	return f
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
	started := time.Now()
	deadline := started.Add(time.Duration(q.Deadline) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	v := f.views.Load()
	plan, reason := f.plan(v, q, deadline)
	if reason != "" {
		return refuse(q, reason)
	}
	if plan.class.Once {
		return f.runOnce(ctx, v, plan, started)
	}
	return f.runAll(ctx, v, plan, started)
}

// plan is what a query asks for, fixed before the first attempt.
type plan struct {
	query    driftapi.Query
	class    drifttable.Class
	version  drifttable.Version
	parts    []part
	deadline time.Time
}

// part is the share of a query that one shard answers.
type part struct {
	shard  drifttable.Shard
	depots []string
}

func (f *Front) plan(v *drifttable.View, q driftapi.Query, deadline time.Time) (p plan, reason driftshard.Reason) {
	if v.Age(time.Now()) > f.fresh {
		return plan{}, driftshard.ReasonStale
	}
	if v.VMOut(v.Self) {
		return plan{}, driftshard.ReasonOut
	}
	class, found := v.Classes.Get(q.Class)
	if !found {
		return plan{}, driftshard.ReasonUnclassified
	}
	service, found := v.Services.Get(class.Service)
	if !found || len(service.Versions) == 0 {
		return plan{}, driftshard.ReasonUnpublished
	}
	p = plan{query: q, class: class, version: service.Versions[0], deadline: deadline}
	p.parts = split(p.version, q.Depots)
	return p, ""
}

// split assigns the wanted depots to the shards of the version. No wanted
// depots means all.
func split(version drifttable.Version, wanted []string) []part {
	asked := make(map[string]bool, len(wanted))
	for _, d := range wanted {
		asked[d] = true
	}
	var parts []part
	for s := range version.Shards.All() {
		p := part{shard: s}
		for _, d := range s.Depots {
			if len(asked) == 0 || asked[d] {
				p.depots = append(p.depots, d)
			}
		}
		if len(p.depots) > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

// runAll sends one request to each shard and merges the replies.
func (f *Front) runAll(ctx context.Context, v *drifttable.View, p plan, started time.Time) Outcome {
	results := make(chan partResult, len(p.parts))
	for i := range p.parts {
		go func() {
			results <- partResult{part: i, result: f.attempt(ctx, v, p, p.parts[i])}
		}()
	}
	g := newGather(f.checker, p)
	for range p.parts {
		r := <-results
		g.add(r)
	}
	return Answered{Answer: g.answer(started)}
}

// partResult is the result of one part of a plan.
type partResult struct {
	part   int
	result driftshard.Result
}

// attempt tries the upstreams of a shard in turn until one answers.
func (f *Front) attempt(ctx context.Context, v *drifttable.View, p plan, t part) driftshard.Result {
	var last driftshard.Result = driftshard.NotRun{Reason: driftshard.ReasonUnpublished}
	for i, u := range drifttable.Rank(p.query.Request, t.shard.Upstreams) {
		owner, found := v.Owner(u)
		if !found || v.UpstreamOut(u) {
			continue
		}
		last = f.sender.Send(ctx, owner, request(p, t, u, i))
		if _, done := last.(driftshard.Done); done {
			return last
		}
		if _, unknown := last.(driftshard.Unknown); unknown && p.class.Once {
			return last
		}
	}
	return last
}

func request(p plan, t part, upstream string, number int) driftshard.Request {
	return driftshard.Request{
		Query:    p.query.Request,
		Attempt:  fmt.Sprintf("%s/%s/%d", p.query.Request, t.shard.Name, number),
		Class:    p.class.Name,
		Service:  p.class.Service,
		Shard:    t.shard.Name,
		Upstream: upstream,
		Version:  p.version.Number,
		Depots:   t.depots,
		Text:     p.query.Text,
		Once:     p.class.Once,
		Deadline: p.deadline,
	}
}

// runOnce sends a request that is not idempotent to one shard.
func (f *Front) runOnce(ctx context.Context, v *drifttable.View, p plan, started time.Time) Outcome {
	if len(p.parts) != 1 {
		return refuse(p.query, driftshard.ReasonUnpublished)
	}
	switch r := f.attempt(ctx, v, p, p.parts[0]).(type) {
	case driftshard.NotRun:
		return refuse(p.query, r.Reason)
	case driftshard.Unknown:
		return Refused{Refusal: driftapi.Refusal{
			Request: p.query.Request, Ran: driftapi.RanUnknown, Reason: string(r.Reason),
		}}
	case driftshard.Done:
		g := newGather(f.checker, p)
		g.add(partResult{part: 0, result: r})
		return Answered{Answer: g.answer(started)}
	}
	return refuse(p.query, driftshard.ReasonMalformed)
}

func refuse(q driftapi.Query, reason driftshard.Reason) Outcome {
	return Refused{Refusal: driftapi.Refusal{
		Request: q.Request, Ran: driftapi.RanNo, Reason: string(reason),
	}}
}
