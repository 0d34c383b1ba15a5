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

// settle returns the answer if there is one by now.
func (s *scatter) settle(now, soft time.Time) (Answer, bool) {
	if s.gather != nil {
		return s.settleGather(now, soft)
	}
	return s.settleOne(s.legs[0], !now.Before(s.query.End))
}

// settleOne settles a query that goes to one upstream.
func (s *scatter) settleOne(l *leg, late bool) (Answer, bool) {
	switch {
	case l.part != nil:
		s.checkPart(l)
		return s.pass(*l.part, CauseServed), true
	case l.over && l.failure != nil:
		return s.pass(*l.failure, CausePassed), true
	case (l.over || late) && !l.ran && l.sent == 0 && !anySent(l):
		return s.notRun(CauseNowhere), true
	case l.over && !l.ran:
		return s.notRun(CauseRefused), true
	case l.over:
		return Answer{Status: http.StatusBadGateway, Cause: CauseUnknown}, true
	case late:
		return Answer{Status: http.StatusGatewayTimeout, Cause: CauseTimeout}, true
	default:
		return Answer{}, false
	}
}

func anySent(l *leg) bool {
	for _, f := range l.flights {
		if f.sent {
			return true
		}
	}
	return false
}

func (s *scatter) notRun(cause Cause) Answer {
	ran := false
	for _, l := range s.legs {
		ran = ran || l.ran
	}
	s.relay.checker.NoAttemptRan(s.query.Request.ID, ran && !s.query.Route.Repeat)
	return refuse(cause, retrySoon)
}

func (s *scatter) settleGather(now, soft time.Time) (Answer, bool) {
	lost := 0
	for _, l := range s.legs {
		if l.over && l.part == nil {
			lost++
		}
	}
	shards := len(s.legs)
	enough := Enough(s.in, shards, s.gather.Least)
	over := !now.Before(s.query.End)
	switch {
	case s.in == shards:
		return s.merge(CauseServed), true
	case enough && (!now.Before(soft) || s.in+lost == shards || over):
		return s.merge(CausePartial), true
	case !Enough(shards-lost, shards, s.gather.Least):
		return s.notRun(CauseNowhere), true
	case over:
		return Answer{Status: http.StatusGatewayTimeout, Cause: CauseTimeout}, true
	default:
		return Answer{}, false
	}
}

// pass returns the reply of an upstream unchanged.
func (s *scatter) pass(reply driftexchange.Reply, cause Cause) Answer {
	reply.Header.Del(HopProof)
	return Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body, Cause: cause}
}

// merge returns the answer made of the parts that are in.
func (s *scatter) merge(cause Cause) Answer {
	var bodies [][]byte
	var proofs, asked, searched, missing, merged []string
	for _, l := range s.legs {
		asked = append(asked, l.service)
		if l.part == nil {
			missing = append(missing, l.service)
			continue
		}
		searched = append(searched, l.service)
		s.checkPart(l)
		merged = append(merged, l.from.entity.Service)
		bodies = append(bodies, l.part.Body)
		proofs = append(proofs, l.part.Header.Get(s.relay.headers.Proof))
	}
	s.relay.checker.AccurateCoverage(s.query.Request.ID, asked, searched, missing, merged)
	header := make(http.Header, 2)
	header.Set(s.relay.headers.Parts, strings.Join(proofs, ", "))
	header.Set(s.relay.headers.Missing, strconv.Itoa(len(missing)))
	return Answer{Status: http.StatusOK, Header: header, Body: MergeTop(bodies, s.gather.Top), Cause: cause}
}

// checkPart asserts that a part is of the version of the whole answer, that it
// answers this request, and that it is as long as the upstream announced.
func (s *scatter) checkPart(l *leg) {
	checker, id := s.relay.checker, s.query.Request.ID
	checker.OneSnapshot(id, uint64(s.query.Table.Config.Version), uint64(l.from.version))
	announced, echoed := int(l.part.Announced), l.part.Header.Get(s.relay.headers.Request)
	if announced < 0 {
		announced = len(l.part.Body)
	}
	if echoed == "" {
		echoed = id
	}
	checker.CompleteMatchingReply(id, id, echoed, len(l.part.Body), announced)
}

// abandon gives up what is still under way: at once if the caller has left,
// else after a while, so that connections are kept.
func (s *scatter) abandon(now time.Time, left bool) {
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range s.legs {
		for _, f := range l.flights {
			f.abandoned = true
			switch {
			case f.conn == nil:
			case left:
				go f.conn.Close()
			default:
				f.conn.Expire(now.Add(loserLife))
			}
		}
	}
}

// close records what became of the query.
func (s *scatter) close(a Answer) Answer {
	q := s.query
	s.relay.metrics.answer(q.Route.Name, a.Cause, time.Since(q.Arrived))
	code := driftevent.RequestServed
	if a.Cause != CauseServed {
		code = driftevent.RequestFailed
	}
	s.relay.events.Record(code, q.Request.ID, q.Route.Name, fmt.Sprintf(
		"%s status %d in %d of %d, extra %d, denied %d, refused %d, version %d, view %d ms old, took %.1f ms%s%s",
		a.Cause, a.Status, s.in, len(s.legs), s.extras, s.denied, s.refused, q.Table.Config.Version,
		s.relay.age().Milliseconds(), time.Since(q.Arrived).Seconds()*1000, s.through(), s.lacking()))
	return a
}

// lacking names the legs that lack a part, and what was tried for them.
func (s *scatter) lacking() string {
	var b strings.Builder
	now := time.Now()
	for _, l := range s.legs {
		if l.part != nil {
			continue
		}
		b.WriteString("; " + l.service + ": " + strings.Join(l.notes, ", "))
		for _, f := range l.flights {
			fmt.Fprintf(&b, " %s silent for %.0f ms", f.entity.ID, now.Sub(f.started).Seconds()*1000)
		}
	}
	return b.String()
}
