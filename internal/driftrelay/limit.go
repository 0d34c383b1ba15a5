package driftrelay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// rateLimit is the limit on the rate of requests that an upstream names in its
// replies, for all VMs together.
type rateLimit struct {
	// named is set while the upstream names a limit.
	named     bool
	perSecond float64
	// since is when the limit was first named, namedAt when it was last named, and
	// loggedAt when it was last logged.
	since, namedAt, loggedAt time.Time
	// first and extra count the attempts of this VM since the limit was named.
	first, extra int
}

// rateLimitLogGap is the shortest time between two events on the limit of one
// upstream while it changes.
const rateLimitLogGap = time.Second

// recordRateLimit applies the limit that a reply names, if any. The caller
// holds the lock.
func (r *Relay) recordRateLimit(f *attempt, header http.Header, now time.Time) {
	e := f.upstream
	text := header.Get(r.headers.RateLimit)
	// A reply of another VM has the headers of the upstream that it asked.
	if text == "" || e.Service == forwardService {
		return
	}
	perSecond, ok := driftexchange.ParseRateLimit(text)
	if !ok {
		return
	}
	l := &e.rateLimit
	changed := perSecond != l.perSecond
	if !l.named {
		*l = rateLimit{named: true, since: now}
		r.metrics.addRateLimits(1)
		changed = true
	}
	l.perSecond, l.namedAt = perSecond, now
	if changed && now.Sub(l.loggedAt) >= rateLimitLogGap {
		l.loggedAt = now
		r.events.Record(driftevent.RateLimitNamed, "", e.ID, fmt.Sprintf("%.1f a second", perSecond))
	}
}

// recordNoRateLimit lifts the limit if a reply names none, unless the attempt
// began before the limit was last named: replies may arrive out of order. The
// caller holds the lock.
func (r *Relay) recordNoRateLimit(f *attempt, header http.Header, now time.Time) {
	e := f.upstream
	l := e.rateLimit
	if !l.named || header.Get(r.headers.RateLimit) != "" || f.started.Before(l.namedAt) {
		return
	}
	e.rateLimit = rateLimit{}
	r.metrics.addRateLimits(-1)
	r.events.Record(driftevent.RateLimitLifted, "", e.ID,
		fmt.Sprintf("after %.1f s, sent %d first and %d extra", now.Sub(l.since).Seconds(), l.first, l.extra))
}

// countLimited counts an attempt at an upstream that names a limit. The caller
// holds the lock.
func (r *Relay) countLimited(e *upstreamState, extra bool) {
	switch l := &e.rateLimit; {
	case !l.named:
	case extra:
		l.extra++
		r.metrics.countLimited(e.Service, sendExtra)
	default:
		l.first++
		r.metrics.countLimited(e.Service, sendFirst)
	}
}
