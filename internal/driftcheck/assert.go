package driftcheck

import "time"

// OneSnapshot asserts that a merged reply has the index version that the
// answer is pinned to. Version 0 means that the answer is not pinned, which is
// a violation too.
func (c *Checker) OneSnapshot(request string, pinned, merged uint64) {
	if pinned != merged || pinned == 0 {
		c.recordViolation(Snapshot, request, "merged version %d into an answer of version %d", merged, pinned)
	}
}

// AccurateCoverage asserts that the depots that an answer reports as searched
// are those whose replies were merged, and that the searched and the missing
// depots together are those that were requested, each exactly once.
func (c *Checker) AccurateCoverage(request string, requested, searched, missing, merged []string) {
	if !sameDepots(searched, merged) {
		c.recordViolation(Coverage, request, "answer reports %d depots searched, %d were merged", len(searched), len(merged))
	}
	if !sameDepots(requested, searched, missing) {
		c.recordViolation(Coverage, request, "answer reports %d depots, %d were requested", len(searched)+len(missing), len(requested))
	}
}

// WithinColdLimit asserts that a cold upstream has no more requests in flight
// than its limit, this request included. The limit is the one that the owner
// has set; only the upstream knows how many it can really take.
func (c *Checker) WithinColdLimit(request, upstream string, inFlight, limit int) {
	if inFlight > limit {
		c.recordViolation(ColdUpstream, request, "cold upstream %s has %d in flight, limit %d", upstream, inFlight, limit)
	}
}

// WithinRateLimit asserts that this VM has sent no more requests to an upstream
// that names a rate limit than its part of it, this request included. It counts
// as ColdUpstream, the invariant on what an upstream can take.
func (c *Checker) WithinRateLimit(request, upstream string, sent, limit int) {
	if sent > limit {
		c.recordViolation(ColdUpstream, request, "upstream %s, which limits its rate, got %d requests, limit %d", upstream, sent, limit)
	}
}

// NotMarkedOut asserts that no new work goes to a failure domain or VM more
// than NewWorkGrace after outSince, when its mark was first seen. A zero
// outSince means that it is not marked out.
func (c *Checker) NotMarkedOut(request, subject string, outSince, now time.Time) {
	if !outSince.IsZero() && now.Sub(outSince) > NewWorkGrace {
		c.recordViolation(MarkedOut, request, "new work sent to %s, which has been marked out for %s", subject, now.Sub(outSince))
	}
}

// CompleteMatchingReply asserts that a merged reply answers this attempt and
// holds as many rows as the upstream announced.
func (c *Checker) CompleteMatchingReply(request, attempt, echoed string, rows, announced int) {
	if attempt != echoed {
		c.recordViolation(CompleteReply, request, "merged the reply to attempt %s as the reply to %s", echoed, attempt)
	}
	if rows != announced {
		c.recordViolation(CompleteReply, request, "merged %d rows, the upstream announced %d", rows, announced)
	}
}

// NoAttemptRan asserts that no attempt of a request that is refused as "not
// run" may have run at an upstream.
func (c *Checker) NoAttemptRan(request string, mayHaveRun bool) {
	if mayHaveRun {
		c.recordViolation(NotRun, request, "refused as not run after an attempt that may have run")
	}
}

// AtMostOnce asserts that this process dispatches a non-idempotent request no
// more than once until dispatchRetention after its deadline.
func (c *Checker) AtMostOnce(request string, deadline, now time.Time) {
	c.mu.Lock()
	seen := c.recentDispatches.recordDispatch(request, deadline, now)
	c.mu.Unlock()
	if seen {
		c.recordViolation(AtMostOnce, request, "dispatched more than once")
	}
}

// NoUnsafeRetry asserts that a non-idempotent request is not sent again after
// an attempt that may have run.
func (c *Checker) NoUnsafeRetry(request string, resent bool) {
	if resent {
		c.recordViolation(AtMostOnce, request, "sent again after an attempt that may have run")
	}
}

// NotLeaving asserts that no new work goes to an upstream more than
// NewWorkGrace after the first sign that it is leaving. A zero leavingSince
// means that there is no such sign.
func (c *Checker) NotLeaving(request, upstream string, leavingSince, now time.Time) {
	if !leavingSince.IsZero() && now.Sub(leavingSince) > NewWorkGrace {
		c.recordViolation(LeavingUpstream, request, "new work sent to %s, which has been leaving for %s", upstream, now.Sub(leavingSince))
	}
}

// DrainedAtShutdown asserts that no request is in flight at the end of a
// graceful shutdown. A negative number means that the end of a request was
// counted twice, which is a violation too.
func (c *Checker) DrainedAtShutdown(inFlight int) {
	if inFlight != 0 {
		c.recordViolation(GracefulShutdown, "", "stopped with %d requests in flight", inFlight)
	}
}

// MonotonicRevision asserts that the revision in force for a key never
// decreases.
func (c *Checker) MonotonicRevision(key string, current, next uint64) {
	if next < current {
		c.recordViolation(ConfigRevision, "", "revision of %s decreased from %d to %d", key, current, next)
	}
}
