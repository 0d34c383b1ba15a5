package driftrelay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// sent holds when attempts of the last rateSpan began.
	sent []time.Time
	// trialAt is when a VM without a part of the limit may send one request, to
	// learn whether the limit still holds.
	trialAt time.Time
}

const (
	// rateSpan is the span over which a rate limit is divided into whole requests,
	// the shortest in which the published sites count them.
	rateSpan = 4 * time.Second
	// minTrialGap is the shortest time between two trials of a VM, and trialGapPerVM
	// that between trials of all entry VMs; up to as much again is added at random.
	minTrialGap   = 15 * time.Second
	trialGapPerVM = 2 * time.Second
)

// RateLimitAllows reports whether a VM may send one more request to an upstream
// that names a rate limit. Units is the VM's part of the requests of rateSpan, and
// sent is how many of them it has used, in that span and in the last second. It
// handles an upstream in need while all VMs go on sending to it: the parts add up
// to the limit, and no VM uses its part at once.
func RateLimitAllows(units, sent, sentLastSecond int) bool {
	return sent < units && sentLastSecond < unitsPerSecond(units)
}

// unitsPerSecond returns how many of the units of rateSpan may be used in one second.
func unitsPerSecond(units int) int {
	return int(math.Ceil(float64(units) / rateSpan.Seconds()))
}

// rateLimitLogGap is the shortest time between two events on the limit of one
// upstream while it changes.
const rateLimitLogGap = time.Second

// recordRateLimit applies the limit that a reply names, if any. The caller
// holds the lock.
func (r *Relay) recordRateLimit(f *attempt, header http.Header, now time.Time) {
	e := f.upstream
	text := header.Get(r.headers.RateLimit)
	// An answer of another VM has the headers of the upstream that it asked.
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
		*l = rateLimit{named: true, since: now, trialAt: r.nextTrial(now)}
		changed = true
	}
	l.perSecond, l.namedAt = perSecond, now
	if changed && now.Sub(l.loggedAt) >= rateLimitLogGap {
		l.loggedAt = now
		r.events.Record(driftevent.RateLimitNamed, "", e.ID,
			fmt.Sprintf("%.1f a second for all VMs, %.2f for this one", perSecond, float64(r.rateLimitUnits(e))/rateSpan.Seconds()))
	}
}

// recordNoRateLimit lifts the limit if a valid reply names none, unless the attempt
// began before the limit was last named: replies may arrive out of order. The
// caller holds the lock.
func (r *Relay) recordNoRateLimit(f *attempt, header http.Header, now time.Time) {
	e := f.upstream
	l := e.rateLimit
	if !l.named || header.Get(r.headers.RateLimit) != "" || f.started.Before(l.namedAt) {
		return
	}
	e.rateLimit = rateLimit{}
	r.events.Record(driftevent.RateLimitLifted, "", e.ID,
		fmt.Sprintf("after %.1f s, sent %d first and %d extra", now.Sub(l.since).Seconds(), l.first, l.extra))
}

// nextTrial returns when this VM may try again if it has no part of a limit. The
// caller holds the lock.
func (r *Relay) nextTrial(now time.Time) time.Time {
	gap := max(minTrialGap, trialGapPerVM*time.Duration(len(r.otherEntries)))
	return now.Add(gap + rand.N(gap))
}

// rateLimitUnits returns how many requests this VM may send within rateSpan to an
// upstream that names a limit. Only entry VMs have a part of it, if there are
// any: the others forward their requests to them. The caller holds the lock.
func (r *Relay) rateLimitUnits(e *upstreamState) int {
	total := int(e.rateLimit.perSecond * rateSpan.Seconds())
	switch {
	case r.self.Entry:
		return r.unitsAmong(r.otherEntries, e, &e.rateUnits, total)
	case len(r.otherEntries) > 0:
		return 0
	default:
		return r.unitsAmong(r.others, e, &e.rateUnits, total)
	}
}

// withinRateLimit reports whether the upstream names no limit, or this VM's part
// of it allows one more request now. The caller holds the lock.
func (r *Relay) withinRateLimit(e *upstreamState, now time.Time) bool {
	l := &e.rateLimit
	if !l.named {
		return true
	}
	l.dropOld(now)
	units := r.rateLimitUnits(e)
	if units == 0 {
		return len(l.sent) == 0 && now.After(l.trialAt)
	}
	return RateLimitAllows(units, len(l.sent), l.sentSince(now.Add(-time.Second)))
}

// dropOld drops the attempts that no longer count.
func (l *rateLimit) dropOld(now time.Time) {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= rateSpan {
		l.sent = l.sent[1:]
	}
}

// sentSince returns how many attempts began after the given time.
func (l *rateLimit) sentSince(from time.Time) int {
	first, _ := slices.BinarySearchFunc(l.sent, from, time.Time.Compare)
	return len(l.sent) - first
}

// rateLimitsEndAt returns when this VM may next send to an upstream of the service
// that has not been tried, and false if there are others than limited ones. The
// caller holds the lock.
func (r *Relay) rateLimitsEndAt(service string, tried []*upstreamState, now time.Time) (next time.Time, limited bool) {
	for _, e := range r.upstreamsOf(service) {
		if slices.Contains(tried, e) || !e.acceptsRequests(now, r.outSince[e.Domain], r.graces) {
			continue
		}
		if r.withinRateLimit(e, now) {
			return next, false
		}
		if at := r.rateLimitEndsAt(e, now); !limited || at.Before(next) {
			next, limited = at, true
		}
	}
	return next, limited
}

// rateLimitEndsAt returns when this VM may next send to an upstream whose limit it
// has reached. The caller holds the lock.
func (r *Relay) rateLimitEndsAt(e *upstreamState, now time.Time) time.Time {
	l := &e.rateLimit
	units := r.rateLimitUnits(e)
	if units == 0 || len(l.sent) == 0 {
		return l.trialAt
	}
	next := l.sent[max(0, len(l.sent)-units)].Add(rateSpan)
	if len(l.sent) < units {
		next = now
	}
	perSecond := unitsPerSecond(units)
	if l.sentSince(now.Add(-time.Second)) >= perSecond {
		if second := l.sent[len(l.sent)-perSecond].Add(time.Second); second.After(next) {
			next = second
		}
	}
	return next
}

// countLimited counts an attempt at an upstream that names a limit. The caller
// holds the lock.
func (r *Relay) countLimited(q *Query, e *upstreamState, extra bool, now time.Time) {
	l := &e.rateLimit
	if !l.named {
		return
	}
	l.dropOld(now)
	l.sent = append(l.sent, now)
	l.trialAt = r.nextTrial(now)
	r.checker.WithinRateLimit(q.Request.ID, e.ID, len(l.sent), max(1, r.rateLimitUnits(e)))
	kind := sendFirst
	if extra {
		kind = sendExtra
		l.extra++
	} else {
		l.first++
	}
	r.metrics.countLimited(e.Service, kind)
}
