package driftrelay

import (
	"net/http"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// Promises: the statuses 408, 421, 429 and 503 tell a caller that its request has
// not run and never will, so that it may be sent again although it may run only
// once. Only refuse answers with one of them, and only with a proof. Failures of
// upstreams are passed on with such a status only to callers that may repeat the
// request in any case (docs/decisions/promises.md).

// NotRun is the proof that a request has run at no upstream and never will. The
// zero value proves nothing.
type NotRun struct{ evidence evidence }

// evidence is what a NotRun is based on.
type evidence int

const (
	// noEvidence is that of a request that may have run.
	noEvidence evidence = iota
	// neverSent is that of a request that was sent to no upstream.
	neverSent
	// alwaysRefused is that of a request that every upstream it was sent to has
	// refused with a promise of its own.
	alwaysRefused
)

// Proven reports whether the request has certainly not run.
func (n NotRun) Proven() bool { return n.evidence != noEvidence }

// IsPromise reports whether a status promises that the request has not run.
func IsPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// turnsAway reports whether an upstream that replies with the status may name a time
// for which it wants no requests.
func turnsAway(status int) bool { return status == http.StatusServiceUnavailable }

// Kept returns the answer as it may be written: one that promises without a proof
// is replaced by one that promises nothing. The failure of an upstream, to a
// request that may run again, is left as it is.
func (a Answer) Kept() Answer {
	if IsPromise(a.Status) && !a.NotRun.Proven() && !a.ofUpstream {
		return Answer{Status: http.StatusBadGateway, Cause: a.Cause}
	}
	return a
}

// refuse returns the refusal of a request. Without the proof that it has not run,
// the answer promises nothing.
func refuse(n NotRun, cause Cause, retry time.Duration) Answer {
	a := Answer{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: retry, NotRun: n}
	if !n.Proven() {
		a.Status = http.StatusBadGateway
	}
	return a
}

// refuseLimited refuses a request beyond the limit of its account. Without the
// proof that it has not run, the answer promises nothing.
func refuseLimited(n NotRun, retry time.Duration) Answer {
	a := refuse(n, CauseLimit, retry)
	if n.Proven() {
		a.Status = http.StatusTooManyRequests
	}
	return a
}

// RefuseUnread refuses a request for whose body the VM has no room. As the body was not
// read to its end, no upstream was sent it.
func (r *Relay) RefuseUnread(request *driftexchange.Request) Answer {
	return r.refuseUnrouted(request, CauseNoRoom, retryOverload)
}

// withdraw gives up the attempts whose request was not sent yet, and returns the
// proof that the query has not run, if there is one. Both are done under one lock,
// so that no attempt is sent after the proof was made.
func (s *scatter) withdraw() NotRun {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	n := NotRun{neverSent}
	mayHaveRun := false
	for _, l := range s.requests {
		mayHaveRun = mayHaveRun || l.mayHaveRun
		if l.sent > 0 {
			n = NotRun{alwaysRefused}
		}
		for _, f := range l.inFlight {
			mayHaveRun = mayHaveRun || f.sent
			f.abandoned = f.abandoned || !f.sent
		}
	}
	if mayHaveRun {
		return NotRun{}
	}
	return n
}
