package driftfake

import "time"

// Counts is what an Upstream has counted for itself.
type Counts struct {
	// Requests arrived, Runs were executed, Sheds refused under load.
	Requests, Runs, Sheds int
	// ColdOverload counts the requests that arrived when a cold upstream already
	// had as many in flight as it bears, after its first sign of being cold:
	// a slow reply, a shed reply or a reset connection. ColdUnseen counts
	// those that arrived before that sign.
	ColdOverload, ColdOverloadBeforeSign int
	// DuplicateRuns counts the runs of an id after its first, for requests that
	// are not idempotent.
	DuplicateRuns int
	// AfterLeaving counts the requests that arrived more than three seconds
	// after the upstream began to leave, AfterOut those that did so after its
	// failure domain was marked out.
	AfterLeaving, AfterMarkedOut int
	// PeakInFlight and PeakConns are the highest numbers seen at a time.
	PeakInFlight, PeakConns int
	// ConnsOpened counts the connections that were opened.
	ConnsOpened int
	// ConnsRefused counts the connections that were over the limit.
	ConnsRefused int
}

// leavingGrace is how long new work may reach an upstream that leaves or is out.
const leavingGrace = 3 * time.Second

// coldSignDelay is the time from the first sign of being cold in which requests
// that were sent before it was known still arrive: a way between failure
// domains there and back.
const coldSignDelay = 4 * time.Millisecond

// countDisallowed counts a request that should not have been sent here.
func (u *Upstream) countDisallowed(now time.Time) {
	if !u.leavingSince.IsZero() && now.Sub(u.leavingSince) > leavingGrace {
		u.counts.AfterLeaving++
	}
	if !u.outSince.IsZero() && now.Sub(u.outSince) > leavingGrace {
		u.counts.AfterMarkedOut++
	}
}

// countCold counts a request that is more than a cold upstream bears.
func (u *Upstream) countCold(now time.Time) {
	if u.coldSignAt.IsZero() || now.Sub(u.coldSignAt) <= coldSignDelay {
		u.counts.ColdOverloadBeforeSign++
		return
	}
	u.counts.ColdOverload++
}

// recordColdSign notes the first sign of being cold. The caller holds the lock.
func (u *Upstream) recordColdSign() {
	if u.cold && u.coldSignAt.IsZero() {
		u.coldSignAt = time.Now()
	}
}
