package driftrelay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of OptionalShare and of deferred parts.
const (
	// minOptionalShare is the share of the queries that still ask, to notice when parts
	// come in time again.
	minOptionalShare = 0.05
	// optionalDecrease multiplies the share after late parts, at most once in each
	// latency objective: parts that were asked for before show the earlier share.
	optionalDecrease = 0.6
	// optionalRecovery is the time in which the share rises from 0 to 1.
	optionalRecovery = 1500 * time.Millisecond
	// minLateRate is the moving average of late parts from which the share falls: more
	// than one late part in a row, as a short pause of one upstream makes one late.
	minLateRate = 0.4
	// optionalMemory is how long after its last late part a service is remembered.
	optionalMemory = 10 * time.Second
	// deferral is the part of the time until an answer is due for which a part is
	// deferred: a little more than half is left for it to come.
	deferral = 0.45
	// maxPartWorth is the largest part of an answer's worth that one part may have for it
	// to be deferred: an answer is worth the square of the share of its parts.
	maxPartWorth = 0.06
)

// OptionalShare is the share of the queries of one route that ask one service for a part
// which their answer may lack. It handles a shard whose upstreams are slow, or of which
// few are left: every query asks it, its queue grows beyond the latency objective, and
// the part comes too late for all, also for queries that have lost another part and can't
// lack this one. The share falls by a factor while parts are late and rises steadily
// otherwise, so that the VMs, which don't ask each other, together find what the shard can
// do in time. The zero value is a share of 0.
type OptionalShare struct {
	share     float64
	changedAt time.Time
	lateRate  float64
	lastLate  time.Time
}

// NewOptionalShare returns a share of 1.
func NewOptionalShare(now time.Time) OptionalShare {
	return OptionalShare{share: 1, changedAt: now, lastLate: now}
}

// At returns the share at the given time, in (0, 1].
func (o OptionalShare) At(now time.Time) float64 {
	return min(1, o.share+now.Sub(o.changedAt).Seconds()/optionalRecovery.Seconds())
}

// Record records whether a part that was asked for came too late for an answer of the
// given latency objective.
func (o *OptionalShare) Record(now time.Time, late bool, objective time.Duration) {
	observed := 0.0
	if late {
		observed, o.lastLate = 1, now
	}
	o.lateRate += averageGain * (observed - o.lateRate)
	if late && o.lateRate >= minLateRate && now.Sub(o.changedAt) >= objective {
		o.share, o.changedAt = max(minOptionalShare, optionalDecrease*o.At(now)), now
	}
}

// NeedsDeferred reports whether a query asks for the parts that it has left out. Early, it
// does so only for parts that are lost or that come from services which are late of late;
// once the time to ask has come, also for all others that have failed once or are late.
// Most queries have their other parts by then and never ask.
func NeedsDeferred(deferred, lost, atRisk, maxMissing int, due bool) bool {
	if due {
		return deferred+lost+atRisk > maxMissing
	}
	return deferred+lost > maxMissing
}

// PartWorth returns how much an answer loses of its worth without one of its parts.
func PartWorth(shards int) float64 {
	share := 1 - 1/float64(shards)
	return 1 - share*share
}

// optionalKey names the parts of a service for queries of a route.
type optionalKey struct{ route, service string }

// mayDefer reports whether parts of the query may be deferred.
func (s *scatter) mayDefer() bool {
	return s.maxMissing > 0 && PartWorth(len(s.requests)) <= maxPartWorth
}

// deferOptional leaves out, for now, parts that the answer may lack and that come late of
// late. It defers no more than the answer may lack.
func (s *scatter) deferOptional(now time.Time) {
	if !s.mayDefer() {
		return
	}
	r := s.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.optional) == 0 {
		return
	}
	type candidate struct {
		request *shardRequest
		share   float64
	}
	var candidates []candidate
	for _, l := range s.requests {
		if o, ok := r.optional[optionalKey{s.query.Route.Name, l.service}]; ok {
			l.tracked = true
			if share := o.At(now); share < 1 {
				l.overloaded = true
				candidates = append(candidates, candidate{l, share})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.share, b.share) })
	due := s.query.partialAnswerAt().Sub(s.query.Arrived)
	s.deferredUntil = s.query.Arrived.Add(time.Duration(deferral * float64(due)))
	for _, c := range candidates {
		if s.deferred == s.maxMissing {
			break
		}
		if rand.Float64() < c.share {
			continue
		}
		c.request.deferred = true
		s.deferred++
	}
	r.metrics.countDeferred(s.query.Route.Name, partDeferred, s.deferred)
}

// askDeferred asks for the parts that were left out if the answer may lack no more.
func (s *scatter) askDeferred(now time.Time) {
	if s.deferred == 0 {
		return
	}
	lost, atRisk := 0, 0
	for _, l := range s.requests {
		switch {
		case l.part != nil || l.deferred:
		case l.exhausted, l.failedOrLate && (l.waiting || l.overloaded):
			lost++
		case l.failedOrLate:
			atRisk++
		}
	}
	if !NeedsDeferred(s.deferred, lost, atRisk, s.maxMissing, !now.Before(s.deferredUntil)) {
		return
	}
	s.relay.metrics.countDeferred(s.query.Route.Name, partAsked, s.deferred)
	for _, l := range s.requests {
		if l.deferred {
			l.deferred = false
			s.deferred--
			s.sendToNext(l, now)
		}
	}
}

// deferredWake returns next, or when parts that were left out are asked for if that is
// earlier.
func (s *scatter) deferredWake(now, next time.Time) time.Time {
	if s.deferred > 0 && now.Before(s.deferredUntil) && s.deferredUntil.Before(next) {
		return s.deferredUntil
	}
	return next
}

// sparesHedge reports whether a hedge is not sent, as it would add to the load of
// upstreams that can't answer in time as it is, for a part that the answer may lack.
func (s *scatter) sparesHedge(l *shardRequest) bool {
	return l.overloaded && s.countFailedOrLate() <= s.maxMissing
}

// recordPart records whether a part came before the answer was due.
func (s *scatter) recordPart(l *shardRequest, late bool, now time.Time) {
	if !s.mayDefer() || (!late && !l.tracked) {
		return
	}
	r, key := s.relay, optionalKey{s.query.Route.Name, l.service}
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.optional[key]
	if !ok {
		if !late {
			return
		}
		o = NewOptionalShare(now)
	}
	o.Record(now, late, s.query.Route.LatencyObjective)
	r.optional[key] = o
}

// recordLateParts records the parts that an answer which was due has lacked.
func (s *scatter) recordLateParts(now time.Time) {
	if !s.mayDefer() || now.Before(s.query.partialAnswerAt()) {
		return
	}
	for _, l := range s.requests {
		if l.part == nil && !l.deferred && !l.exhausted {
			s.recordPart(l, true, now)
		}
	}
}

// forgetOptional drops services whose parts have been in time for a while. The caller
// holds the lock.
func (r *Relay) forgetOptional(now time.Time) {
	for key, o := range r.optional {
		if now.Sub(o.lastLate) > optionalMemory {
			delete(r.optional, key)
		}
	}
}
