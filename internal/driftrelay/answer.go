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
		return s.passThrough(*l.failure, CausePassed), true
	case (l.exhausted || deadlinePassed) && !l.mayHaveRun && l.sent == 0 && !anyAttemptSent(l):
		return s.refuseNotRun(s.endCause(l.stopped, deadlinePassed, CauseNoUpstream)), true
	case l.exhausted && !l.mayHaveRun:
		return s.refuseNotRun(s.endCause(l.stopped, deadlinePassed, CauseRefused)), true
	case l.exhausted:
		return Answer{Status: http.StatusBadGateway, Cause: s.endCause(l.stopped, deadlinePassed, CauseUnknown)}, true
	case deadlinePassed:
		return Answer{Status: http.StatusGatewayTimeout, Cause: s.endCause(l.stopped, true, CauseTimeout)}, true
	default:
		return Answer{}, false
	}
}

func anyAttemptSent(l *shardRequest) bool {
	for _, f := range l.inFlight {
		if f.sent {
			return true
		}
	}
	return false
}

func (s *scatter) refuseNotRun(cause Cause) Answer {
	mayHaveRun := false
	for _, l := range s.requests {
		mayHaveRun = mayHaveRun || l.mayHaveRun
	}
	s.relay.checker.NoAttemptRan(s.query.Request.ID, mayHaveRun && !s.query.Route.Idempotent)
	if cause == CauseStopping {
		return refuse(cause, retryElsewhere)
	}
	// Another VM may have room before this one.
	return refuse(cause, max(retrySoon, min(s.retryAfter, retryOverload), s.returnDelay(time.Now())))
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
	case covered && (!now.Before(partialAt) || s.received+failed == shards || deadlinePassed):
		return s.mergeParts(CausePartial), true
	case !CoverageReached(shards-failed, shards, s.gather.CoverageFloor):
		return s.refuseNotRun(CauseNoUpstream), true
	case deadlinePassed:
		return Answer{Status: http.StatusGatewayTimeout, Cause: s.endCause(false, true, CauseTimeout)}, true
	default:
		return Answer{}, false
	}
}

// passThrough returns the reply of an upstream unchanged, but for the time after which
// it wants to be asked again: others may serve the caller before that.
func (s *scatter) passThrough(reply driftexchange.Reply, cause Cause) Answer {
	reply.Header.Del(ForwardHeader)
	a := Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Cause: cause, heldBytes: len(reply.Body)}
	if reply.Status == http.StatusServiceUnavailable && reply.Header.Get(s.relay.headers.RetryAfter) != "" && !isForward(s.query.Route) {
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
	if announced < 0 {
		announced = len(l.part.Body)
	}
	if echoed == "" {
		echoed = id
	}
	checker.CompleteMatchingReply(id, id, echoed, len(l.part.Body), announced)
}

// abandonAttempts gives up the attempts in flight: at once if the caller has
// left, otherwise after a delay, so that connections can be reused.
func (s *scatter) abandonAttempts(now time.Time, callerLeft bool) {
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range s.requests {
		for _, f := range l.inFlight {
			f.abandoned = true
			switch {
			case f.conn == nil:
			case callerLeft:
				go f.conn.Close()
			default:
				f.conn.Expire(now.Add(abandonedTimeout))
			}
		}
	}
}

// recordAnswer records the answer in the metrics and the event log and returns
// it.
func (s *scatter) recordAnswer(a Answer) Answer {
	q := s.query
	s.relay.releaseReplies(q, a)
	if a.Cause != CauseStopping && a.Cause != CauseCutOff {
		s.relay.recordTime(q, time.Now())
	}
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
