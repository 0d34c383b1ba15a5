package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// scatter sends one query to one upstream of each of its services and gathers
// the results. One goroutine runs it; results arrive over a channel that can
// buffer all of them.
type scatter struct {
	relay    *Relay
	query    *Query
	gather   *driftroute.Gather
	requests []*shardRequest
	results  chan attemptResult
	received int
	// maxMissing is the number of parts that the answer may lack.
	maxMissing int
	extras     int
	denied     int
	refused    int
	// answerBy is when the query is answered with what there is. Stopping is closed
	// when it may have changed, and then nil.
	answerBy time.Time
	stopping <-chan struct{}
	// deferred counts the requests that are deferred, until deferredUntil if need be.
	deferred      int
	deferredUntil time.Time
	// retryAfter is when the first upstream whose rate limit is reached may get a
	// request again, 0 if none is.
	retryAfter time.Duration
	// forwardRetryAfter is when the VM that has refused the forwarded request says
	// that it may be sent again, 0 if none has.
	forwardRetryAfter time.Duration
	// limited is set if that VM says that the account has reached its limit.
	limited bool
	turns
}

type attemptResult struct {
	request *shardRequest
	attempt *attempt
	result  driftexchange.Result
}

// Timing of a scatter.
const (
	// placementInterval is how often a request retries while no upstream has
	// capacity.
	placementInterval = 4 * time.Millisecond
	// abandonedTimeout is how long an attempt whose reply is no longer needed may
	// continue, so that its connection can be reused.
	abandonedTimeout = 300 * time.Millisecond
	// suspectDuration is how long an upstream is avoided after it has not
	// answered in time; it is about as long as the published pauses.
	suspectDuration = 200 * time.Millisecond
)

func newScatter(r *Relay, q *Query) *scatter {
	s := &scatter{relay: r, query: q, answerBy: q.Deadline, stopping: r.stopping}
	var services []string
	switch target := q.Route.Target.(type) {
	case driftroute.Single:
		services = []string{target.Service}
	case driftroute.Split:
		services = []string{r.roundRobin.Next(q.Route.Name, target)}
	case driftroute.Forward:
		services = []string{forwardService}
	case driftroute.Gather:
		services = target.Shards
		s.gather = &target
		s.maxMissing = MaxMissing(len(target.Shards), target.CoverageFloor)
	}
	requests := make([]shardRequest, len(services))
	for i, service := range services {
		requests[i].service = service
		s.requests = append(s.requests, &requests[i])
	}
	s.wake = make(chan struct{}, 1)
	s.results = make(chan attemptResult, len(services)*(q.Route.MaxAttempts+maxUnsentAttempts+maxRequiredRepeats+1))
	return s
}

// maxUnsentAttempts limits the upstreams that are tried without the request
// having been sent.
const maxUnsentAttempts = 4

// run serves the query.
func (s *scatter) run(ctx context.Context) Answer {
	now := time.Now()
	defer s.endTurns()
	s.start(now)
	partialAt := s.query.partialAnswerAt()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now = time.Now()
		s.askDeferred(now)
		if answer, ok := s.tryAnswer(now, partialAt); ok {
			s.abandonAttempts(now, false)
			return s.recordAnswer(answer)
		}
		timer.Reset(s.nextWake(now, partialAt).Sub(now))
		select {
		case <-ctx.Done():
			n := s.withdraw()
			s.abandonAttempts(time.Now(), true)
			// A caller that has closed its end for writing only still reads this.
			return s.recordAnswer(refuse(n, s.relay.disconnectCause(), 0))
		case <-s.stopping:
			s.handleStop()
		case l := <-s.results:
			s.handleResult(l, time.Now())
		case <-s.wake:
			s.handleTimer(time.Now())
		case <-timer.C:
			s.handleTimer(time.Now())
		}
	}
}

func (s *scatter) start(now time.Time) {
	r := s.relay
	if s.tooManyClosed(now) {
		return
	}
	r.mu.Lock()
	for _, l := range s.requests {
		r.budget(l.service).CountRequest(now, r.rule)
		r.metrics.countSend(l.service, sendFirst)
	}
	r.mu.Unlock()
	s.deferOptional(now)
	for _, l := range s.requests {
		if !l.deferred {
			s.sendToNext(l, now)
		}
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

// sendToNext sends the request to the best upstream that it has not tried, and
// reports whether there was one.
func (s *scatter) sendToNext(l *shardRequest, now time.Time) bool {
	r := s.relay
	r.mu.Lock()
	if !s.admit(l, now) {
		r.mu.Unlock()
		return false
	}
	typical := r.typicalTime(s.query.Route)
	best, ok := s.chooseNext(l, typical, now)
	s.useTurn(l, ok, now)
	if !ok {
		hasCandidates := r.anyUsable(l.service, l.tried, now)
		next, limited := r.rateLimitsEndAt(l.service, l.tried, now)
		if limited && next.After(s.capacityWaitEnd()) {
			l.notes = append(l.notes, "rate limit reached at every upstream")
			s.retryAfter = max(s.retryAfter, next.Sub(now))
			hasCandidates = false
		}
		hasCandidates = hasCandidates || s.opensInTime(l, now)
		if hasCandidates && !l.waiting {
			l.notes = append(l.notes, "no room at any upstream")
		}
		l.waiting = hasCandidates
		l.exhausted = !l.waiting && len(l.inFlight) == 0
		if l.exhausted {
			l.notes = append(l.notes, r.noUpstreamReason(l.service, l.tried, now))
		}
		r.mu.Unlock()
		return false
	}
	l.waiting = false
	mayHaveRun := l.mayHaveRun || slices.ContainsFunc(l.inFlight, func(f *attempt) bool { return f.sent })
	f, send := r.startAttempt(s.query, best.upstream, min(best.cost, s.query.Route.LatencyObjective), len(l.tried) > 0, func(f *attempt, result driftexchange.Result) {
		s.results <- attemptResult{request: l, attempt: f, result: result}
	})
	l.tried = append(l.tried, best.upstream)
	l.inFlight = append(l.inFlight, f)
	l.hedgeDelay = HedgeDelay(s.query.Route.LatencyObjective, typical)
	l.hedgeAt = now.Add(l.hedgeDelay)
	r.mu.Unlock()
	r.checker.NoUnsafeRetry(s.query.Request.ID, !s.query.Route.Idempotent && mayHaveRun)
	send()
	return true
}

// chooseNext returns the best upstream that has not been tried and has room, or one
// where the request may be repeated. The caller holds the relay's lock.
func (s *scatter) chooseNext(l *shardRequest, typical time.Duration, now time.Time) (placement, bool) {
	w := requirements{
		repeatable:  s.gather != nil && s.query.Route.Idempotent,
		typicalTime: typical, latencyObjective: s.query.Route.LatencyObjective,
		lastAttempt: !s.query.Route.Idempotent || l.countUpstreams()+1 >= s.query.Route.MaxAttempts,
	}
	if s.mayRetry(l) {
		if best, ok := s.relay.chooseUpstream(s.query.Table, l.service, l.tried, w, now); ok {
			return best, true
		}
	}
	return s.chooseRepeat(l, w, now)
}

// handleResult records the result of an attempt, and retries if that is
// allowed.
func (s *scatter) handleResult(l attemptResult, now time.Time) {
	request := l.request
	i := slices.Index(request.inFlight, l.attempt)
	if i < 0 || request.part != nil {
		return
	}
	request.inFlight = slices.Delete(request.inFlight, i, i+1)
	if l.attempt.sent {
		request.recordSent(l.attempt)
	}
	request.recordFailedAt(l.attempt, l.result)
	switch result := l.result.(type) {
	case driftexchange.Done:
		request.mayHaveRun = true
		if result.Reply.Status >= http.StatusMultipleChoices {
			request.failure = &result.Reply
			request.addNote(l.attempt, now, fmt.Sprintf("failed with %d", result.Reply.Status))
			break
		}
		request.part, request.partAttempt = &result.Reply, l.attempt
		s.received++
		s.recordPart(request, !now.Before(s.query.partialAnswerAt()), now)
		return
	case driftexchange.Unknown:
		request.mayHaveRun = true
		request.addNote(l.attempt, now, "lost: "+result.Err.Error())
	case driftexchange.NotRun:
		s.refused++
		request.addNote(l.attempt, now, "not run: "+result.Err.Error())
		if result.Refused && isForward(s.query.Route) {
			s.handleForwardRefusal(request, result.Header, now)
		}
		if errors.Is(result.Err, errWithdrawn) {
			// It may still be the last resort.
			request.tried = slices.DeleteFunc(request.tried, func(e *upstreamState) bool { return e == l.attempt.upstream })
		}
	}
	if len(request.inFlight) == 0 && !request.exhausted {
		s.retry(request, now)
	}
}

// retry tries another upstream after a failure, if the route, the kind of
// failure and the budget allow it.
func (s *scatter) retry(l *shardRequest, now time.Time) {
	l.failedOrLate = l.failedOrLate || !l.waiting
	switch {
	case (!s.mayRetry(l) && !s.mayRepeat(l)) || !s.fits(l, now):
		l.exhausted = true
	case l.sent > 0 && !l.budgetSpent && !s.spendBudget(l, now, true):
		l.waiting = now.Before(s.capacityWaitEnd())
		l.exhausted = !l.waiting
	default:
		l.budgetSpent = !s.sendToNext(l, now)
	}
}

// capacityWaitEnd returns when a request stops waiting for its service's budget
// or for the rate limits of its upstreams. A gather, which may already have most
// of its parts, waits until its answer is due; others wait for a quarter of the
// objective, so that a refusal is not delayed.
func (s *scatter) capacityWaitEnd() time.Time {
	if s.gather != nil {
		return s.query.partialAnswerAt()
	}
	return s.query.Arrived.Add(s.query.Route.LatencyObjective / 4)
}

// mayRetry reports whether the request may go to one more upstream. Attempts in
// flight count as sent.
func (s *scatter) mayRetry(l *shardRequest) bool {
	route := s.query.Route
	if l.sent+len(l.inFlight) > 0 && l.mayHaveRun && !route.Idempotent {
		return false
	}
	return l.countUpstreams() < route.MaxAttempts && len(l.tried)-l.sent < maxUnsentAttempts
}

// spendBudget takes an extra attempt from the budget of the service.
func (s *scatter) spendBudget(l *shardRequest, now time.Time, failed bool) bool {
	r := s.relay
	priority := RetryPriorityOf(failed, s.gather != nil && s.countFailedOrLate() <= s.maxMissing)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.budget(l.service).Spend(now, r.rule, r.ledger.Part(), priority) {
		if !l.waiting {
			s.denied++
			l.notes = append(l.notes, "no budget for another")
			r.metrics.countSend(l.service, sendDenied)
		}
		return false
	}
	s.extras++
	r.metrics.countSend(l.service, sendExtra)
	return true
}

// countFailedOrLate returns the number of requests without a part that have
// failed or are late.
func (s *scatter) countFailedOrLate() int {
	n := 0
	for _, l := range s.requests {
		if l.part == nil && l.failedOrLate {
			n++
		}
	}
	return n
}

// handleTimer hedges requests that are late, and sends those that wait for
// capacity or budget.
func (s *scatter) handleTimer(now time.Time) {
	common := DelayIsCommon(len(s.requests), s.received)
	for _, l := range s.requests {
		switch {
		case !l.hedgeDue(now):
		case common && !l.postponed:
			l.postponed = true
			l.hedgeAt = now.Add(l.hedgeDelay)
		default:
			l.failedOrLate = true
		}
	}
	for _, l := range s.requests {
		switch {
		case l.part != nil || l.exhausted:
		case l.waiting && len(l.inFlight) == 0:
			s.retry(l, now)
		case l.hedgeDue(now):
			s.hedge(l, now)
		}
	}
}

// hedge sends a second attempt beside one that is late, or tries again later if no
// upstream has room. A first attempt whose connection is not open yet is abandoned
// instead.
func (s *scatter) hedge(l *shardRequest, now time.Time) {
	l.hedgeAt = time.Time{}
	r := s.relay
	first := l.inFlight[0]
	r.mu.Lock()
	sent := first.sent
	stalled := now.Sub(first.started) >= SuspectDelay(r.typicalTime(s.query.Route))
	if stalled {
		first.upstream.suspectUntil = now.Add(suspectDuration)
	}
	first.abandoned = !sent
	r.mu.Unlock()
	if stalled && !isForward(s.query.Route) {
		r.reportSuspect(first.upstream.ID, suspectDuration)
	}
	if !sent {
		l.inFlight = nil
		s.retry(l, now)
		return
	}
	switch {
	case !s.query.Route.Idempotent || (!s.mayRetry(l) && !s.mayRepeat(l)) || !s.fits(l, now):
	case s.sparesHedge(l), !s.hasRoom(l, now):
		l.hedgeAt = now.Add(l.hedgeDelay)
	case s.spendBudget(l, now, false) && s.sendToNext(l, now):
		l.hedgeAt = time.Time{}
	}
}

// nextWake returns when the scatter has to act if no result arrives.
func (s *scatter) nextWake(now, partialAt time.Time) time.Time {
	next := s.answerBy
	if s.gather != nil && now.Before(partialAt) && partialAt.Before(next) {
		next = partialAt
	}
	next = s.deferredWake(now, next)
	for _, l := range s.requests {
		if l.part != nil || l.exhausted {
			continue
		}
		interval := placementInterval
		if l.turn != nil {
			interval = s.roomRecheck()
		}
		if l.waiting && len(l.inFlight) == 0 && now.Add(interval).Before(next) {
			next = now.Add(interval)
		}
		if !l.hedgeAt.IsZero() && len(l.inFlight) == 1 && l.hedgeAt.Before(next) {
			next = l.hedgeAt
		}
	}
	return next
}
