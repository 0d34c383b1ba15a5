package driftrelay

import (
	"fmt"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// shardRequest is the part of a query that goes to one service: one shard of a
// gather, or the whole query on other routes.
type shardRequest struct {
	service  string
	tried    []*upstreamState
	inFlight []*attempt
	// failedAt are the upstreams at which the request has failed and may be tried
	// again.
	failedAt []*upstreamState
	// sentTo are the upstreams of the finished attempts that were sent.
	sentTo []*upstreamState
	// sent counts the finished attempts whose request was sent, refused ones
	// included.
	sent int
	part *driftexchange.Reply
	// partAttempt is the attempt that returned the part.
	partAttempt *attempt
	// failure is the latest failure that an upstream replied with.
	failure *driftexchange.Reply
	// mayHaveRun is set once the request may have run.
	mayHaveRun bool
	// exhausted is set when nothing more can be tried.
	exhausted bool
	// waiting is set while no upstream has capacity or the budget is spent.
	waiting bool
	// budgetSpent is set while an extra attempt has been taken from the budget
	// but not sent, as no upstream had capacity.
	budgetSpent bool
	// turn is that at a service that is short of slots, nil if there is none.
	turn *waiter
	// failedOrLate is set once an attempt has failed or been late.
	failedOrLate bool
	// notes describe what went wrong, for the log.
	notes   []string
	hedgeAt time.Time
	// hedgeDelay is the time from the latest attempt to hedgeAt.
	hedgeDelay time.Duration
	// postponed is set once the hedge was put off, as other parts were late too.
	postponed bool
	// tracked is set if there is an OptionalShare of its parts, overloaded if it is below
	// 1, and deferred while it is not asked for.
	tracked, overloaded, deferred bool
	// stopped is set once nothing more was tried as the VM stops.
	stopped bool
}

// addNote records the outcome of an attempt for the log.
func (l *shardRequest) addNote(f *attempt, now time.Time, outcome string) {
	l.notes = append(l.notes, fmt.Sprintf("%s %s after %.0f ms", f.upstream.ID, outcome, now.Sub(f.started).Seconds()*1000))
}

// recordSent counts a finished attempt that was sent.
func (l *shardRequest) recordSent(f *attempt) {
	l.sent++
	if !slices.Contains(l.sentTo, f.upstream) {
		l.sentTo = append(l.sentTo, f.upstream)
	}
}

// countUpstreams returns the number of different upstreams that the request was sent to.
// Attempts in flight count as sent.
func (l *shardRequest) countUpstreams() int {
	n := len(l.sentTo)
	for _, f := range l.inFlight {
		if !slices.Contains(l.sentTo, f.upstream) {
			n++
		}
	}
	return n
}

// inFlightAt reports whether an attempt is in flight at the upstream.
func (l *shardRequest) inFlightAt(e *upstreamState) bool {
	return slices.ContainsFunc(l.inFlight, func(f *attempt) bool { return f.upstream == e })
}

// hedgeDue reports whether the only attempt in flight is due for a hedge.
func (l *shardRequest) hedgeDue(now time.Time) bool {
	return l.part == nil && !l.exhausted && len(l.inFlight) == 1 && !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt)
}
