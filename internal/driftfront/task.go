package driftfront

import (
	"context"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Limits of the attempts at one shard.
const (
	maxLive      = 3
	maxAttempts  = 64
	silentFactor = 4
	// leastShare is the share of the typical time below which the time that
	// is left is too short for an attempt.
	leastShare   = 0.25
	backoffFirst = 5 * time.Millisecond
	// backoffDoublings is how often the pause between attempts doubles.
	backoffDoublings = 6
)

// taskState is the state of one shard of a search.
type taskState int

const (
	// open means that the shard's reply is still wanted.
	open taskState = iota
	// whole means that its reply is merged.
	whole
	// hopeless means that no upstream can serve it in the pinned version.
	hopeless
)

// task is one shard of a search.
type task struct {
	part     part
	state    taskState
	reason   driftshard.Reason
	live     []*attempt
	tried    []string
	relays   []string
	next     redirect
	due      time.Time
	last     cost
	attempts int
	rounds   int
	denials  int
	took     time.Duration
	// loaded is set once an upstream refused under load.
	loaded bool
}

// redirect is the VM to ask next for an upstream.
type redirect struct {
	upstream, vm string
}

// cost is the budget that the next attempt at a shard draws on.
type cost int

const (
	// free is the cost of the first attempt.
	free cost = iota
	// light is the cost of an attempt after one that loaded no upstream.
	light
	// heavy is the cost of an attempt after one that may have.
	heavy
	// hedged is the cost of an attempt beside another one.
	hedged
)

func (t *task) remove(a *attempt) {
	t.live = slices.DeleteFunc(t.live, func(l *attempt) bool { return l == a })
}

// pay takes the cost of an attempt from its budget.
func (f *Front) pay(c cost) bool {
	switch c {
	case free:
		return true
	case light:
		return f.redirectBudget.take()
	case hedged:
		return f.hedgeBudget.take()
	case heavy:
	}
	return f.retryBudget.take()
}

// advance starts the next attempt at a shard if one is due, and reports
// whether it did.
func (s *search) advance(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	if t.state != open || now.Before(t.due) {
		return false
	}
	if len(t.live) > 0 {
		return s.support(ctx, i, now)
	}
	return s.try(ctx, i, now)
}

// try starts an attempt at a shard that has none.
func (s *search) try(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	v := s.front.views.Load()
	if t.attempts >= maxAttempts || s.front.loads.typical(s.call.class.Name).multiple(s.call.deadline.Sub(now)) < leastShare {
		t.due = s.call.deadline
		return false
	}
	if !s.front.pay(t.last) {
		t.denials++
		t.due = now.Add(s.backoff(t))
		return false
	}
	c, probe, found := s.pick(v, t, now)
	if !found {
		s.exhaust(i, v, now)
		return false
	}
	s.start(ctx, i, c, false, now)
	if probe.upstream != "" && s.front.settings.hedging && s.front.pay(hedged) {
		s.start(ctx, i, probe, true, now)
	}
	t.due = now.Add(s.delay)
	return true
}

// pick returns the replica for the next attempt: the one that a refusal
// named, else one not yet tried, else one not yet tried over a relay. The
// probe is a straggler to try beside it, if it is time for that.
func (s *search) pick(v *drifttable.View, t *task, now time.Time) (c, probe candidate, found bool) {
	if t.next.vm != "" {
		c = candidate{upstream: t.next.upstream, vm: t.next.vm}
		t.next = redirect{}
		return c, probe, true
	}
	s.buffer = s.candidates(s.buffer[:0], v, t, now)
	all := s.buffer
	if len(all) == 0 {
		c, found = s.relay(v, t, now)
		return c, probe, found
	}
	good := favored(all)
	for _, straggler := range all[len(good):] {
		if straggler.standing.probed {
			probe = straggler
		}
	}
	return s.front.choose(good), probe, true
}

func (s *search) refuses(upstream string, now time.Time) bool {
	return s.front.refusals.refuses(upstream, s.gather.plan.version.Number, s.since, now)
}

// relay returns a VM that may reach the owner of an upstream whose owner
// this VM could not reach.
func (s *search) relay(v *drifttable.View, t *task, now time.Time) (c candidate, found bool) {
	for _, u := range t.relays {
		if v.UpstreamOut(u) || s.refuses(u, now) {
			continue
		}
		o, _ := v.Owners.Get(u)
		for _, vm := range o.Candidates {
			if vm != o.Name && vm != v.Self && !s.front.loads.avoidsVM(vm, now) {
				t.relays = slices.DeleteFunc(t.relays, func(r string) bool { return r == u })
				return candidate{upstream: u, vm: vm}, true
			}
		}
	}
	return candidate{}, false
}

// exhaust begins a new round after all replicas of a shard were tried, or
// gives the shard up if none can serve the pinned version.
func (s *search) exhaust(i int, v *drifttable.View, now time.Time) {
	t := &s.tasks[i]
	reason := s.closed(v, t, now)
	if reason != "" {
		t.state, t.reason = hopeless, reason
		s.open--
		s.refused = s.refused || reason == driftshard.ReasonVersion
		return
	}
	t.rounds++
	t.tried, t.relays = t.tried[:0], t.relays[:0]
	t.last = max(t.last, light)
	t.due = now.Add(s.backoff(t))
}

// closed returns why no replica of a shard can serve it, or "" if one can.
func (s *search) closed(v *drifttable.View, t *task, now time.Time) driftshard.Reason {
	reason := driftshard.ReasonUnpublished
	for _, u := range t.part.shard.Upstreams {
		switch {
		case v.UpstreamOut(u):
			if reason != driftshard.ReasonVersion {
				reason = outReason(v, u)
			}
		case s.refuses(u, now):
			reason = driftshard.ReasonVersion
		default:
			return ""
		}
	}
	return reason
}

func outReason(v *drifttable.View, upstream string) driftshard.Reason {
	u, found := v.Upstreams.Get(upstream)
	switch {
	case !found:
		return driftshard.ReasonUnpublished
	case u.Leaving:
		return driftshard.ReasonLeaving
	}
	return driftshard.ReasonOut
}

// backoff returns the pause before the next round at a shard, no longer than
// the latency target.
func (s *search) backoff(t *task) time.Duration {
	return min(s.call.class.Fast, backoff(t.rounds+t.denials))
}

// backoff returns the pause before an attempt after the given number of
// attempts in vain.
func backoff(vain int) time.Duration {
	return backoffFirst << min(vain, backoffDoublings)
}

// support starts another attempt beside one that is late: first a hedge,
// then, when the earlier ones seem silent, a retry.
func (s *search) support(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	t.due = now.Add(s.delay * silentFactor)
	if len(t.live) >= maxLive || !s.front.settings.hedging {
		return false
	}
	s.buffer = s.candidates(s.buffer[:0], s.front.views.Load(), t, now)
	silent := now.Sub(t.live[len(t.live)-1].started) >= s.delay*silentFactor
	candidates := slices.DeleteFunc(s.buffer, func(c candidate) bool {
		return c.standing.avoided && !c.standing.cold || c.standing.queued && !silent
	})
	if len(candidates) == 0 {
		t.due = now.Add(backoffFirst)
		return false
	}
	if !s.front.pay(supportCost(silent)) {
		t.denials++
		t.due = now.Add(s.delay << min(t.denials, 2))
		return false
	}
	s.front.counters.hedges.Add(1)
	s.start(ctx, i, s.front.choose(favored(candidates)), true, now)
	return true
}

func supportCost(silent bool) cost {
	if silent {
		return heavy
	}
	return hedged
}

// start sends one attempt.
func (s *search) start(ctx context.Context, i int, c candidate, hedge bool, now time.Time) {
	t := &s.tasks[i]
	a := &attempt{
		id: s.front.attemptIDs.next(s.front.views.Load()), task: i, generation: s.generation,
		upstream: c.upstream, vm: c.vm, version: s.gather.plan.version.Number, hedge: hedge, started: now,
	}
	if !slices.Contains(t.tried, c.upstream) {
		t.tried = append(t.tried, c.upstream)
	}
	t.live = append(t.live, a)
	t.attempts++
	s.live++
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	s.explain.addAttempt(a, t.part.shard.Name)
	r := a.request(s.call, t.part)
	results := s.results
	go func() {
		e := s.front.send(attemptCtx, a, r)
		select {
		case results <- e:
		case <-ctx.Done():
			cancel()
		}
	}()
}

// fail notes an attempt that gave no reply to merge, and decides on the
// next.
func (s *search) fail(t *task, a *attempt, e ended) {
	switch r := e.result.(type) {
	case driftshard.NotRun:
		t.reason = r.Reason
		t.last = refusalCost(r.Reason)
		t.loaded = t.loaded || t.last == heavy
		t.redirect(a, r)
	case driftshard.Unknown:
		t.reason = r.Reason
		t.last = heavy
	}
	if len(t.live) == 0 {
		t.due = e.now
	}
}

// redirect notes where an upstream that this attempt did not reach may be
// reached.
func (t *task) redirect(a *attempt, r driftshard.NotRun) {
	switch {
	case r.Reason == driftshard.ReasonOwner && r.Owner != "" && r.Owner != a.vm && t.attempts < maxLive:
		t.next = redirect{upstream: a.upstream, vm: r.Owner}
	case r.Reason == driftshard.ReasonUnreachable:
		t.relays = append(t.relays, a.upstream)
	}
}

// refusalCost tells whether another attempt after a refusal may add to an
// overload.
func refusalCost(r driftshard.Reason) cost {
	switch r {
	case driftshard.ReasonFull, driftshard.ReasonLate, driftshard.ReasonShed, driftshard.ReasonCold:
		return heavy
	default:
		return light
	}
}
