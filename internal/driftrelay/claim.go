package driftrelay

import "time"

// falseClaimPause is how long the address of an entry gets no requests after it
// has answered for another upstream. Entries of upstreams that have ended are
// removed sooner than that on the published sites.
const falseClaimPause = 10 * time.Second

// falseClaim is an entry whose address belongs to another upstream.
type falseClaim struct {
	entry Upstream
	at    time.Time
}

// recordFalseClaim removes an upstream whose address answers for another one. The
// caller holds the lock.
func (r *Relay) recordFalseClaim(e *upstreamState, now time.Time) {
	e.removedAt = now.Add(-r.graces.removed)
	if r.upstreams[e.ID] == e {
		r.falseClaims[e.ID] = falseClaim{entry: e.Upstream, at: now}
	}
}

// isFalseClaim reports whether an entry is still the one whose address belongs to
// another upstream. It handles other upstreams that take over the addresses of
// those that have ended, while views with their entries arrive. The caller holds
// the lock.
func (r *Relay) isFalseClaim(u Upstream, now time.Time) bool {
	c, found := r.falseClaims[u.ID]
	return found && c.entry == u && now.Sub(c.at) < falseClaimPause
}
