package driftfront

import (
	"context"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Fields that a refusal of a request that is not idempotent may name.
const (
	fieldDepots   = "depots"
	fieldDeadline = "deadline"
)

// runNonIdempotent runs a request that is not idempotent. The result busy
// reports whether an upstream refused because of load.
func (f *Front) runNonIdempotent(ctx context.Context, c call) (o Outcome, busy bool) {
	if refused, ok := f.validateNonIdempotent(c); !ok {
		return refused, false
	}
	seen, ran := f.dedup.begin(c.query.Request, c.started)
	switch seen {
	case dedupDuplicate:
		return Refused{Refusal: driftapi.Refusal{
			Request: c.query.Request, Ran: ran, Reason: string(driftshard.ReasonDuplicate),
		}}, false
	case dedupFull:
		return refuse(c.query, driftshard.ReasonFull), false
	case dedupNew:
	}
	n := &nonIdempotentQuery{front: f, call: c, explain: newExplanation(c)}
	o = n.run(ctx)
	f.dedup.end(c.query.Request, outcomeRan(o), time.Now())
	return o, n.busy
}

func outcomeRan(o Outcome) driftapi.Ran {
	if r, refused := o.(Refused); refused {
		return r.Refusal.Ran
	}
	return driftapi.RanYes
}

// validateNonIdempotent refuses a request that names depots of more than one
// shard, or whose deadline is too long.
func (f *Front) validateNonIdempotent(c call) (refused Refused, ok bool) {
	if time.Duration(c.query.Deadline)*time.Millisecond > MaxNonIdempotentDeadline {
		refused = refuse(c.query, driftshard.ReasonMalformed)
		refused.Refusal.Field = fieldDeadline
		refused.Refusal.Detail = "a request that is not idempotent must have a deadline of at most " + MaxNonIdempotentDeadline.String()
		return refused, false
	}
	service, _ := f.views.Load().Services.Get(c.class.Service)
	for _, version := range service.Versions {
		if p := newPlan(version, c.query.Depots); len(p.requests) == 1 && len(p.unpublished) == 0 {
			return Refused{}, true
		}
	}
	refused = refuse(c.query, driftshard.ReasonMalformed)
	refused.Refusal.Field = fieldDepots
	refused.Refusal.Detail = "a request that is not idempotent must name published depots of exactly one shard"
	return refused, false
}

// nonIdempotentQuery is one query that is not idempotent while it runs. It
// belongs to the goroutine of the query.
type nonIdempotentQuery struct {
	front           *Front
	call            call
	explain         explanation
	replica         string
	mayHaveRun      bool
	busy            bool
	ownerHint       string
	triedVMs        []string
	refusedVersions []uint64
	rounds          int
}

// run sends the request to its affinity replica until it has run or the
// deadline is near. It retries only after NotRun.
func (n *nonIdempotentQuery) run(ctx context.Context) Outcome {
	last := driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	for first := true; ; first = false {
		now := time.Now()
		v := n.front.views.Load()
		p, c, reason := n.nextAttempt(v, now)
		if reason != "" {
			return n.refuseNotRun(reason, last.RetryAfter)
		}
		if first {
			n.front.recordFirstAttempts(1)
		} else if !n.front.withdraw(budgetAfterRefusal(last.Reason)) {
			return n.refuseNotRun(last.Reason, last.RetryAfter)
		}
		e := n.sendAttempt(ctx, v, p, c, now)
		switch r := e.result.(type) {
		case driftshard.Done:
			return n.answer(p, e.attempt, r)
		case driftshard.Unknown:
			return n.refuseUnknown(r.Reason)
		case driftshard.NotRun:
			last = r
		}
		if last.Reason == driftshard.ReasonDuplicate {
			return n.refuseUnknown(last.Reason)
		}
		if !n.waitForRetry(ctx, c, last) {
			return n.refuseNotRun(last.Reason, last.RetryAfter)
		}
	}
}

// nextAttempt returns the plan and the VM of the next attempt, or why there is
// none.
func (n *nonIdempotentQuery) nextAttempt(v *drifttable.View, now time.Time) (p plan, c candidate, reason driftshard.Reason) {
	service, _ := v.Services.Get(n.call.class.Service)
	replica, stable := n.front.epochs.affinityReplica(v, service, n.depots(service), n.call.query.Request, now)
	switch {
	case v.Age(now) > n.front.settings.maxViewAge:
		return p, c, driftshard.ReasonStale
	case !stable, n.replica != "" && replica != n.replica:
		return p, c, driftshard.ReasonHold
	case replica == "":
		return p, c, driftshard.ReasonOut
	case v.UpstreamOut(replica):
		return p, c, outReason(v, replica)
	}
	n.replica = replica
	p, found := n.plan(service)
	if !found {
		return p, c, driftshard.ReasonVersion
	}
	vm, found := n.nextVM(v)
	if !found {
		return p, c, driftshard.ReasonUnreachable
	}
	return p, candidate{upstream: replica, vm: vm}, ""
}

// depots returns the depots of the request. A request that names none is valid
// only if a published version has exactly one shard. For such a request depots
// returns those of all published versions.
func (n *nonIdempotentQuery) depots(service drifttable.Service) []string {
	if len(n.call.query.Depots) > 0 {
		return n.call.query.Depots
	}
	var depots []string
	for _, version := range service.Versions {
		for s := range version.Shards.All() {
			depots = append(depots, s.Depots...)
		}
	}
	return depots
}

// plan returns the newest plan in which one shard holds all depots, is served
// by the affinity replica and has not been refused.
func (n *nonIdempotentQuery) plan(service drifttable.Service) (p plan, found bool) {
	for _, version := range service.Versions {
		p = newPlan(version, n.call.query.Depots)
		if len(p.requests) != 1 || len(p.unpublished) > 0 || slices.Contains(n.refusedVersions, version.Number) {
			continue
		}
		if slices.Contains(p.requests[0].shard.Upstreams, n.replica) {
			return p, true
		}
	}
	return plan{}, false
}

// nextVM returns the VM to ask: the owner that a refusal named, else the owner
// in the view, else the next candidate that was not yet tried in this round.
func (n *nonIdempotentQuery) nextVM(v *drifttable.View) (name string, found bool) {
	o, _ := v.Owners.Get(n.replica)
	if hint := n.ownerHint; hint != "" {
		n.ownerHint = ""
		return hint, true
	}
	if o.Name != "" && !slices.Contains(n.triedVMs, o.Name) {
		return o.Name, true
	}
	for _, vm := range o.Candidates {
		if !slices.Contains(n.triedVMs, vm) {
			return vm, true
		}
	}
	if len(n.triedVMs) == 0 {
		return "", false
	}
	n.triedVMs = n.triedVMs[:0]
	return o.Name, o.Name != ""
}

func (n *nonIdempotentQuery) sendAttempt(ctx context.Context, v *drifttable.View, p plan, c candidate, now time.Time) attemptResult {
	a := &attempt{
		id: n.front.attemptIDs.next(v), upstream: c.upstream, vm: c.vm,
		version: p.version.Number, started: now,
	}
	n.explain.addAttempt(a, p.requests[0].shard.Name)
	r := a.request(n.call, p.requests[0])
	r.Deadline = r.Deadline.Add(-replyMargin(r.Deadline.Sub(now)))
	e := n.front.runAttempt(ctx, a, r)
	n.explain.recordResult(e)
	if _, refused := e.result.(driftshard.NotRun); !refused {
		n.mayHaveRun = true
	}
	return e
}

// waitForRetry reports whether another attempt makes sense after a refusal,
// once the backoff has passed.
func (n *nonIdempotentQuery) waitForRetry(ctx context.Context, c candidate, r driftshard.NotRun) bool {
	wait := max(r.RetryAfter, backoff(n.rounds))
	switch r.Reason {
	case driftshard.ReasonVersion:
		p, _ := n.plan(n.service())
		n.refusedVersions = append(n.refusedVersions, p.version.Number)
		return true
	case driftshard.ReasonUnreachable, driftshard.ReasonOwner, driftshard.ReasonFenced, driftshard.ReasonStale:
		n.triedVMs = append(n.triedVMs, c.vm)
		if !slices.Contains(n.triedVMs, r.Owner) {
			n.ownerHint = r.Owner
		}
	case driftshard.ReasonFull, driftshard.ReasonShed, driftshard.ReasonCold:
		n.busy = true
	case driftshard.ReasonHold:
	default:
		return false
	}
	n.rounds++
	if !time.Now().Add(wait).Before(n.call.deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *nonIdempotentQuery) service() drifttable.Service {
	s, _ := n.front.views.Load().Services.Get(n.call.class.Service)
	return s
}

// answer returns the answer with the reply of the affinity replica.
func (n *nonIdempotentQuery) answer(p plan, a *attempt, d driftshard.Done) Outcome {
	g := newPartialAnswer(n.front.checker, n.call.query.Request, p)
	if reason := g.rejectReason(p.requests[0], a, d); reason != "" {
		n.front.counters.dropped.Add(1)
		n.front.events.Record(driftevent.ReplyDropped, n.call.query.Request, a.upstream, a.id+" "+string(reason))
		return n.refuseUnknown(reason)
	}
	g.merge(a, d)
	answer := g.answer()
	answer.Time = milliseconds(time.Since(n.call.started))
	answer.Attempts = n.explain.attempts
	return Answered{Answer: answer}
}

func (n *nonIdempotentQuery) refuseUnknown(reason driftshard.Reason) Outcome {
	return Refused{Refusal: driftapi.Refusal{
		Request: n.call.query.Request, Ran: driftapi.RanUnknown, Reason: string(reason),
	}}
}

func (n *nonIdempotentQuery) refuseNotRun(reason driftshard.Reason, retry time.Duration) Outcome {
	n.front.checker.NoAttemptRan(n.call.query.Request, n.mayHaveRun)
	refused := refuse(n.call.query, reason)
	refused.Refusal.Retry = retry.Milliseconds()
	return refused
}
