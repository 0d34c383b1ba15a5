package driftcheck

import "time"

// OneSnapshot asserts that a merged reply has the version that the answer is
// pinned to. Version 0 is none: an answer must be pinned to one.
func (c *Checker) OneSnapshot(request string, pinned, merged uint64) {
	if pinned != merged || pinned == 0 {
		c.violate(Snapshot, request, "merged version %d into an answer of version %d", merged, pinned)
	}
}

// AccurateCoverage asserts that the depots that an answer calls searched are
// those whose replies were merged, each once, and that searched and missing
// make up the depots that were asked for, each once.
func (c *Checker) AccurateCoverage(request string, asked, searched, missing, merged []string) {
	if !sameDepots(searched, merged) {
		c.violate(Coverage, request, "states %d depots searched, merged %d", len(searched), len(merged))
	}
	if !sameDepots(asked, searched, missing) {
		c.violate(Coverage, request, "states %d depots, asked for %d", len(searched)+len(missing), len(asked))
	}
}

// WithinColdLimit asserts that a cold upstream has no more requests in flight than
// its limit, this request included. The limit is the owner's own: what the
// upstream truly bears, only the upstream can count.
func (c *Checker) WithinColdLimit(request, upstream string, flight, limit int) {
	if flight > limit {
		c.violate(ColdUpstream, request, "cold upstream %s has %d in flight, limit %d", upstream, flight, limit)
	}
}

// NotMarkedOut asserts that no new work goes to a failure domain or VM longer than
// OutGrace after the mark was seen. A zero mark means that it is in.
func (c *Checker) NotMarkedOut(request, subject string, marked, now time.Time) {
	if !marked.IsZero() && now.Sub(marked) > NewWorkGrace {
		c.violate(MarkedOut, request, "new work at %s, out for %s", subject, now.Sub(marked))
	}
}

// CompleteMatchingReply asserts that a merged reply answers this very attempt and holds
// as many rows as the upstream announced.
func (c *Checker) CompleteMatchingReply(request, attempt, echoed string, rows, announced int) {
	if attempt != echoed {
		c.violate(CompleteReply, request, "merged the reply to %s as that to %s", echoed, attempt)
	}
	if rows != announced {
		c.violate(CompleteReply, request, "merged %d rows of %d", rows, announced)
	}
}

// NoAttemptRan asserts that no attempt of a request that is refused as "not
// run" may have run.
func (c *Checker) NoAttemptRan(request string, ran bool) {
	if ran {
		c.violate(NotRun, request, "refused as not run after an attempt that may have run")
	}
}

// AtMostOnce asserts that a request that is not idempotent is dispatched by
// this process no more than once within the memory of its deadline.
func (c *Checker) AtMostOnce(request string, deadline, now time.Time) {
	c.mu.Lock()
	seen := c.once.seen(request, deadline, now)
	c.mu.Unlock()
	if seen {
		c.violate(AtMostOnce, request, "dispatched more than once")
	}
}

// NoUnsafeRetry asserts that a request that is not idempotent is not sent again
// after an attempt that may have run.
func (c *Checker) NoUnsafeRetry(request string, again bool) {
	if again {
		c.violate(AtMostOnce, request, "sent again after an attempt that may have run")
	}
}

// NotLeaving asserts that no new work goes to an upstream longer than
// OutGrace after the first sign that it leaves. A zero sign means none.
func (c *Checker) NotLeaving(request, upstream string, sign, now time.Time) {
	if !sign.IsZero() && now.Sub(sign) > NewWorkGrace {
		c.violate(LeavingUpstream, request, "new work at %s, leaving for %s", upstream, now.Sub(sign))
	}
}

// DrainedAtShutdown asserts that a graceful shutdown ends with nothing in flight,
// and that no request was counted out twice.
func (c *Checker) DrainedAtShutdown(flight int) {
	if flight != 0 {
		c.violate(GracefulShutdown, "", "stopped with %d requests in flight", flight)
	}
}

// MonotonicRevision asserts that the revision in force for a key only grows.
func (c *Checker) MonotonicRevision(key string, held, next uint64) {
	if next < held {
		c.violate(ConfigRevision, "", "%s went back from revision %d to %d", key, held, next)
	}
}
