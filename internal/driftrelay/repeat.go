package driftrelay

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// Limits of the attempts of one request that go again to upstreams that it was sent to
// before.
const (
	maxRepeats = 2
	// maxRequiredRepeats is that of a part without which a query over several shards is
	// lost.
	maxRequiredRepeats = 4
)

// MayRepeat reports whether a request may go again to an upstream at which it has
// failed. It handles shards of which few upstreams are left and these fail a part of
// their requests: a query that needs the part is lost after the first failures, though
// the next attempt at the same upstream would most likely succeed. Other upstreams go
// first, up to as many as the route allows; each repetition counts against the budget.
//
// Required tells that the request is a part without which its query is lost; repeats is the
// number of attempts so far that went to an upstream once more, unsent that
// of those whose connection was not opened, and failedAt that of the upstreams at which the
// request has failed.
func MayRepeat(idempotent, required bool, repeats, unsent, failedAt int) bool {
	limit := maxRepeats
	if required {
		limit = maxRequiredRepeats
	}
	return idempotent && failedAt > 0 && repeats < limit && unsent < maxUnsentAttempts
}

// mayRepeat reports whether the request may go again to an upstream at which it has
// failed.
func (s *scatter) mayRepeat(l *shardRequest) bool {
	required := s.gather != nil && s.countFailedOrLate() > s.maxMissing
	attempts := l.sent + len(l.inFlight)
	return !isForward(s.query.Route) &&
		MayRepeat(s.query.Route.Idempotent, required, attempts-l.countUpstreams(), len(l.tried)-attempts, len(l.failedAt))
}

// recordFailedAt records that the request has failed at the upstream and may go there
// again.
func (l *shardRequest) recordFailedAt(f *attempt, result driftexchange.Result) {
	switch result := result.(type) {
	case driftexchange.Done:
		if result.Reply.Status < minFailureStatus {
			return
		}
	case driftexchange.Unknown:
	case driftexchange.NotRun:
		return
	}
	if !slices.Contains(l.failedAt, f.upstream) {
		l.failedAt = append(l.failedAt, f.upstream)
	}
}

// chooseRepeat returns the best upstream at which the request has failed. The caller
// holds the relay's lock.
func (s *scatter) chooseRepeat(l *shardRequest, w requirements, now time.Time) (placement, bool) {
	if !s.mayRepeat(l) {
		return placement{}, false
	}
	others := slices.DeleteFunc(slices.Clone(s.relay.upstreamsOf(l.service)), func(e *upstreamState) bool {
		return slices.Contains(l.failedAt, e) && !l.inFlightAt(e)
	})
	return s.relay.chooseUpstream(s.query.Table, l.service, others, w, now)
}
