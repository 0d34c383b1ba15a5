package driftfake

import "time"

// Counts holds the counters that an Upstream keeps independently of the checks
// inside the product.
type Counts struct {
	// Requests counts the requests that arrived, Runs those that were executed
	// and Sheds those that were refused under load.
	Requests, Runs, Sheds int
	// ColdOverload counts the requests that arrived while a cold upstream had
	// its limit in flight, after its first sign of being cold: a slow reply, a
	// shed reply or a reset connection. ColdOverloadBeforeSign counts those that
	// arrived before that sign or within coldSignDelay after it.
	ColdOverload, ColdOverloadBeforeSign int
	// ColdOverloadAge is how long after the first sign the last request of
	// ColdOverload arrived.
	ColdOverloadAge time.Duration
	// DuplicateRuns counts the runs of a request id after the first, for
	// requests that are not idempotent.
	DuplicateRuns int
	// AfterLeaving counts the requests that arrived more than three seconds
	// after the upstream began to leave, AfterMarkedOut those that arrived more
	// than three seconds after its failure domain was marked out.
	AfterLeaving, AfterMarkedOut int
	// PeakInFlight and PeakConns are the highest concurrent numbers of requests
	// and of connections.
	PeakInFlight, PeakConns int
	// ConnsOpened counts the accepted connections.
	ConnsOpened int
	// ConnsRefused counts the connections refused because of the limit.
	ConnsRefused int
}

// leavingGrace is how long new requests may still arrive at an upstream that is
// leaving or marked out.
const leavingGrace = 3 * time.Second

// coldSignDelay is how long after the first sign of being cold requests may
// still arrive that were sent before the sender saw it: one round trip between
// failure domains.
const coldSignDelay = 4 * time.Millisecond

// countDisallowed counts a request that arrived after the grace period of an
// upstream that is leaving or marked out. The caller holds the lock.
func (u *Upstream) countDisallowed(now time.Time) {
	if !u.leavingSince.IsZero() && now.Sub(u.leavingSince) > leavingGrace {
		u.counts.AfterLeaving++
	}
	if !u.outSince.IsZero() && now.Sub(u.outSince) > leavingGrace {
		u.counts.AfterMarkedOut++
	}
}

// countCold counts a request above the limit of a cold upstream. The caller
// holds the lock.
func (u *Upstream) countCold(now time.Time) {
	if u.coldSignAt.IsZero() || now.Sub(u.coldSignAt) <= coldSignDelay {
		u.counts.ColdOverloadBeforeSign++
		return
	}
	u.counts.ColdOverload++
	u.counts.ColdOverloadAge = now.Sub(u.coldSignAt)
}

// recordColdSign records the time of the first sign of being cold. The caller
// holds the lock.
func (u *Upstream) recordColdSign() {
	if u.cold && u.coldSignAt.IsZero() {
		u.coldSignAt = time.Now()
	}
}
