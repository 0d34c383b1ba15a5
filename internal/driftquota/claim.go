package driftquota

import "time"

const (
	// claimSession is the session of an ask by which a VM that has become the granter
	// of an account claims the tokens of the one before it. Sessions of requests are
	// numbered from 1. The Total of the answer is the number of tokens.
	claimSession = 0
	// claimRetry is the time after which a claim without an answer is sent again, up to
	// maxClaims times, and claimWait how long VMs that ask meanwhile are told to wait.
	claimRetry = 40 * time.Millisecond
	maxClaims  = 25
	claimWait  = 3 * time.Millisecond
	// cededSpan is how long a VM that has handed an account over denies it although it
	// does not see the new granter yet.
	cededSpan = 3 * time.Second
)

// claim is what a new granter knows of the tokens of the one before it, which has
// left or gives way to a VM that has started. Without them each of the planned stops
// of a fleet, one after the other, would empty the buckets of some accounts twice.
type claim struct {
	// open is set while the tokens may still come.
	open bool
	// confirmed is set once the granter before has said that it grants no more.
	confirmed bool
	to        string
	sentAt    time.Duration
	tries     int
	// spent is how many requests this granter has granted.
	spent int
}

// awaited reports whether an answer may come soon.
func (c *claim) awaited(now time.Duration) bool {
	return c.open && c.tries == 1 && now-c.sentAt < answerWait
}

// cession records that an account was handed over to a run of another VM.
type cession struct {
	run    uint64
	at     time.Duration
	tokens uint64
}

// pursue claims the tokens of an account from the granter before. What it has followed
// is nil if this VM has started or was paused: the next in rank has taken its place.
func (g *Granter) pursue(now time.Duration, s *grantState, a limited, followed *loss) {
	c := &s.claim
	if !c.open || (c.tries > 0 && now-c.sentAt < claimRetry) {
		return
	}
	if c.tries >= maxClaims || now-s.became > cededSpan {
		c.open = false
		return
	}
	if c.to = g.ranking.next(a.hash); followed != nil {
		c.to = followed.name
	}
	if c.to == "" {
		return
	}
	c.tries++
	c.sentAt = now
	item := AskItem{Account: a.Name, Session: claimSession}
	if last := len(g.out) - 1; last >= 0 && g.out[last].To == c.to && len(g.out[last].Message.Ask.Items) < maxItems {
		g.out[last].Message.Ask.Items = append(g.out[last].Message.Ask.Items, item)
		return
	}
	g.out = append(g.out, Outgoing{To: c.to, Message: Message{Ask: &Ask{Run: g.run, At: int64(now), Items: []AskItem{item}}}})
}

// receive takes in the answer to a claim that was sent at the given time. What has been
// granted since is counted against the tokens, so an answer that comes twice adds none.
func (g *Granter) receive(now time.Duration, from string, sentAt time.Duration, item GrantItem) {
	s, ok := g.states[item.Account]
	if !ok || !s.claim.open || s.claim.to != from || s.claim.sentAt != sentAt || now-sentAt > grantLifetime || item.Denied {
		return
	}
	s.claim.open, s.claim.confirmed = false, true
	s.bucket.at = min(s.bucket.at, now)
	s.bucket.fill(now)
	if s.bucket.capacity >= 1 {
		s.bucket.tokens = min(s.bucket.capacity, max(s.bucket.tokens, float64(int(item.Total)-s.claim.spent)))
	}
}

// cedes reports whether this VM has handed an account over to a VM that it does not
// see yet.
func (g *Granter) cedes(now time.Duration, a limited) bool {
	if _, ok := g.ceded[a.Name]; !ok {
		return false
	}
	became, _ := g.becameGranter(a)
	return now < became
}

// cede answers a claim. It is denied if this VM would not have been the granter before,
// and the tokens are handed over to one run only.
func (g *Granter) cede(now time.Duration, from string, run uint64, a limited, answer *GrantItem) {
	own, claimant := rank(a.hash, g.ranking.self), rank(a.hash, hash(from))
	for vm, h := range g.ranking.vms {
		if vm != from && rank(a.hash, h) > own {
			answer.Denied = true
			return
		}
	}
	if claimant < own && g.ranking.grant {
		answer.Denied = true
		return
	}
	answer.Total = 0
	if ceded, ok := g.ceded[a.Name]; ok && ceded.run == run {
		answer.Total = ceded.tokens
		return
	}
	became, _ := g.becameGranter(a)
	if now >= max(became, g.beganAt) && g.granterUntil(now, from, claimant > own) > became {
		s := g.state(now, a)
		s.claim.open = false
		answer.Total = uint64(max(0, s.bucket.tokens))
	}
	g.ceded[a.Name] = cession{run: run, at: now, tokens: answer.Total}
	delete(g.states, a.Name)
}

// granterUntil returns until when this VM may have been the granter of an account that
// a VM claims, 0 if that was long ago: the other one has granted since.
func (g *Granter) granterUntil(now time.Duration, from string, higher bool) time.Duration {
	until := now
	if _, known := g.ranking.vms[from]; known && higher {
		until = g.addedAt[from]
	}
	if !g.ranking.grant {
		until = min(until, g.leftAt)
	}
	if now-until > cededSpan {
		return 0
	}
	return until
}

// sweepCessions forgets what was handed over long ago.
func (g *Granter) sweepCessions(now time.Duration) {
	for name, c := range g.ceded {
		if now-c.at > lossMemory {
			delete(g.ceded, name)
		}
	}
	for name, at := range g.addedAt {
		if now-at > cededSpan {
			delete(g.addedAt, name)
		}
	}
}
