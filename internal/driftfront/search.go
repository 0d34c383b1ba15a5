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

// search is one idempotent query while it runs. It belongs to the goroutine
// of the query.
type search struct {
	front      *Front
	call       call
	gather     *gather
	tasks      []task
	generation int
	open       int
	live       int
	ran        bool
	// since is the moment from which on refusals of a version are believed.
	since time.Time
	// refused is set once the last replica of a shard refused the version.
	refused bool
	delay   time.Duration
	wake    time.Time
	results chan ended
	best    *gather
	explain explanation
	buffer  []candidate
}

func newSearch(f *Front, c call) *search {
	return &search{
		front: f, call: c, since: f.refusals.since(c.class.Service, c.started),
		delay:   f.latencies.row(c.class.Name).delay(c.latencyObjective(), c.started),
		explain: newExplanation(c),
	}
}

// run runs the search to its end.
func (s *search) run(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, _ := s.front.choosePlan(s.front.views.Load(), s.call, s.since, s.call.started)
	s.pin(ctx, p, s.call.started)
	timer := time.NewTimer(time.Until(s.wake))
	defer timer.Stop()
	armed := s.wake
	for {
		now := time.Now()
		if s.refused {
			s.reconsider(ctx, now)
		}
		if s.over(now) {
			return s.finish(now)
		}
		if !s.wake.Equal(armed) {
			armed = s.wake
			timer.Reset(time.Until(armed))
		}
		select {
		case e := <-s.results:
			s.end(ctx, e)
		case now := <-timer.C:
			s.scan(ctx, now)
		case <-ctx.Done():
			return s.finish(time.Now())
		}
	}
}

// pin starts the search on a plan, in place of the one before.
func (s *search) pin(ctx context.Context, p plan, now time.Time) {
	s.generation++
	s.live = 0
	s.open = len(p.parts)
	s.gather = newGather(s.front.checker, s.call.query.Request, p)
	s.tasks = make([]task, len(p.parts))
	if s.results == nil {
		s.results = make(chan ended, len(p.parts))
	}
	first := 0
	tried := make([]string, len(p.parts)*maxLive)
	live := make([]*attempt, len(p.parts)*maxLive)
	for i := range s.tasks {
		from, to := i*maxLive, (i+1)*maxLive
		s.tasks[i] = task{
			part: p.parts[i], reason: driftshard.ReasonLate,
			tried: tried[from:from:to], live: live[from:from:to],
		}
		if s.advance(ctx, i, now) {
			first++
		}
	}
	s.front.earn(first)
	s.scan(ctx, now)
}

// earn fills the budgets of extra attempts by first attempts.
func (f *Front) earn(first int) {
	f.counters.firstAttempts.Add(uint64(first))
	f.hedgeBudget.earn(first)
	f.retryBudget.earn(first)
	f.redirectBudget.earn(first)
}

// scan starts what is due in any shard, and sets when to scan again.
func (s *search) scan(ctx context.Context, now time.Time) {
	s.wake = s.call.deadline
	target := s.call.started.Add(s.call.class.Fast)
	if now.Before(target) && target.Before(s.wake) {
		s.wake = target
	}
	for i := range s.tasks {
		s.advance(ctx, i, now)
		if t := &s.tasks[i]; t.state == open && t.due.Before(s.wake) {
			s.wake = t.due
		}
	}
}

// end takes the result of an attempt and starts what follows from it.
func (s *search) end(ctx context.Context, e ended) {
	a := e.attempt
	a.cancel()
	s.explain.closeAttempt(e)
	s.noteRan(e.result)
	if a.generation != s.generation {
		s.drop(e, driftshard.ReasonVersion)
		return
	}
	t := &s.tasks[a.task]
	t.remove(a)
	s.live--
	if t.state != open {
		return
	}
	if d, done := e.result.(driftshard.Done); done {
		reason := s.gather.check(t.part, a, d)
		if reason == "" {
			s.merge(t, a, d, e.now)
			return
		}
		s.drop(e, reason)
		e.result = driftshard.Unknown{Reason: reason}
	}
	s.fail(t, a, e)
	s.follow(ctx, a.task, e.now)
}

// follow starts the next attempt at a shard if one is due, and sees to it
// that the search wakes up for the one after.
func (s *search) follow(ctx context.Context, i int, now time.Time) {
	s.advance(ctx, i, now)
	if t := &s.tasks[i]; t.state == open && t.due.Before(s.wake) {
		s.wake = t.due
	}
}

// noteRan notes whether any attempt may have run.
func (s *search) noteRan(result driftshard.Result) {
	if _, refused := result.(driftshard.NotRun); !refused {
		s.ran = true
	}
}

// drop counts a reply that is not merged.
func (s *search) drop(e ended, reason driftshard.Reason) {
	if _, done := e.result.(driftshard.Done); !done {
		return
	}
	s.front.counters.dropped.Add(1)
	s.front.events.Record(driftevent.ReplyDropped, s.call.query.Request, e.attempt.upstream,
		e.attempt.id+" "+string(reason))
}

// merge adds a reply to the answer and ends the other attempts at its shard.
func (s *search) merge(t *task, a *attempt, d driftshard.Done, now time.Time) {
	s.gather.merge(a, d)
	t.took = now.Sub(s.call.started)
	t.state = whole
	s.open--
	for _, loser := range t.live {
		loser.cancel()
	}
}

// over reports whether the search has reached its end.
func (s *search) over(now time.Time) bool {
	switch {
	case s.open == 0, !now.Before(s.call.deadline):
		return true
	case s.gather.coverage() < s.call.class.Whole:
		return s.stranded()
	}
	return !now.Before(s.call.started.Add(s.call.class.Fast))
}

// stranded reports whether nothing has run and no shard can be had: this VM
// reaches none, or all refuse under load and the budget of retries is spent.
// The caller then does better to know it at once.
func (s *search) stranded() bool {
	if s.live > 0 || s.ran || s.best != nil {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == open && !t.stranded() {
			return false
		}
	}
	return true
}

// stranded reports whether trying again at the shard makes no sense now.
func (t *task) stranded() bool {
	return t.rounds > 0 && secluded(t.reason) || t.denials > 0 && t.last == heavy
}

// secluded reports whether a reason says that this VM, not the shard, is
// cut off.
func secluded(r driftshard.Reason) bool {
	switch r {
	case driftshard.ReasonUnreachable, driftshard.ReasonStale, driftshard.ReasonFenced:
		return true
	default:
		return false
	}
}

// reconsider starts the query again on another version if that one is
// expected to cover more than the pinned one still can.
func (s *search) reconsider(ctx context.Context, now time.Time) {
	s.refused = false
	if s.generation > maxRestarts || s.call.deadline.Sub(now) < s.delay {
		return
	}
	v := s.front.views.Load()
	next, expected := s.front.choosePlan(v, s.call, s.call.started, now)
	if next.version.Number == s.gather.plan.version.Number || expected <= s.possible() {
		return
	}
	s.front.counters.restarts.Add(1)
	s.front.events.Record(driftevent.QueryRestarted, s.call.query.Request, s.call.class.Service,
		versionChangeText(s.gather.plan.version.Number, next.version.Number))
	s.abandon()
	s.since = s.call.started
	s.pin(ctx, next, now)
}

// possible returns the coverage that the pinned version can still reach.
func (s *search) possible() float64 {
	g := s.gather
	if g.plan.asked == 0 {
		return 1
	}
	depots := 0
	for i := range s.tasks {
		if s.tasks[i].state != hopeless {
			depots += len(s.tasks[i].part.depots)
		}
	}
	return float64(depots) / float64(g.plan.asked)
}

// abandon ends the attempts of the pinned version and keeps what it has
// gathered, in case no other version gathers more.
func (s *search) abandon() {
	for i := range s.tasks {
		for _, a := range s.tasks[i].live {
			a.cancel()
			s.explain.giveUp(a)
			s.ran = true
		}
	}
	s.keep()
}

// keep makes the gathered replies the best if they cover the most.
func (s *search) keep() {
	s.gather.reasons = s.gather.reasons[:0]
	for i := range s.tasks {
		s.gather.reasons = append(s.gather.reasons, s.tasks[i].reason)
	}
	if s.best == nil || s.gather.coverage() >= s.best.coverage() {
		s.best = s.gather
	}
}

// finish returns the answer, or a refusal if no shard was searched.
func (s *search) finish(now time.Time) Outcome {
	s.abandon()
	if s.best.merged > 0 || len(s.best.plan.parts) == 0 {
		a := s.best.answer()
		a.Time = milliseconds(now.Sub(s.call.started))
		a.Attempts = s.explain.attempts
		return Answered{Answer: a}
	}
	refused := refuse(s.call.query, s.best.commonReason())
	if s.ran {
		refused.Refusal.Ran = driftapi.RanUnknown
	}
	if refused.Refusal.Ran == driftapi.RanNo {
		s.front.checker.TrulyNotRun(s.call.query.Request, s.ran || s.live > 0)
	}
	return refused
}

// busy reports whether most shards were slow or refused under load, a sign
// that the fleet has more work than it can do.
func (s *search) busy() bool {
	slow := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.loaded || t.took > s.call.class.Fast/2 {
			slow++
		}
	}
	return len(s.tasks) > 0 && 2*slow >= len(s.tasks)
}
