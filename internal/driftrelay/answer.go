package driftrelay

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// tryAnswer returns the answer to the query if it can be given now.
func (s *scatter) tryAnswer(now, partialAt time.Time) (Answer, bool) {
	if s.gather != nil {
		return s.tryAnswerGather(now, partialAt)
	}
	return s.tryAnswerSingle(s.requests[0], !now.Before(s.answerBy))
}

// tryAnswerSingle returns the answer to a query for one upstream if it can be
// given now.
func (s *scatter) tryAnswerSingle(l *shardRequest, deadlinePassed bool) (Answer, bool) {
	switch {
	case l.part != nil:
		s.checkPart(l)
		return s.passThrough(*l.part, CauseServed), true
	case l.exhausted && l.failure != nil:
		return s.passFailure(*l.failure), true
	case l.exhausted || deadlinePassed:
		return s.endSingle(l, deadlinePassed), true
	default:
		return Answer{}, false
	}
}

// endSingle returns the answer to a query for one upstream that has none, and for
// which nothing more is done.
func (s *scatter) endSingle(l *shardRequest, deadlinePassed bool) Answer {
	n := s.withdraw()
	switch {
	case s.limited && n.Proven():
		return refuseLimited(n, s.forwardRetryAfter)
	case n.evidence == neverSent:
		return s.refuseNotRun(n, s.endCause(l.stopped, deadlinePassed, s.roomCause(CauseNoUpstream)))
	case n.Proven():
		return s.refuseNotRun(n, s.endCause(l.stopped, deadlinePassed, CauseRefused))
	case l.exhausted:
		return Answer{Status: http.StatusBadGateway, Cause: s.endCause(l.stopped, deadlinePassed, CauseUnknown)}
	default:
		return Answer{Status: http.StatusGatewayTimeout, Cause: s.endCause(l.stopped, true, CauseTimeout)}
	}
}

// refuseNotRun refuses the query. Without the proof that it has not run, the answer
// says no more than when to try again.
func (s *scatter) refuseNotRun(n NotRun, cause Cause) Answer {
	mayHaveRun := false
	for _, l := range s.requests {
		mayHaveRun = mayHaveRun || l.mayHaveRun
	}
	s.relay.checker.NoAttemptRan(s.query.Request.ID, n.Proven() && mayHaveRun)
	if cause == CauseStopping {
		return refuse(n, cause, s.relay.stopRetryAfter())
	}
	if s.forwardRetryAfter > 0 {
		return refuse(n, cause, s.forwardRetryAfter)
	}
	// Another VM may have room before this one.
	return refuse(n, cause, max(retrySoon, min(s.retryAfter, retryOverload), s.returnDelay(time.Now()), s.roomReturnDelay()))
}

func (s *scatter) tryAnswerGather(now, partialAt time.Time) (Answer, bool) {
	failed := 0
	for _, l := range s.requests {
		if l.exhausted && l.part == nil {
			failed++
		}
	}
	shards := len(s.requests)
	covered := CoverageReached(s.received, shards, s.gather.CoverageFloor)
	deadlinePassed := !now.Before(s.answerBy)
	switch {
	case s.received == shards:
		return s.mergeParts(CauseServed), true
	case covered && (!now.Before(partialAt) || s.received+failed+s.deferred == shards || deadlinePassed):
		return s.mergeParts(CausePartial), true
	case !CoverageReached(shards-failed, shards, s.gather.CoverageFloor):
		return s.refuseNotRun(s.withdraw(), s.endCause(s.anyStopped(), false, s.roomCause(CauseNoUpstream))), true
	case deadlinePassed:
		return s.endGather(), true
	default:
		return Answer{}, false
	}
}

// endGather returns the answer to a gather that has too few parts at its deadline.
func (s *scatter) endGather() Answer {
	cause := s.endCause(false, true, CauseTimeout)
	if n := s.withdraw(); n.Proven() {
		return s.refuseNotRun(n, cause)
	}
	return Answer{Status: http.StatusGatewayTimeout, Cause: cause}
}

// passThrough returns the reply of an upstream unchanged.
func (s *scatter) passThrough(reply driftexchange.Reply, cause Cause) Answer {
	for _, name := range []string{ForwardHeader, forwardNotRunHeader, forwardLoadHeader} {
		reply.Header.Del(name)
	}
	a := Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Cause: cause, heldBytes: len(reply.Body)}
	if s.query.Request.Method == http.MethodHead {
		a.Omitted = reply.ContentLength
	}
	return a
}

// passFailure returns the failure of an upstream unchanged, unless that would
// promise to the caller what the upstream has not promised.
func (s *scatter) passFailure(reply driftexchange.Reply) Answer {
	if IsPromise(reply.Status) && !s.query.Route.Idempotent {
		return refuse(NotRun{}, CauseUnknown, 0)
	}
	a := s.passThrough(reply, CausePassed)
	a.ofUpstream = true
	// Others may serve the caller before the upstream wants to be asked again.
	if turnsAway(reply.Status) && reply.Header.Get(s.relay.headers.RetryAfter) != "" && !isForward(s.query.Route) {
		a.RetryAfter = max(retrySoon, s.returnDelay(time.Now()))
	}
	return a
}

// mergeParts returns the answer merged from the parts received so far.
func (s *scatter) mergeParts(cause Cause) Answer {
	var bodies [][]byte
	var signatures, requested, searched, missing, merged []string
	for _, l := range s.requests {
		requested = append(requested, l.service)
		if l.part == nil {
			missing = append(missing, l.service)
			continue
		}
		searched = append(searched, l.service)
		s.checkPart(l)
		merged = append(merged, l.partAttempt.upstream.Service)
		bodies = append(bodies, l.part.Body)
		signatures = append(signatures, l.part.Header.Get(s.relay.headers.Signature))
	}
	s.relay.checker.AccurateCoverage(s.query.Request.ID, requested, searched, missing, merged)
	header := make(http.Header, 2)
	header.Set(s.relay.headers.PartSignatures, strings.Join(signatures, ", "))
	header.Set(s.relay.headers.MissingParts, strconv.Itoa(len(missing)))
	return Answer{Status: http.StatusOK, Header: header, Body: MergeTop(bodies, s.gather.TopK), Cause: cause}
}

// checkPart checks that a part has the version of the whole answer, belongs to
// this request and is as long as announced.
func (s *scatter) checkPart(l *shardRequest) {
	checker, id := s.relay.checker, s.query.Request.ID
	checker.OneSnapshot(id, uint64(s.query.Table.Config.Version), uint64(l.partAttempt.version))
	announced, echoed := int(l.part.ContentLength), l.part.Header.Get(s.relay.headers.Request)
	if announced < 0 || s.query.Request.Method == http.MethodHead {
		announced = len(l.part.Body)
	}
	if echoed == "" {
		echoed = id
	}
	checker.CompleteMatchingReply(id, id, echoed, len(l.part.Body), announced)
}

// abandonAttempts gives up the attempts in flight: at once if the caller has
// left, otherwise after a delay, so that connections can be reused. Results that have
// not been handled may still be among them, and their connections in use again.
func (s *scatter) abandonAttempts(now time.Time, callerLeft bool) {
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range s.requests {
		for _, f := range l.inFlight {
			f.abandoned = true
			switch {
			case f.exchange == nil:
			case callerLeft:
				go f.exchange.Abort()
			default:
				f.exchange.Expire(now.Add(abandonedTimeout))
			}
		}
	}
}

// recordAnswer records the answer in the metrics and the event log and returns
// it.
func (s *scatter) recordAnswer(a Answer) Answer {
	q := s.query
	s.relay.releaseReplies(q, a)
	s.recordLateParts(time.Now())
	s.relay.recordTime(q, a.Cause, time.Now())
	s.relay.metrics.observeAnswer(q.Route.Name, a.Cause, time.Since(q.Arrived))
	code := driftevent.RequestServed
	if a.Cause != CauseServed {
		code = driftevent.RequestFailed
	}
	s.relay.events.Record(code, q.Request.ID, q.Route.Name, fmt.Sprintf(
		"%s status %d in %d of %d, extra %d, denied %d, refused %d, version %d, view %d ms old, took %.1f ms%s%s",
		a.Cause, a.Status, s.received, len(s.requests), s.extras, s.denied, s.refused, q.Table.Config.Version,
		s.relay.viewAge().Milliseconds(), time.Since(q.Arrived).Seconds()*1000, s.forwardDetail(), s.missingDetail()))
	return a
}

// missingDetail describes the services without a part, and the attempts made
// for them.
func (s *scatter) missingDetail() string {
	var b strings.Builder
	now := time.Now()
	for _, l := range s.requests {
		if l.part != nil {
			continue
		}
		b.WriteString("; " + l.service + ": " + strings.Join(l.notes, ", "))
		for _, f := range l.inFlight {
			fmt.Fprintf(&b, " %s silent for %.0f ms", f.upstream.ID, now.Sub(f.started).Seconds()*1000)
		}
	}
	return b.String()
}
