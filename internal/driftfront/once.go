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

// runOnce runs a request that is not idempotent. Busy tells that an upstream
// refused under load.
func (f *Front) runOnce(ctx context.Context, c call) (o Outcome, busy bool) {
	if refused, ok := f.checkOnce(c); !ok {
		return refused, false
	}
	known, ran := f.memory.begin(c.query.Request, c.started)
	switch known {
	case duplicate:
		return Refused{Refusal: driftapi.Refusal{
			Request: c.query.Request, Ran: ran, Reason: string(driftshard.ReasonDuplicate),
		}}, false
	case crowded:
		return refuse(c.query, driftshard.ReasonFull), false
	case fresh:
	}
	h := &homing{front: f, call: c, explain: newExplanation(c)}
	o = h.run(ctx)
	f.memory.end(c.query.Request, outcomeRan(o), time.Now())
	return o, h.busy
}

func outcomeRan(o Outcome) driftapi.Ran {
	if r, refused := o.(Refused); refused {
		return r.Refusal.Ran
	}
	return driftapi.RanYes
}

// checkOnce refuses a request that names depots of more than one shard, or
// whose deadline is too long.
func (f *Front) checkOnce(c call) (refused Refused, ok bool) {
	if time.Duration(c.query.Deadline)*time.Millisecond > MaxOnceDeadline {
		refused = refuse(c.query, driftshard.ReasonMalformed)
		refused.Refusal.Field = fieldDeadline
		refused.Refusal.Detail = "a request that may not be repeated has a deadline of at most " + MaxOnceDeadline.String()
		return refused, false
	}
	service, _ := f.views.Load().Services.Get(c.class.Service)
	for _, version := range service.Versions {
		if p := newPlan(version, c.query.Depots); len(p.parts) == 1 && len(p.unpublished) == 0 {
			return Refused{}, true
		}
	}
	refused = refuse(c.query, driftshard.ReasonMalformed)
	refused.Refusal.Field = fieldDepots
	refused.Refusal.Detail = "a request that may not be repeated names published depots of one shard"
	return refused, false
}

// homing is a request that is not idempotent on its way to its home replica.
// It belongs to the goroutine of the query.
type homing struct {
	front   *Front
	call    call
	explain explanation
	home    string
	ran     bool
	busy    bool
	hint    string
	tried   []string
	refused []uint64
	rounds  int
}

// run sends the request to its home replica, again only after NotRun, until
// it ran or the deadline is near.
func (h *homing) run(ctx context.Context) Outcome {
	last := driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	for first := true; ; first = false {
		now := time.Now()
		v := h.front.views.Load()
		p, c, reason := h.next(v, now)
		if reason != "" {
			return h.refuse(reason, last.RetryAfter)
		}
		if first {
			h.front.earn(1)
		} else if !h.front.pay(refusalCost(last.Reason)) {
			return h.refuse(last.Reason, last.RetryAfter)
		}
		e := h.send(ctx, v, p, c, now)
		switch r := e.result.(type) {
		case driftshard.Done:
			return h.done(p, e.attempt, r)
		case driftshard.Unknown:
			return h.unknown(r.Reason)
		case driftshard.NotRun:
			last = r
		}
		if last.Reason == driftshard.ReasonDuplicate {
			return h.unknown(last.Reason)
		}
		if !h.again(ctx, c, last) {
			return h.refuse(last.Reason, last.RetryAfter)
		}
	}
}

// next returns the plan and the VM of the next attempt, or why there is
// none.
func (h *homing) next(v *drifttable.View, now time.Time) (p plan, c candidate, reason driftshard.Reason) {
	service, _ := v.Services.Get(h.call.class.Service)
	home, settled := h.front.epochs.home(v, service, h.depots(service), h.call.query.Request, now)
	switch {
	case v.Age(now) > h.front.settings.fresh:
		return p, c, driftshard.ReasonStale
	case !settled, h.home != "" && home != h.home:
		return p, c, driftshard.ReasonHold
	case home == "":
		return p, c, driftshard.ReasonOut
	case v.UpstreamOut(home):
		return p, c, outReason(v, home)
	}
	h.home = home
	p, found := h.plan(service)
	if !found {
		return p, c, driftshard.ReasonVersion
	}
	vm, found := h.vm(v)
	if !found {
		return p, c, driftshard.ReasonUnreachable
	}
	return p, candidate{upstream: home, vm: vm}, ""
}

// depots returns the depots of the request, those of the only shard if it
// names none.
func (h *homing) depots(service drifttable.Service) []string {
	if len(h.call.query.Depots) > 0 {
		return h.call.query.Depots
	}
	var depots []string
	for _, version := range service.Versions {
		for s := range version.Shards.All() {
			depots = append(depots, s.Depots...)
		}
	}
	return depots
}

// plan returns the newest plan on which one shard holds all depots, is
// served by the home replica, and was not refused.
func (h *homing) plan(service drifttable.Service) (p plan, found bool) {
	for _, version := range service.Versions {
		p = newPlan(version, h.call.query.Depots)
		if len(p.parts) != 1 || len(p.unpublished) > 0 || slices.Contains(h.refused, version.Number) {
			continue
		}
		if slices.Contains(p.parts[0].shard.Upstreams, h.home) {
			return p, true
		}
	}
	return plan{}, false
}

// vm returns the VM to ask: the owner, or the next candidate that was not
// yet tried in this round.
func (h *homing) vm(v *drifttable.View) (name string, found bool) {
	o, _ := v.Owners.Get(h.home)
	if hint := h.hint; hint != "" {
		h.hint = ""
		return hint, true
	}
	if o.Name != "" && !slices.Contains(h.tried, o.Name) {
		return o.Name, true
	}
	for _, vm := range o.Candidates {
		if !slices.Contains(h.tried, vm) {
			return vm, true
		}
	}
	if len(h.tried) == 0 {
		return "", false
	}
	h.tried = h.tried[:0]
	return o.Name, o.Name != ""
}

func (h *homing) send(ctx context.Context, v *drifttable.View, p plan, c candidate, now time.Time) ended {
	a := &attempt{
		id: h.front.names.next(v), upstream: c.upstream, vm: c.vm,
		version: p.version.Number, started: now,
	}
	h.explain.start(a, p.parts[0].shard.Name)
	r := a.request(h.call, p.parts[0])
	r.Deadline = r.Deadline.Add(-margin(r.Deadline.Sub(now)))
	e := h.front.send(ctx, a, r)
	h.explain.end(e)
	if _, refused := e.result.(driftshard.NotRun); !refused {
		h.ran = true
	}
	return e
}

// again reports whether another attempt makes sense after a refusal, once
// the wait that it takes is over.
func (h *homing) again(ctx context.Context, c candidate, r driftshard.NotRun) bool {
	wait := max(r.RetryAfter, backoff(h.rounds))
	switch r.Reason {
	case driftshard.ReasonVersion:
		p, _ := h.plan(h.service())
		h.refused = append(h.refused, p.version.Number)
		return true
	case driftshard.ReasonUnreachable, driftshard.ReasonOwner, driftshard.ReasonFenced, driftshard.ReasonStale:
		h.tried = append(h.tried, c.vm)
		if !slices.Contains(h.tried, r.Owner) {
			h.hint = r.Owner
		}
	case driftshard.ReasonFull, driftshard.ReasonShed, driftshard.ReasonCold:
		h.busy = true
	case driftshard.ReasonHold:
	default:
		return false
	}
	h.rounds++
	if !time.Now().Add(wait).Before(h.call.deadline) {
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

func (h *homing) service() drifttable.Service {
	s, _ := h.front.views.Load().Services.Get(h.call.class.Service)
	return s
}

// done answers with the reply of the home replica.
func (h *homing) done(p plan, a *attempt, d driftshard.Done) Outcome {
	g := newGather(h.front.checker, h.call.query.Request, p)
	if reason := g.check(p.parts[0], a, d); reason != "" {
		h.front.counters.dropped.Add(1)
		h.front.events.Record(driftevent.ReplyDropped, h.call.query.Request, a.upstream, a.id+" "+string(reason))
		return h.unknown(reason)
	}
	g.merge(a, d)
	answer := g.answer()
	answer.Time = milliseconds(time.Since(h.call.started))
	answer.Attempts = h.explain.attempts
	return Answered{Answer: answer}
}

func (h *homing) unknown(reason driftshard.Reason) Outcome {
	return Refused{Refusal: driftapi.Refusal{
		Request: h.call.query.Request, Ran: driftapi.RanUnknown, Reason: string(reason),
	}}
}

func (h *homing) refuse(reason driftshard.Reason, retry time.Duration) Outcome {
	h.front.checker.TrulyNotRun(h.call.query.Request, h.ran)
	refused := refuse(h.call.query, reason)
	refused.Refusal.Retry = retry.Milliseconds()
	return refused
}
