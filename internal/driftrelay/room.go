package driftrelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftroom"
)

// Parameters of the arbitration of a service that is short of slots
// (docs/design/room.md).
const (
	// roomFactor is how many requests all VMs together have at the upstreams of a short
	// service for each slot. More than one, so that a slot is not idle while the reply and
	// the next request are on their way; what waits beyond it waits at the VMs.
	roomFactor = 1.25
	// shortEndShare is the share of the slots below which a service is no longer short, if
	// that lasts for shortEnd.
	shortEndShare = 0.7
	shortEnd      = time.Second
	// roomCheckGap is the shortest time between two computations of the load of a service,
	// and partGap that between two of this VM's parts.
	roomCheckGap = 20 * time.Millisecond
	partGap      = 100 * time.Millisecond
	// demandDecay is the time constant of the averages of demand and use.
	demandDecay = time.Second
	// maxIdleShare is the share of the slots that may be idle while requests wait: if more
	// are, a VM may exceed its part by that share more with each tick, up to maxBoost, unless
	// upstreams have maxBacklogShare of their slots already. That is taken back by steps of
	// boostStep below minIdleShare.
	maxIdleShare    = 0.02
	minIdleShare    = 0.01
	maxBacklogShare = 1.75
	boostStep       = 1.1
	maxBoostStep    = 0.5
	maxBoost        = 2.0
	// creditTimes and creditSpan bound the unused slots that may be used later: by a number
	// of typical times of one slot, or for a span of the whole part.
	creditTimes = 2
	creditSpan  = 200 * time.Millisecond
	// An attempt counts as held up, and takes no slot of other upstreams, when it takes
	// minStuckTime longer than twice the expected time. After minDarkTime without an answer
	// the upstream itself no longer counts: pauses are shorter.
	minStuckTime = 20 * time.Millisecond
	minDarkTime  = 500 * time.Millisecond
	// loadDecay is the time constant of the average by which a service counts as short:
	// pauses of upstreams and waves of arrivals are no shortage.
	loadDecay = 500 * time.Millisecond
	// maxBlocked is how many turns in a row may find no upstream.
	maxBlocked = 3
	// forgiveAfter is how long the order is in force before the refusals are forgotten that
	// upstreams gave while their queues were full.
	forgiveAfter = 500 * time.Millisecond
	// metFactor and metExtra bound the requests of a claimant that go beyond the VM's part,
	// by its own part.
	metFactor = 2
	metExtra  = 2
	// inTimeFactor is how many typical times a request has to have left to count as one
	// that can be in time: slow upstreams take longer.
	inTimeFactor = 2
	// typicalRoomGain is the weight of a new observation in the typical time of a
	// service's attempts.
	typicalRoomGain = 0.05
)

// claimKey identifies a claimant at this VM.
type claimKey struct{ class, account string }

// ownClaim is what one claimant has of a service at this VM.
type ownClaim struct {
	rank driftroom.Rank
	// inFlight counts its attempts, granted those that may start, and waiting those that
	// wait for their turn.
	inFlight, granted, waiting int
	// demand, running and use are averages of all of them, of inFlight, and of inFlight
	// and granted.
	demand, running, use levelAverage
	// part is how many slots of the VM's part belong to it, and floor how many of these
	// are its floor.
	part, floor float64
	// met is set if claimants of its rank get all that they demand at all VMs.
	met bool
	// orderedAt is when needy, whether use is below the floor, and used, the share of the
	// part in use, were computed.
	orderedAt time.Time
	needy     bool
	used      float64
}

func (c *ownClaim) update(now time.Time) {
	c.demand.set(float64(c.inFlight+c.granted+c.waiting), now)
	c.running.set(float64(c.inFlight), now)
	c.use.set(float64(c.inFlight+c.granted), now)
	c.orderedAt = time.Time{}
}

// levelAverage is the exponentially weighted average over time of a level.
type levelAverage struct {
	value, level float64
	since        time.Time
}

func (a *levelAverage) set(level float64, now time.Time) { a.setWithin(level, demandDecay, now) }

// setWithin sets the level of an average with the given time constant.
func (a *levelAverage) setWithin(level float64, constant time.Duration, now time.Time) {
	a.value = a.level + (a.value-a.level)*decay(max(0, now.Sub(a.since)), constant)
	a.level, a.since = level, now
}

func (a *levelAverage) at(now time.Time) float64 {
	return a.level + (a.value-a.level)*decay(max(0, now.Sub(a.since)), demandDecay)
}

// room is the state of one service whose slots are arbitrated. The relay's lock
// protects it.
type room struct {
	service string
	// classes and accounts are how many compete for the service by the configuration.
	classes, accounts int
	board             *driftroom.Board
	claims            map[claimKey]*ownClaim
	waiters           []*waiter
	// inFlight counts the attempts of this VM, granted those that may start.
	inFlight, granted int
	// slots are those of all usable upstreams, backlog is how many requests these are
	// expected to have, and others those of them that are of other VMs. Reported is set if
	// upstreams report their loads.
	slots, backlog, others float64
	// idle is how many slots are expected to be idle.
	idle float64
	// checkedUse was inUse at checkedAt.
	checkedUse int
	reported   bool
	checkedAt  time.Time
	// short is set while the service is short of slots, and enoughSince is since when it
	// no longer seems to be.
	short       bool
	load        levelAverage
	enoughSince time.Time
	// orderedSince is since when the order is in force, and forgave is set once refusals
	// of before are forgotten.
	orderedSince time.Time
	forgave      bool
	// announcedSince is since when this VM has announced its demand without a gap.
	announcedSince time.Time
	// part is how many requests this VM may have at the upstreams, computed at partAt.
	part   float64
	partAt time.Time
	boost  float64
	// stuck counts those of inFlight that are likely held up, and take no slot.
	stuck int
	// credit is how many slot-seconds of the part are unused.
	credit   float64
	creditAt time.Time
	// typical is how long an attempt takes.
	typical time.Duration
	timer   *time.Timer
	// blocked counts the turns that found no upstream, until blockedUntil.
	blocked      int
	blockedUntil time.Time
}

// waiter is a request that waits for its turn at a service.
type waiter struct {
	room  *room
	claim *ownClaim
	// due is when the answer should reach the caller.
	due     time.Time
	granted bool
	// blockedUntil is until when it gets no turn, as it found no upstream at its last.
	blockedUntil time.Time
	// wake is sent to, without waiting, when the request gets its turn.
	wake chan<- struct{}
}

// inForce reports whether requests have to wait for their turn: the service is short,
// and the other VMs have had the time to learn of this VM's demand. Shortages of less
// than that are served as if there were no arbitration.
func (m *room) inForce(now time.Time) bool {
	return m.short && m.slots > 0 && m.board.Announced(now) && now.Sub(m.announcedSince) >= driftroom.Hold
}

// announce records the demand that the other VMs are told from now on.
func (m *room) announce(claims []driftroom.Claim, now time.Time) {
	if !m.board.Announced(now) {
		m.announcedSince = now
	}
	m.board.Announce(claims, now)
}

// inUse is how many requests this VM has or may have at the upstreams.
func (m *room) inUse() int { return max(0, m.inFlight-m.stuck) + m.granted }

// updateCredit counts the slots that were unused, or used beyond the part, since the
// last call.
func (m *room) updateCredit(now time.Time) {
	elapsed := max(0, now.Sub(m.creditAt).Seconds())
	m.creditAt = now
	bound := max(creditTimes*m.typical.Seconds(), m.part*creditSpan.Seconds())
	m.credit = min(bound, max(-bound, m.credit+(m.part-float64(m.inUse()))*elapsed))
}

// needed returns the credit that one more request beyond the part takes.
func (m *room) needed() float64 {
	return (float64(m.inUse()+1) - m.part) * m.typical.Seconds()
}

// free reports whether one more request of this VM may go to an upstream. The part holds
// on average: many VMs with parts of less than a few slots would otherwise have queues
// while slots are idle elsewhere.
//
// Beyond its part, a VM uses slots that are idle as far as it knows.
func (m *room) free(now time.Time) bool {
	m.updateCredit(now)
	idle := m.slots - m.backlog - float64(m.inUse()-m.checkedUse)
	return float64(m.inUse()+1) <= m.part || m.credit >= m.needed() || idle >= 1
}

// freeAt returns when one more request may go if none ends before, and false if none may.
func (m *room) freeAt(now time.Time) (time.Time, bool) {
	gain := m.part - float64(m.inUse())
	if gain <= 0 {
		return now, false
	}
	wait := time.Duration((m.needed() - m.credit) / gain * float64(time.Second))
	return now.Add(min(max(time.Millisecond, wait), time.Second)), true
}

// compare orders two requests that wait: first those of claimants below their floor, then
// the most urgent. Among claimants that are alike, the one that uses the least of its
// part goes first, then those requests that can still be in time, then the earliest due.
func (m *room) compare(a, b *waiter, now time.Time) int {
	if a.claim != b.claim {
		m.order(a.claim, now)
		m.order(b.claim, now)
		order := cmp.Or(compareBool(b.claim.needy, a.claim.needy), a.claim.rank.Compare(b.claim.rank), cmp.Compare(a.claim.used, b.claim.used))
		if order != 0 {
			return order
		}
	}
	inTime := now.Add(inTimeFactor * m.typical)
	return cmp.Or(compareBool(a.due.Before(inTime), b.due.Before(inTime)), a.due.Compare(b.due))
}

// mayExceed reports whether one more request of the claimant may go beyond the VM's part.
// It handles an urgent class that has room for all its requests, but of which many reach
// one VM at the same time: they go, and what is less urgent makes up for it later.
func (c *ownClaim) mayExceed() bool {
	return c.met && float64(c.inFlight+c.granted) < metFactor*c.part+metExtra
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// order computes what claimants are compared by, once for each time. One without a part
// yet has half an even part.
func (m *room) order(c *ownClaim, now time.Time) {
	if c.orderedAt.Equal(now) {
		return
	}
	c.orderedAt = now
	use := c.use.at(now)
	c.needy = c.floor > 0 && use < c.floor
	c.used = use / max(c.part, m.part/float64(2*max(1, len(m.claims))), 1e-6)
}

// goesByFloor reports whether a request goes before a more urgent one, as its claimant is
// below its floor.
func (m *room) goesByFloor(w *waiter, now time.Time) bool {
	m.order(w.claim, now)
	return w.claim.needy && slices.ContainsFunc(m.waiters, func(other *waiter) bool {
		return other.claim.rank.Compare(w.claim.rank) < 0
	})
}

// dispatch gives free slots to the requests that wait, and arranges to be called when
// the next fraction of one is free. The caller holds the lock.
func (r *Relay) dispatch(m *room, now time.Time) {
	r.checkRoom(m, now)
	for {
		best := m.first(now, !m.inForce(now) || m.free(now))
		if best < 0 {
			break
		}
		w := m.waiters[best]
		if m.goesByFloor(w, now) {
			r.metrics.countFloorTurn(w.claim.rank.Priority)
		}
		m.waiters = slices.Delete(m.waiters, best, best+1)
		w.granted = true
		w.claim.waiting--
		w.claim.granted++
		m.granted++
		w.claim.update(now)
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	if len(m.waiters) == 0 {
		return
	}
	at, ok := m.freeAt(now)
	if now.Before(m.blockedUntil) && (!ok || at.Before(m.blockedUntil)) {
		at, ok = m.blockedUntil, true
	}
	if ok {
		wait := at.Sub(now)
		if m.timer == nil {
			m.timer = time.AfterFunc(wait, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.dispatch(m, time.Now())
			})
			return
		}
		m.timer.Reset(wait)
	}
}

// first returns the index of the waiter that goes first, -1 if none may go now. Free is
// set if the VM may use one more slot.
func (m *room) first(now time.Time, free bool) int {
	best := -1
	if m.blocked >= maxBlocked && now.Before(m.blockedUntil) {
		return best
	}
	for i, w := range m.waiters {
		if !now.Before(w.blockedUntil) && (free || w.claim.mayExceed()) && (best < 0 || m.compare(w, m.waiters[best], now) < 0) {
			best = i
		}
	}
	return best
}

// block puts a request back that has had its turn but found no upstream. After a few of
// them in a row, the others wait too: it is likely the same for them. The caller holds
// the lock.
func (r *Relay) block(w *waiter, now time.Time) {
	m := w.room
	m.updateCredit(now)
	w.granted = false
	w.claim.granted--
	w.claim.waiting++
	m.granted--
	m.waiters = append(m.waiters, w)
	w.claim.update(now)
	if !now.Before(m.blockedUntil) {
		m.blocked = 0
	}
	m.blocked++
	m.blockedUntil = now.Add(placementInterval)
	w.blockedUntil = m.blockedUntil
	r.dispatch(m, now)
}

// leave ends the wait of a request or gives up its turn. The caller holds the lock.
func (r *Relay) leave(w *waiter, now time.Time) {
	m := w.room
	if w.granted {
		m.updateCredit(now)
		w.granted = false
		w.claim.granted--
		m.granted--
	} else if i := slices.Index(m.waiters, w); i >= 0 {
		m.waiters = slices.Delete(m.waiters, i, i+1)
		w.claim.waiting--
	}
	w.claim.update(now)
	r.dispatch(m, now)
}

// expectedWait returns how long a request of the rank would wait behind those that go
// first.
func (m *room) expectedWait(w *waiter, now time.Time) time.Duration {
	if w.claim.met {
		return m.typical
	}
	ahead := 1
	for _, other := range m.waiters {
		if other != w && m.compare(other, w, now) < 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / max(m.part, 1e-3) * float64(m.typical))
}

// countStarted counts an attempt that starts. The caller holds the lock.
func (r *Relay) countStarted(q *Query, f *attempt, now time.Time) {
	m := r.roomOf(q.Table, f.upstream.Service)
	if m == nil {
		return
	}
	m.updateCredit(now)
	f.room, f.claim = m, m.claimOf(q)
	f.claim.inFlight++
	m.inFlight++
	f.claim.update(now)
}

// countEnded counts an attempt that has ended, if its start was counted, and gives its
// place to the next request. The caller holds the lock.
func (r *Relay) countEnded(f *attempt, now time.Time) {
	m, c := f.room, f.claim
	if m == nil {
		return
	}
	m.updateCredit(now)
	c.inFlight--
	m.inFlight--
	m.blocked = 0
	c.update(now)
	if f.sent {
		m.typical += time.Duration(typicalRoomGain * float64(min(now.Sub(f.started), 5*m.typical)-m.typical))
	}
	r.dispatch(m, now)
}

// claimOf returns the claim of a query.
func (m *room) claimOf(q *Query) *ownClaim {
	key := claimKey{class: q.Route.Name, account: q.Account.Name}
	c, ok := m.claims[key]
	if !ok {
		c = &ownClaim{met: m.board.Meets(rankOf(q))}
		m.claims[key] = c
	}
	c.rank = rankOf(q)
	return c
}

func rankOf(q *Query) driftroom.Rank {
	return driftroom.Rank{Priority: q.Priority(), Objective: q.Route.LatencyObjective, Timeout: q.Route.Timeout}
}
