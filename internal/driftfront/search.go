package driftfront

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// maxRestarts is how often a query may start again on another version.
const maxRestarts = 3

// search is one idempotent query while it runs. It belongs to the goroutine of
// the query.
type search struct {
	front   *Front
	call    call
	partial *partialAnswer
	tasks   []task
	// generation is the number of the current plan. Results of attempts on an
	// earlier plan are dropped.
	generation       int
	openTasks        int
	attemptsInFlight int
	mayHaveRun       bool
	// trustedSince is the time before which recorded refusals of a version are
	// ignored.
	trustedSince time.Time
	// versionLost is set once the last replica of a shard has refused the
	// version.
	versionLost bool
	hedgeDelay  time.Duration
	// wakeAt is when the search next checks for attempts that are due.
	wakeAt  time.Time
	results chan attemptResult
	// best is the partial answer with the highest coverage among the plans that
	// have ended.
	best    *partialAnswer
	explain explanation
	buffer  []candidate
}

func newSearch(f *Front, c call) *search {
	return &search{
		front: f, call: c, trustedSince: f.refusals.trustedSince(c.class.Service, c.started),
		hedgeDelay: f.latencies.row(c.class.Name).hedgeDelay(c.latencyObjective(), c.started),
		explain:    newExplanation(c),
	}
}

// run runs the search until it has an outcome.
func (s *search) run(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, _ := s.front.choosePlan(s.front.views.Load(), s.call, s.trustedSince, s.call.started)
	s.startPlan(ctx, p, s.call.started)
	timer := time.NewTimer(time.Until(s.wakeAt))
	defer timer.Stop()
	armed := s.wakeAt
	for {
		now := time.Now()
		if s.versionLost {
			s.restartIfBetter(ctx, now)
		}
		if s.finished(now) {
			return s.finish(now)
		}
		if !s.wakeAt.Equal(armed) {
			armed = s.wakeAt
			timer.Reset(time.Until(armed))
		}
		select {
		case e := <-s.results:
			s.handleResult(ctx, e)
		case now := <-timer.C:
			s.startDueAttempts(ctx, now)
		case <-ctx.Done():
			return s.finish(time.Now())
		}
	}
}

// startPlan starts the search on a plan, which replaces the one before.
func (s *search) startPlan(ctx context.Context, p plan, now time.Time) {
	s.generation++
	s.attemptsInFlight = 0
	s.openTasks = len(p.requests)
	s.partial = newPartialAnswer(s.front.checker, s.call.query.Request, p)
	s.tasks = make([]task, len(p.requests))
	if s.results == nil {
		s.results = make(chan attemptResult, len(p.requests))
	}
	first := 0
	tried := make([]string, len(p.requests)*maxAttemptsInFlight)
	inFlight := make([]*attempt, len(p.requests)*maxAttemptsInFlight)
	for i := range s.tasks {
		from, to := i*maxAttemptsInFlight, (i+1)*maxAttemptsInFlight
		s.tasks[i] = task{
			request: p.requests[i], reason: driftshard.ReasonLate,
			tried: tried[from:from:to], inFlight: inFlight[from:from:to],
		}
		if s.startIfDue(ctx, i, now) {
			first++
		}
	}
	s.front.recordFirstAttempts(first)
	s.startDueAttempts(ctx, now)
}

// recordFirstAttempts counts first attempts and adds their share to the
// budgets of extra attempts.
func (f *Front) recordFirstAttempts(first int) {
	f.counters.firstAttempts.Add(uint64(first))
	f.hedgeBudget.deposit(first)
	f.retryBudget.deposit(first)
	f.redirectBudget.deposit(first)
}

// startDueAttempts starts the attempts that are due at any shard, and sets the
// time of the next check.
func (s *search) startDueAttempts(ctx context.Context, now time.Time) {
	s.wakeAt = s.call.deadline
	objective := s.call.started.Add(s.call.class.LatencyObjective)
	if now.Before(objective) && objective.Before(s.wakeAt) {
		s.wakeAt = objective
	}
	for i := range s.tasks {
		s.startIfDue(ctx, i, now)
		if t := &s.tasks[i]; t.state == taskOpen && t.due.Before(s.wakeAt) {
			s.wakeAt = t.due
		}
	}
}

// handleResult merges the result of an attempt, or records its failure and
// starts the next attempt if one is due.
func (s *search) handleResult(ctx context.Context, e attemptResult) {
	a := e.attempt
	a.cancel()
	s.explain.recordResult(e)
	s.recordRan(e.result)
	if a.generation != s.generation {
		s.recordDropped(e, driftshard.ReasonVersion)
		return
	}
	t := &s.tasks[a.task]
	t.remove(a)
	s.attemptsInFlight--
	if t.state != taskOpen {
		return
	}
	if d, done := e.result.(driftshard.Done); done {
		reason := s.partial.rejectReason(t.request, a, d)
		if reason == "" {
			s.merge(t, a, d, e.arrived)
			return
		}
		s.recordDropped(e, reason)
		e.result = driftshard.Unknown{Reason: reason}
	}
	s.recordFailure(t, a, e)
	s.startNextAttempt(ctx, a.task, e.arrived)
}

// startNextAttempt starts the next attempt at a shard if one is due, and
// schedules the wake-up for the one after.
func (s *search) startNextAttempt(ctx context.Context, i int, now time.Time) {
	s.startIfDue(ctx, i, now)
	if t := &s.tasks[i]; t.state == taskOpen && t.due.Before(s.wakeAt) {
		s.wakeAt = t.due
	}
}

// recordRan records whether any attempt may have run.
func (s *search) recordRan(result driftshard.Result) {
	if _, refused := result.(driftshard.NotRun); !refused {
		s.mayHaveRun = true
	}
}

// recordDropped records a reply that is not merged.
func (s *search) recordDropped(e attemptResult, reason driftshard.Reason) {
	if _, done := e.result.(driftshard.Done); !done {
		return
	}
	s.front.counters.dropped.Add(1)
	s.front.events.Record(driftevent.ReplyDropped, s.call.query.Request, e.attempt.upstream,
		e.attempt.id+" "+string(reason))
}

// merge adds a reply to the answer and cancels the other attempts at its
// shard.
func (s *search) merge(t *task, a *attempt, d driftshard.Done, now time.Time) {
	s.partial.merge(a, d)
	t.latency = now.Sub(s.call.started)
	t.state = taskMerged
	s.openTasks--
	for _, loser := range t.inFlight {
		loser.cancel()
	}
}

// finished reports whether the search must return its outcome now.
func (s *search) finished(now time.Time) bool {
	switch {
	case s.openTasks == 0, !now.Before(s.call.deadline):
		return true
	case s.partial.coverage() < s.call.class.CoverageFloor:
		return s.shouldFailFast()
	}
	return !now.Before(s.call.started.Add(s.call.class.LatencyObjective))
}

// shouldFailFast reports whether nothing has run and no shard can be served:
// this VM cannot reach any, or all refuse because of load and the retry budget
// is spent. The caller gains nothing by waiting for the deadline.
func (s *search) shouldFailFast() bool {
	if s.attemptsInFlight > 0 || s.mayHaveRun || s.best != nil {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskOpen && !t.shouldFailFast() {
			return false
		}
	}
	return true
}

// shouldFailFast reports whether another attempt at the shard would fail too or
// exceed the retry budget.
func (t *task) shouldFailFast() bool {
	return t.rounds > 0 && vmIsolated(t.reason) || t.budgetDenials > 0 && t.nextBudget == retryBudget
}

// vmIsolated reports whether a reason points to a fault of this VM and not of
// the shard.
func vmIsolated(r driftshard.Reason) bool {
	switch r {
	case driftshard.ReasonUnreachable, driftshard.ReasonStale, driftshard.ReasonFenced:
		return true
	default:
		return false
	}
}

// restartIfBetter starts the query again on another version if that version is
// expected to cover more than the pinned one still can.
func (s *search) restartIfBetter(ctx context.Context, now time.Time) {
	s.versionLost = false
	if s.generation > maxRestarts || s.call.deadline.Sub(now) < s.hedgeDelay {
		return
	}
	v := s.front.views.Load()
	next, expected := s.front.choosePlan(v, s.call, s.call.started, now)
	if next.version.Number == s.partial.plan.version.Number || expected <= s.reachableCoverage() {
		return
	}
	s.front.counters.restarts.Add(1)
	s.front.events.Record(driftevent.QueryRestarted, s.call.query.Request, s.call.class.Service,
		versionChangeText(s.partial.plan.version.Number, next.version.Number))
	s.cancelAttempts()
	s.trustedSince = s.call.started
	s.startPlan(ctx, next, now)
}

// reachableCoverage returns the coverage that the pinned version can still
// reach.
func (s *search) reachableCoverage() float64 {
	g := s.partial
	if g.plan.asked == 0 {
		return 1
	}
	depots := 0
	for i := range s.tasks {
		if s.tasks[i].state != taskUnservable {
			depots += len(s.tasks[i].request.depots)
		}
	}
	return float64(depots) / float64(g.plan.asked)
}

// cancelAttempts cancels the attempts of the pinned version. It keeps the
// merged replies, in case no other version covers more.
func (s *search) cancelAttempts() {
	for i := range s.tasks {
		for _, a := range s.tasks[i].inFlight {
			a.cancel()
			s.explain.giveUp(a)
			s.mayHaveRun = true
		}
	}
	s.keepBest()
}

// keepBest keeps the merged replies if they cover at least as much as those of
// the earlier plans.
func (s *search) keepBest() {
	s.partial.missingReasons = s.partial.missingReasons[:0]
	for i := range s.tasks {
		s.partial.missingReasons = append(s.partial.missingReasons, s.tasks[i].reason)
	}
	if s.best == nil || s.partial.coverage() >= s.best.coverage() {
		s.best = s.partial
	}
}

// finish returns the answer, or a refusal if no shard was searched.
func (s *search) finish(now time.Time) Outcome {
	s.cancelAttempts()
	if s.best.mergedDepots > 0 || len(s.best.plan.requests) == 0 {
		a := s.best.answer()
		a.Time = milliseconds(now.Sub(s.call.started))
		a.Attempts = s.explain.attempts
		return Answered{Answer: a}
	}
	refused := refuse(s.call.query, s.best.commonReason())
	if s.mayHaveRun {
		refused.Refusal.Ran = driftapi.RanUnknown
	}
	if refused.Refusal.Ran == driftapi.RanNo {
		s.front.checker.NoAttemptRan(s.call.query.Request, s.mayHaveRun || s.attemptsInFlight > 0)
	}
	return refused
}

// busy reports whether most shards were slow or refused because of load, a
// sign that the fleet is overloaded.
func (s *search) busy() bool {
	slow := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.overloaded || t.latency > s.call.class.LatencyObjective/2 {
			slow++
		}
	}
	return len(s.tasks) > 0 && 2*slow >= len(s.tasks)
}
