package driftquota

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
)

const (
	// maxLosses bounds how many lost VMs a granter remembers, and lossMemory for how
	// long: an account's bucket is taken to be full after that.
	maxLosses  = 4096
	lossMemory = 10 * time.Minute
	// calmSpan is how long the fleet must not have changed for an account that a new
	// version adds to begin with a full bucket.
	calmSpan = 5 * time.Second
	// stayPart is the part of a bucket that is left to requests that wait: only what
	// lies above it is granted ahead.
	stayPart = 0.5
	// cautionSpan is how long a granter that has followed a lost one fills its buckets
	// at cautionPart of the rate where a partition is possible, counted from the last loss:
	// the lost one may be alive on another side, whose shape this side has yet to see.
	cautionSpan = 1500 * time.Millisecond
	cautionPart = 0.25
	// A partition is taken to be possible if more than partedPart of the known VMs were
	// lost within partedSpan, in which the gossip finds all VMs of another side. A side
	// of fewer VMs has the granters of as few accounts and has soon lost nearly all others.
	// In a fleet of fewer than 32 each loss may be one.
	partedPart = 1.0 / 32
	partedSpan = 3 * time.Second
	// cautionBound ends the caution where VMs are lost one after the other.
	cautionBound = 5 * time.Second
	// raiseSpan is how long a side must have been larger before its part grows. A side
	// of a partition that changes its shape sees the VMs that it gains at once, and
	// those that it loses later.
	raiseSpan = 3 * time.Second
	// beginPart of the tolerance is what a bucket that needs no caution begins with: the
	// next request of a small account may come before the first token.
	beginPart = 0.1
)

// Granter grants the requests of those accounts that it is the granter of. It is not
// safe for concurrent use.
type Granter struct {
	rule    Rule
	ranking *ranking
	// part is which part of each rate this VM may grant. Next is the smallest part of
	// the views since nextSince that were larger, 0 if the last one was not.
	part      float64
	next      float64
	nextSince time.Duration
	// beganAt is when buckets begin to fill after a start or a pause, and full whether
	// they were full then. Until fillsFrom they fill with caution.
	beganAt   time.Duration
	fillsFrom time.Duration
	full      bool
	// changedAt is when the VMs last changed, and partedAt when one was last lost so that
	// a partition was possible.
	changedAt time.Duration
	partedAt  time.Duration
	// addedAt is when the other VMs of the ranking were added, if that was within
	// cededSpan, and leftAt when this VM announced that it leaves.
	addedAt map[string]time.Duration
	leftAt  time.Duration
	run     uint64
	// ceded are the accounts that this VM has handed over, and out its claims to send.
	ceded map[string]cession
	out   []Outgoing
	// losses are the VMs that were lost, in order; those before trimmedAt are forgotten.
	losses    []loss
	trimmedAt time.Duration
	loaded    bool
	accounts  map[string]limited
	states    map[string]*grantState
	sweptAt   time.Duration
}

// loss records that a VM is no longer a granter. Where it was one, this VM may have
// become the granter then. Left is set if it had announced that it leaves.
type loss struct {
	vm   uint64
	name string
	at   time.Duration
	left bool
}

// limited is an account with a limit. Full is when its bucket was full: when a
// version added it, and added is set if an earlier version that this run has held lacks it.
type limited struct {
	driftaccount.Account
	hash  uint64
	full  bool
	added bool
	from  time.Duration
}

// grantState is the state of an account that this VM has been asked for.
type grantState struct {
	bucket bucket
	// became is when this VM became the granter, and filled when a bucket that was
	// empty then has had the time to fill.
	became time.Duration
	filled time.Duration
	// followed is set if it became the granter by the loss of another one that had not
	// announced it.
	followed bool
	claim    claim
	// slight is set if what the rule tolerates is large beside the rate, so that the
	// bucket needs no caution.
	slight   bool
	usedAt   time.Duration
	sessions map[sessionKey]*session
}

type sessionKey struct{ run, session uint64 }

// session is the state of one VM's session.
type session struct {
	at       int64
	granted  uint64
	returned uint64
	usedAt   time.Duration
}

// newGranter returns the granter of a process that starts now. First is set at the
// first start of the whole fleet, when nothing can have been granted before.
func newGranter(rule Rule, r *ranking, run uint64, now time.Duration, first bool) *Granter {
	g := &Granter{
		rule: rule, ranking: r, run: run, part: 1, fillsFrom: now + settleTime, beganAt: now, full: first, changedAt: now,
		accounts: make(map[string]limited), states: make(map[string]*grantState),
		addedAt: make(map[string]time.Duration), ceded: make(map[string]cession),
	}
	if first {
		g.fillsFrom = now + firstSettleTime
		g.beganAt = g.fillsFrom
	}
	return g
}

// pause empties all buckets: others may have granted meanwhile.
func (g *Granter) pause(now time.Duration) {
	g.fillsFrom, g.beganAt, g.full, g.changedAt = now+settleTime, now, false, now
	clear(g.states)
}

// setView takes over the part of this side and the VMs that were lost.
func (g *Granter) setView(now time.Duration, v View, removed, added map[string]uint64) {
	g.setPart(now, side(v.Alive, v.Known))
	if len(removed)+len(added) > 0 {
		g.changedAt = now
	}
	g.lose(now, v, removed)
	for name := range added {
		g.addedAt[name] = now
	}
	if added[g.ranking.name] != 0 {
		g.trimmedAt = now
	}
	drop := max(0, len(g.losses)-maxLosses)
	for drop < len(g.losses) && now-g.losses[drop].at > lossMemory {
		drop++
	}
	if drop > 0 {
		if last := g.losses[drop-1].at; now-last <= lossMemory {
			g.trimmedAt = last
		}
		g.losses = append([]loss(nil), g.losses[drop:]...)
	}
}

// lose records the VMs that are no longer granters.
func (g *Granter) lose(now time.Duration, v View, removed map[string]uint64) {
	recent := 0
	for name, h := range removed {
		delete(g.addedAt, name)
		if name == g.ranking.name {
			g.leftAt = now
			continue
		}
		left := slices.Contains(v.Left, name)
		g.losses = append(g.losses, loss{vm: h, name: name, at: now, left: left})
		if !left {
			recent++
		}
	}
	if recent == 0 {
		return
	}
	recent = 0
	for i := len(g.losses) - 1; i >= 0 && now-g.losses[i].at <= partedSpan; i-- {
		if !g.losses[i].left {
			recent++
		}
	}
	if float64(recent) > partedPart*float64(v.Known) {
		g.partedAt = now
	}
}

// setPart takes over a smaller part at once, and a larger one after raiseSpan. Before
// buckets begin to fill, both at once.
func (g *Granter) setPart(now time.Duration, part float64) {
	g.raise(now)
	switch {
	case part <= g.part || now < g.fillsFrom:
		g.part, g.next = part, 0
	case g.next == 0:
		g.next, g.nextSince = part, now
	default:
		g.next = min(g.next, part)
	}
}

func (g *Granter) raise(now time.Duration) {
	if g.next > 0 && now-g.nextSince >= raiseSpan {
		g.part, g.next = g.next, 0
	}
}

// setAccounts takes over the limits of a version.
func (g *Granter) setAccounts(now time.Duration, accounts []driftaccount.Account) {
	calm := g.loaded && now > g.fillsFrom && now-g.changedAt > calmSpan
	next := make(map[string]limited, len(accounts))
	for _, a := range accounts {
		held, known := g.accounts[a.Name]
		if !known {
			held = limited{hash: hash(a.Name), full: calm, added: g.loaded, from: now}
		}
		held.Account = a
		next[a.Name] = held
	}
	g.accounts, g.loaded = next, true
	for name, s := range g.states {
		if a, ok := next[name]; ok {
			g.limit(now, s, a)
		}
	}
}

// limit applies the present limit to a bucket.
func (g *Granter) limit(now time.Duration, s *grantState, a limited) {
	s.bucket.set(now, a.Rate*g.part*g.caution(now, s), g.rule.capacity(a.Account)*g.part, g.rule.Window)
}

// caution returns the part of the rate at which the bucket of a new granter fills.
func (g *Granter) caution(now time.Duration, s *grantState) float64 {
	lost := g.parted(s) && now-max(s.became, g.partedAt) < cautionSpan && now-s.became < cautionBound
	if !s.slight && (lost || (now < g.fillsFrom && !s.claim.confirmed)) {
		return cautionPart
	}
	return 1
}

// parted reports whether a partition was possible when this VM followed another one.
func (g *Granter) parted(s *grantState) bool {
	return s.followed && g.partedAt > 0 && s.became-g.partedAt <= partedSpan
}

// becameGranter returns since when this VM has been the granter of an account that it
// is the granter of now, and the loss of the VM that it has followed, if any.
func (g *Granter) becameGranter(a limited) (became time.Duration, followed *loss) {
	became = max(g.beganAt, g.trimmedAt)
	ceded, isCeded := g.ceded[a.Name]
	isCeded = isCeded && ceded.at >= became
	if isCeded {
		became = ceded.at
	}
	own := rank(a.hash, g.ranking.self)
	for i := len(g.losses) - 1; i >= 0 && g.losses[i].at > became; i-- {
		if rank(a.hash, g.losses[i].vm) > own {
			return g.losses[i].at, &g.losses[i]
		}
	}
	if isCeded {
		became += cededSpan
	}
	return became, nil
}

// state returns the state of an account, filled until now.
func (g *Granter) state(now time.Duration, a limited) *grantState {
	s, known := g.states[a.Name]
	became, followed := g.becameGranter(a)
	if !known || s.became != became {
		s = g.begin(now, a, became, followed)
		g.states[a.Name] = s
	}
	s.usedAt = now
	g.limit(now, s, a)
	g.pursue(now, s, a, followed)
	return s
}

// begin returns the state of an account that this VM became the granter of at the given
// time, by the loss of another one or by its start.
func (g *Granter) begin(now time.Duration, a limited, became time.Duration, followed *loss) *grantState {
	s := &grantState{became: became, sessions: make(map[sessionKey]*session), slight: g.rule.slight(a.Account)}
	s.followed = followed != nil && !followed.left
	s.claim.open = (followed != nil && followed.left) || (became == g.beganAt && !g.full)
	rate, capacity := a.Rate*g.part, g.rule.capacity(a.Account)*g.part
	s.filled = became + time.Duration(capacity/rate*float64(time.Second))
	s.bucket = bucket{at: became, phase: float64(rank(a.hash, g.ranking.self)>>11) / (1 << 53)}
	if capacity < 1 {
		s.bucket.tokens = -s.bucket.phase
	}
	caution := g.caution(now, s)
	if caution == 1 {
		s.bucket.at += g.delay(s)
	}
	s.bucket.rate, s.bucket.capacity = rate*caution, capacity
	s.bucket.lapse = s.bucket.rate * g.rule.Window.Seconds() / 4
	if s.slight {
		s.bucket.tokens += beginPart * g.rule.tolerance(a.Account) * g.part
	}
	if (g.full && became == g.beganAt) || (a.full && a.from > became) {
		s.bucket.tokens, s.filled = capacity, became
	}
	return s
}

// delay returns how much later a bucket that is first asked for after a time of caution
// begins to fill, to hold no more than if it had been asked for before.
func (g *Granter) delay(s *grantState) time.Duration {
	switch {
	case s.slight:
		return 0
	case g.parted(s):
		return time.Duration((1 - cautionPart) * float64(cautionSpan))
	case s.became == g.beganAt:
		return time.Duration((1 - cautionPart) * float64(g.fillsFrom-g.beganAt))
	default:
		return 0
	}
}

// grant answers an ask.
func (g *Granter) grant(now time.Duration, from string, ask Ask) Grants {
	g.raise(now)
	grants := Grants{Run: ask.Run, At: ask.At, Items: make([]GrantItem, 0, len(ask.Items))}
	for _, item := range ask.Items {
		answer := GrantItem{Account: item.Account, Session: item.Session, Total: item.Got}
		a, ok := g.accounts[item.Account]
		switch {
		case ok && item.Session == claimSession:
			g.cede(now, from, ask.Run, a, &answer)
		case !ok || g.ranking.granter(a.hash) != g.ranking.name || g.cedes(now, a):
			answer.Denied = true
		case now < g.beganAt:
			answer.New, answer.Wait = true, g.beganAt-now
		default:
			s := g.state(now, a)
			g.grantItem(now, s, ask, item, &answer)
			answer.New = now < s.filled
			if answer.Wait > claimWait && s.claim.awaited(now) {
				answer.Wait = claimWait
			}
		}
		grants.Items = append(grants.Items, answer)
	}
	return grants
}

// grantItem takes back what an asker returns and grants what it needs. An ask that
// is older than the last one changes nothing.
func (g *Granter) grantItem(now time.Duration, s *grantState, ask Ask, item AskItem, answer *GrantItem) {
	key := sessionKey{run: ask.Run, session: item.Session}
	held, known := s.sessions[key]
	if !known {
		held = &session{granted: item.Got, returned: item.Returned}
		s.sessions[key] = held
	}
	held.usedAt = now
	if known && ask.At <= held.at {
		answer.Total = held.granted
		return
	}
	held.at = ask.At
	if item.Returned > held.returned {
		s.bucket.giveBack(int(item.Returned - held.returned))
		held.returned = item.Returned
	}
	held.granted = max(held.granted, item.Got)
	underway := int(held.granted - item.Got)
	need := max(0, int(item.Need)-underway)
	granted := s.bucket.take(need, 0)
	if granted < need {
		answer.Wait = max(time.Millisecond, s.bucket.wait())
	} else if spare := int(item.Need+item.Spare) - underway - need; spare > 0 {
		granted += s.bucket.take(spare, stayPart*s.bucket.capacity)
	}
	held.granted += uint64(granted)
	s.claim.spent += granted
	answer.Total = held.granted
}

// sweep drops what has not been used for some time: sessions, and the buckets of
// accounts that have had the time to fill.
func (g *Granter) sweep(now time.Duration) {
	if now-g.sweptAt < time.Second {
		return
	}
	g.sweptAt = now
	g.sweepCessions(now)
	for name, s := range g.states {
		for key, held := range s.sessions {
			if now-held.usedAt > idleAfter {
				delete(s.sessions, key)
			}
		}
		s.bucket.fill(now)
		full := s.bucket.tokens >= s.bucket.capacity && s.bucket.capacity >= 1
		if now-s.usedAt > idleAfter && (full || now-s.usedAt > lossMemory) {
			delete(g.states, name)
		}
	}
}
