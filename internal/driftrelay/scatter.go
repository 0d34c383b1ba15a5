package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// scatter sends one query to one upstream of each of its services and gathers
// the results. One goroutine runs it; results arrive over a channel that has
// room for all of them.
type scatter struct {
	relay   *Relay
	query   *Query
	gather  *driftroute.Gather
	legs    []*leg
	results chan landed
	in      int
	// spare is the number of parts that an answer may lack.
	spare   int
	extras  int
	denied  int
	refused int
}

// leg is the part of a query that goes to one service.
type leg struct {
	service string
	tried   []*entity
	flights []*flight
	// sent counts the upstreams that the request was sent to and that may
	// have run it.
	sent int
	part *driftexchange.Reply
	// from is the flight that brought the part.
	from *flight
	// failure is the newest failure that an upstream answered with.
	failure *driftexchange.Reply
	// ran is set once the request may have run.
	ran bool
	// over is set when nothing more can be tried.
	over bool
	// waits is set while no upstream has room or the budget is spent.
	waits bool
	// paid is set while an extra send was taken from the budget and has found
	// no room.
	paid bool
	// troubled is set once the leg has failed or been late.
	troubled bool
	// notes tell what went wrong, for the log.
	notes   []string
	hedgeAt time.Time
}

type landed struct {
	leg    *leg
	flight *flight
	result driftexchange.Result
}

// Times of a scatter.
const (
	// retryPlace is how often a leg that found no room looks again.
	retryPlace = 4 * time.Millisecond
	// loserLife is how long a request whose answer is no longer needed may
	// go on, so that its connection is kept.
	loserLife = 300 * time.Millisecond
	// suspectSpan is how long an upstream is avoided after it has not
	// answered in time; it is about as long as the published pauses.
	suspectSpan = 200 * time.Millisecond
)

func newScatter(r *Relay, q *Query) *scatter {
	s := &scatter{relay: r, query: q}
	var services []string
	switch target := q.Route.Target.(type) {
	case driftroute.Single:
		services = []string{target.Service}
	case driftroute.Split:
		services = []string{r.spread.Next(q.Route.Name, target)}
	case driftroute.Hop:
		services = []string{hopService}
	case driftroute.Gather:
		services = target.Shards
		s.gather = &target
		s.spare = Spare(len(target.Shards), target.Least)
	}
	legs := make([]leg, len(services))
	for i, service := range services {
		legs[i].service = service
		s.legs = append(s.legs, &legs[i])
	}
	s.results = make(chan landed, len(services)*(q.Route.Attempts+maxUnsent+1))
	return s
}

// maxUnsent bounds the upstreams that a leg tries without having sent to
// them.
const maxUnsent = 4

// run serves the query.
func (s *scatter) run(ctx context.Context) Answer {
	now := time.Now()
	s.start(now)
	soft := s.query.due()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now = time.Now()
		if answer, ok := s.settle(now, soft); ok {
			s.abandon(now, false)
			return s.close(answer)
		}
		timer.Reset(s.wake(now, soft).Sub(now))
		select {
		case <-ctx.Done():
			s.abandon(time.Now(), true)
			return s.close(Answer{Status: http.StatusServiceUnavailable, Cause: CauseLeft})
		case l := <-s.results:
			s.take(l, time.Now())
		case <-timer.C:
			s.advance(time.Now())
		}
	}
}

func (s *scatter) start(now time.Time) {
	r := s.relay
	r.mu.Lock()
	for _, l := range s.legs {
		r.budget(l.service).Request(now, r.rule)
		r.metrics.send(l.service, sendFirst)
	}
	r.mu.Unlock()
	for _, l := range s.legs {
		s.try(l, now)
	}
}

// budget returns the budget of a service. The caller holds the lock.
func (r *Relay) budget(service string) *Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = new(Budget)
		r.budgets[service] = b
	}
	return b
}

// try sends the request of a leg to the best upstream that it has not tried.
// It reports whether there was one.
func (s *scatter) try(l *leg, now time.Time) bool {
	r := s.relay
	r.mu.Lock()
	typical := r.typical(s.query.Route)
	best, ok := r.place(s.query.Table, l.service, l.tried, want{
		typical: typical, aim: s.query.Route.Aim,
		last: !s.query.Route.Repeat || l.sent+len(l.flights)+1 >= s.query.Route.Attempts,
	}, now)
	if !ok {
		waits := r.anyUsable(l.service, l.tried, now)
		if waits && !l.waits {
			l.notes = append(l.notes, "no room at any upstream")
		}
		l.waits = waits
		l.over = !l.waits && len(l.flights) == 0
		if l.over {
			l.notes = append(l.notes, r.whyNone(l.service, l.tried, now))
		}
		r.mu.Unlock()
		return false
	}
	l.waits = false
	again := l.ran || anySent(l)
	f, send := r.launch(s.query, best.entity, min(best.cost, s.query.Route.Aim), func(f *flight, result driftexchange.Result) {
		s.results <- landed{leg: l, flight: f, result: result}
	})
	l.tried = append(l.tried, best.entity)
	l.flights = append(l.flights, f)
	l.hedgeAt = now.Add(HedgeDelay(s.query.Route.Aim, typical))
	r.mu.Unlock()
	r.checker.NoUnsafeRetry(s.query.Request.ID, !s.query.Route.Repeat && again)
	send()
	return true
}

// anyUsable reports whether an upstream of the service may get work once it
// has room. The caller holds the lock.
func (r *Relay) anyUsable(service string, tried []*entity, now time.Time) bool {
	for _, e := range r.of(service) {
		if !slices.Contains(tried, e) && e.usable(now, r.out[e.Domain]) {
			return true
		}
	}
	return false
}

// take notes the result of a flight, and tries again where that is allowed.
func (s *scatter) take(l landed, now time.Time) {
	leg := l.leg
	i := slices.Index(leg.flights, l.flight)
	if i < 0 || leg.part != nil {
		return
	}
	leg.flights = slices.Delete(leg.flights, i, i+1)
	if l.flight.sent {
		leg.sent++
	}
	switch result := l.result.(type) {
	case driftexchange.Done:
		leg.ran = true
		if result.Reply.Status >= http.StatusMultipleChoices {
			leg.failure = &result.Reply
			leg.note(l.flight, now, fmt.Sprintf("failed with %d", result.Reply.Status))
			break
		}
		leg.part, leg.from = &result.Reply, l.flight
		s.in++
		return
	case driftexchange.Unknown:
		leg.ran = true
		leg.note(l.flight, now, "lost: "+result.Err.Error())
	case driftexchange.NotRun:
		s.refused++
		leg.note(l.flight, now, "not run: "+result.Err.Error())
	}
	if len(leg.flights) == 0 {
		s.again(leg, now)
	}
}

// note records what became of a flight.
func (l *leg) note(f *flight, now time.Time, what string) {
	l.notes = append(l.notes, fmt.Sprintf("%s %s after %.0f ms", f.entity.ID, what, now.Sub(f.started).Seconds()*1000))
}

// again tries another upstream after a failure, if route, kind and budget
// allow it.
func (s *scatter) again(l *leg, now time.Time) {
	l.troubled = l.troubled || !l.waits
	switch {
	case !s.mayTry(l):
		l.over = true
	case l.sent > 0 && !l.paid && !s.spend(l, now, true):
		l.waits = now.Before(s.budgetUntil())
		l.over = !l.waits
	default:
		l.paid = !s.try(l, now)
	}
}

// budgetUntil returns until when a leg waits for its service's budget: a
// gather, most of whose work is done, until its answer is due, others for a
// quarter of the objective, so that a refusal is not held back.
func (s *scatter) budgetUntil() time.Time {
	if s.gather != nil {
		return s.query.due()
	}
	return s.query.Arrived.Add(s.query.Route.Aim / 4)
}

// mayTry reports whether the request of a leg may go to one more upstream.
// Requests that are under way count as sent.
func (s *scatter) mayTry(l *leg) bool {
	route := s.query.Route
	sent := l.sent + len(l.flights)
	if sent > 0 && l.ran && !route.Repeat {
		return false
	}
	return sent < route.Attempts && len(l.tried)-l.sent < maxUnsent
}

// spend takes an extra send from the budget of the leg's service.
func (s *scatter) spend(l *leg, now time.Time, failed bool) bool {
	r := s.relay
	need := NeedOf(failed, s.gather != nil && s.troubled() <= s.spare)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.budget(l.service).Spend(now, r.rule, r.budgetShare(now), need) {
		if !l.waits {
			s.denied++
			l.notes = append(l.notes, "no budget for another")
			r.metrics.send(l.service, sendDenied)
		}
		return false
	}
	s.extras++
	r.metrics.send(l.service, sendExtra)
	return true
}

// troubled returns the number of legs that have failed or are late.
func (s *scatter) troubled() int {
	n := 0
	for _, l := range s.legs {
		if l.part == nil && l.troubled {
			n++
		}
	}
	return n
}

// advance hedges legs that are late and places those that found no room.
func (s *scatter) advance(now time.Time) {
	for _, l := range s.legs {
		if l.late(now) {
			l.troubled = true
		}
	}
	for _, l := range s.legs {
		switch {
		case l.part != nil || l.over:
		case l.waits && len(l.flights) == 0:
			s.again(l, now)
		case l.late(now):
			s.hedge(l, now)
		}
	}
}

// late reports whether the only request of the leg is due for a hedge.
func (l *leg) late(now time.Time) bool {
	return l.part == nil && !l.over && len(l.flights) == 1 && !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt)
}

// hedge sends a second request beside one that is late. A first one whose
// connection is not open yet is given up instead.
func (s *scatter) hedge(l *leg, now time.Time) {
	l.hedgeAt = time.Time{}
	r := s.relay
	first := l.flights[0]
	r.mu.Lock()
	sent := first.sent
	stalled := now.Sub(first.started) >= SuspectDelay(r.typical(s.query.Route))
	if stalled {
		first.entity.suspectTo = now.Add(suspectSpan)
	}
	first.abandoned = !sent
	r.mu.Unlock()
	if stalled && !isHop(s.query.Route) {
		r.tell(first.entity.ID, suspectSpan)
	}
	if !sent {
		l.flights = nil
		s.again(l, now)
		return
	}
	if s.query.Route.Repeat && s.mayTry(l) && s.spend(l, now, false) && s.try(l, now) {
		l.hedgeAt = time.Time{}
	}
}

// wake returns when the scatter has to look again without a result.
func (s *scatter) wake(now, soft time.Time) time.Time {
	next := s.query.End
	if s.gather != nil && now.Before(soft) && soft.Before(next) {
		next = soft
	}
	for _, l := range s.legs {
		if l.part != nil || l.over {
			continue
		}
		if l.waits && len(l.flights) == 0 && now.Add(retryPlace).Before(next) {
			next = now.Add(retryPlace)
		}
		if !l.hedgeAt.IsZero() && len(l.flights) == 1 && l.hedgeAt.Before(next) {
			next = l.hedgeAt
		}
	}
	return next
}
