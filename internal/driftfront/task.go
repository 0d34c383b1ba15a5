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
	maxAttemptsInFlight = 3
	maxAttempts         = 64
	// silentDelayFactor is the number of hedge delays without a reply after
	// which an attempt counts as silent.
	silentDelayFactor = 4
	// minTimeRatio is the smallest ratio of the remaining time to the baseline
	// service time at which an attempt is started.
	minTimeRatio   = 0.25
	initialBackoff = 5 * time.Millisecond
	// maxBackoffDoublings is how often the backoff between attempts doubles.
	maxBackoffDoublings = 6
)

// taskState is the state of one shard of a search.
type taskState int

const (
	// taskOpen means that the search still needs the shard's reply.
	taskOpen taskState = iota
	// taskMerged means that the shard's reply is in the answer.
	taskMerged
	// taskUnservable means that no upstream can serve the pinned version of the
	// shard.
	taskUnservable
)

// task is the part of a search that deals with one shard.
type task struct {
	request  shardRequest
	state    taskState
	reason   driftshard.Reason
	inFlight []*attempt
	// tried holds the upstreams that were tried in this round.
	tried []string
	// relayUpstreams holds the upstreams whose owner this VM could not reach.
	relayUpstreams []string
	redirectTo     redirect
	// due is when the next attempt may start.
	due        time.Time
	nextBudget budgetKind
	attempts   int
	// rounds counts how often all replicas were tried.
	rounds        int
	budgetDenials int
	latency       time.Duration
	// overloaded is set once an upstream has refused because of load.
	overloaded bool
}

// redirect names the VM to ask next for an upstream.
type redirect struct {
	upstream, vm string
}

// budgetKind is the budget that the next attempt at a shard is charged to.
type budgetKind int

const (
	// noBudget is for the first attempt, which is free.
	noBudget budgetKind = iota
	// redirectBudget is for an attempt after one that put no load on an
	// upstream.
	redirectBudget
	// retryBudget is for an attempt after one that may have put load on an
	// upstream.
	retryBudget
	// hedgeBudget is for an attempt beside another one.
	hedgeBudget
)

func (t *task) remove(a *attempt) {
	t.inFlight = slices.DeleteFunc(t.inFlight, func(l *attempt) bool { return l == a })
}

// withdraw charges an attempt to its budget, and reports whether the budget
// allowed it.
func (f *Front) withdraw(c budgetKind) bool {
	switch c {
	case noBudget:
		return true
	case redirectBudget:
		return f.redirectBudget.withdraw()
	case hedgeBudget:
		return f.hedgeBudget.withdraw()
	case retryBudget:
	}
	return f.retryBudget.withdraw()
}

// startIfDue starts the next attempt at a shard if one is due, and reports
// whether it did.
func (s *search) startIfDue(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	if t.state != taskOpen || now.Before(t.due) {
		return false
	}
	if len(t.inFlight) > 0 {
		return s.startHedge(ctx, i, now)
	}
	return s.startAttempt(ctx, i, now)
}

// startAttempt starts an attempt at a shard that has none in flight.
func (s *search) startAttempt(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	v := s.front.views.Load()
	if t.attempts >= maxAttempts || s.front.loads.baseline(s.call.class.Name).ratio(s.call.deadline.Sub(now)) < minTimeRatio {
		t.due = s.call.deadline
		return false
	}
	if !s.front.withdraw(t.nextBudget) {
		t.budgetDenials++
		t.due = now.Add(s.backoff(t))
		return false
	}
	c, probe, found := s.pickReplica(v, t, now)
	if !found {
		s.endRound(i, v, now)
		return false
	}
	s.sendAttempt(ctx, i, c, false, now)
	if probe.upstream != "" && s.front.settings.hedging && s.front.withdraw(hedgeBudget) {
		s.sendAttempt(ctx, i, probe, true, now)
	}
	t.due = now.Add(s.hedgeDelay)
	return true
}

// pickReplica returns the replica for the next attempt: the one that a refusal
// named, else one not yet tried, else one not yet tried through a relay. The
// probe is a straggler that is due for a probe, to be tried in parallel.
func (s *search) pickReplica(v *drifttable.View, t *task, now time.Time) (c, probe candidate, found bool) {
	if t.redirectTo.vm != "" {
		c = candidate{upstream: t.redirectTo.upstream, vm: t.redirectTo.vm}
		t.redirectTo = redirect{}
		return c, probe, true
	}
	s.buffer = s.candidates(s.buffer[:0], v, t, now)
	all := s.buffer
	if len(all) == 0 {
		c, found = s.pickRelay(v, t, now)
		return c, probe, found
	}
	good := preferred(all)
	for _, straggler := range all[len(good):] {
		if straggler.rating.probeDue {
			probe = straggler
		}
	}
	return s.front.choose(good), probe, true
}

func (s *search) versionRefused(upstream string, now time.Time) bool {
	return s.front.refusals.isRefused(upstream, s.partial.plan.version.Number, s.trustedSince, now)
}

// pickRelay returns a VM that may reach the owner of an upstream that this VM
// could not reach.
func (s *search) pickRelay(v *drifttable.View, t *task, now time.Time) (c candidate, found bool) {
	for _, u := range t.relayUpstreams {
		if v.UpstreamOut(u) || s.versionRefused(u, now) {
			continue
		}
		o, _ := v.Owners.Get(u)
		for _, vm := range o.Candidates {
			if vm != o.Name && vm != v.Self && !s.front.loads.vmAvoided(vm, now) {
				t.relayUpstreams = slices.DeleteFunc(t.relayUpstreams, func(r string) bool { return r == u })
				return candidate{upstream: u, vm: vm}, true
			}
		}
	}
	return candidate{}, false
}

// endRound starts a new round after all replicas of a shard were tried, or
// gives the shard up if none can serve the pinned version.
func (s *search) endRound(i int, v *drifttable.View, now time.Time) {
	t := &s.tasks[i]
	reason := s.unservableReason(v, t, now)
	if reason != "" {
		t.state, t.reason = taskUnservable, reason
		s.openTasks--
		s.versionLost = s.versionLost || reason == driftshard.ReasonVersion
		return
	}
	t.rounds++
	t.tried, t.relayUpstreams = t.tried[:0], t.relayUpstreams[:0]
	t.nextBudget = max(t.nextBudget, redirectBudget)
	t.due = now.Add(s.backoff(t))
}

// unservableReason returns why no replica of a shard can serve it, or "" if
// one can.
func (s *search) unservableReason(v *drifttable.View, t *task, now time.Time) driftshard.Reason {
	reason := driftshard.ReasonUnpublished
	for _, u := range t.request.shard.Upstreams {
		switch {
		case v.UpstreamOut(u):
			if reason != driftshard.ReasonVersion {
				reason = outReason(v, u)
			}
		case s.versionRefused(u, now):
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
// the latency objective.
func (s *search) backoff(t *task) time.Duration {
	return min(s.call.class.LatencyObjective, backoff(t.rounds+t.budgetDenials))
}

// backoff returns the pause after the given number of failed attempts.
func backoff(failures int) time.Duration {
	return initialBackoff << min(failures, maxBackoffDoublings)
}

// startHedge starts another attempt beside a slow one. It is charged to the
// hedge budget, or to the retry budget once the latest attempt is silent.
func (s *search) startHedge(ctx context.Context, i int, now time.Time) bool {
	t := &s.tasks[i]
	t.due = now.Add(s.hedgeDelay * silentDelayFactor)
	if len(t.inFlight) >= maxAttemptsInFlight || !s.front.settings.hedging {
		return false
	}
	s.buffer = s.candidates(s.buffer[:0], s.front.views.Load(), t, now)
	silent := now.Sub(t.inFlight[len(t.inFlight)-1].started) >= s.hedgeDelay*silentDelayFactor
	candidates := slices.DeleteFunc(s.buffer, func(c candidate) bool {
		return c.rating.avoided && !c.rating.cold || c.rating.saturated && !silent
	})
	if len(candidates) == 0 {
		t.due = now.Add(initialBackoff)
		return false
	}
	if !s.front.withdraw(budgetForHedge(silent)) {
		t.budgetDenials++
		t.due = now.Add(s.hedgeDelay << min(t.budgetDenials, 2))
		return false
	}
	s.front.counters.hedges.Add(1)
	s.sendAttempt(ctx, i, s.front.choose(preferred(candidates)), true, now)
	return true
}

func budgetForHedge(silent bool) budgetKind {
	if silent {
		return retryBudget
	}
	return hedgeBudget
}

// sendAttempt sends one attempt.
func (s *search) sendAttempt(ctx context.Context, i int, c candidate, hedge bool, now time.Time) {
	t := &s.tasks[i]
	a := &attempt{
		id: s.front.attemptIDs.next(s.front.views.Load()), task: i, generation: s.generation,
		upstream: c.upstream, vm: c.vm, version: s.partial.plan.version.Number, hedge: hedge, started: now,
	}
	if !slices.Contains(t.tried, c.upstream) {
		t.tried = append(t.tried, c.upstream)
	}
	t.inFlight = append(t.inFlight, a)
	t.attempts++
	s.attemptsInFlight++
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	s.explain.addAttempt(a, t.request.shard.Name)
	r := a.request(s.call, t.request)
	results := s.results
	go func() {
		e := s.front.runAttempt(attemptCtx, a, r)
		select {
		case results <- e:
		case <-ctx.Done():
			cancel()
		}
	}()
}

// recordFailure records an attempt that gave no usable reply, and schedules
// the next one.
func (s *search) recordFailure(t *task, a *attempt, e attemptResult) {
	switch r := e.result.(type) {
	case driftshard.NotRun:
		t.reason = r.Reason
		t.nextBudget = budgetAfterRefusal(r.Reason)
		t.overloaded = t.overloaded || t.nextBudget == retryBudget
		t.recordRedirect(a, r)
	case driftshard.Unknown:
		t.reason = r.Reason
		t.nextBudget = retryBudget
	}
	if len(t.inFlight) == 0 {
		t.due = e.arrived
	}
}

// recordRedirect records how to reach an upstream that this attempt did not
// reach: through the owner that the refusal names, or through a relay. The
// named owner is asked only while fewer than maxAttemptsInFlight attempts were
// made.
func (t *task) recordRedirect(a *attempt, r driftshard.NotRun) {
	switch {
	case r.Reason == driftshard.ReasonOwner && r.Owner != "" && r.Owner != a.vm && t.attempts < maxAttemptsInFlight:
		t.redirectTo = redirect{upstream: a.upstream, vm: r.Owner}
	case r.Reason == driftshard.ReasonUnreachable:
		t.relayUpstreams = append(t.relayUpstreams, a.upstream)
	}
}

// budgetAfterRefusal returns the budget for an attempt after a refusal.
// Refusals that may point to an overload charge the retry budget.
func budgetAfterRefusal(r driftshard.Reason) budgetKind {
	switch r {
	case driftshard.ReasonFull, driftshard.ReasonLate, driftshard.ReasonShed, driftshard.ReasonCold:
		return retryBudget
	default:
		return redirectBudget
	}
}
