package driftquota

import (
	"math"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
)

// Waiter is a request that waits to be within the limit of its account.
type Waiter struct {
	purse *purse
	until time.Duration
	done  bool
	ok    bool
	// retryAfter is set with done and not ok.
	retryAfter time.Duration
	// finished is closed when it is done.
	finished chan struct{}
}

// lot is a number of requests that were granted together.
type lot struct {
	requests int
	until    time.Duration
	// session is the one in which they were granted, and in which they are returned.
	session uint64
}

// purse is what a VM holds of the requests of one account.
type purse struct {
	account driftaccount.Account
	hash    uint64
	// granter is the VM that grants the account, empty if there is none.
	granter string
	session uint64
	// got and returned count the session's requests.
	got, returned uint64
	lots          []lot
	waiters       []*Waiter
	// askedAt is when the last ask was sent, askedNeed what it needed. Unanswered
	// asks are counted in tries; unansweredSince is when the first of them was sent,
	// and grantedSince the time before which nothing can have been granted that has
	// not come in yet.
	askedAt         time.Duration
	askedNeed       int
	tries           int
	unansweredSince time.Duration
	grantedSince    time.Duration
	// emptyUntil is when the granter can grant the next request, and askFrom when it
	// is asked again.
	emptyUntil time.Duration
	askFrom    time.Duration
	// aheadFrom is when requests that nobody waits for are asked for again.
	aheadFrom time.Duration
	// ownAllowed is set while the granter's bucket is new or it denies the account.
	ownAllowed bool
	allowance  allowance
	quotas     quotas
	// quotasOf is the number of the view for which quotas were computed.
	quotasOf int
	meter    meter
	usedAt   time.Duration
	// refusedAt is when a request was last refused at the limit, and limited is set
	// from the first refusal until refusals have ended for a time.
	refusedAt time.Duration
	limited   bool
	// active is set while it is listed as one in which requests wait, and due while it
	// is listed as one to ask for.
	active, due bool
}

// held drops the lots that have ended, to be returned, and returns how many requests
// are at hand.
func (p *purse) held(now time.Duration) (requests int) {
	ended := 0
	for ended < len(p.lots) && p.lots[ended].until <= now {
		if p.lots[ended].session == p.session {
			p.returned += uint64(p.lots[ended].requests)
		}
		ended++
	}
	p.lots = p.lots[ended:]
	for _, l := range p.lots {
		requests += l.requests
	}
	return requests
}

// spend takes one request that is at hand.
func (p *purse) spend(now time.Duration) bool {
	if p.held(now) == 0 {
		return false
	}
	p.lots[0].requests--
	if p.lots[0].requests == 0 {
		p.lots = p.lots[1:]
	}
	return true
}

// begin begins a session with a granter. What was granted before may still be spent,
// but is not returned: another granter granted it.
func (p *purse) begin(session uint64, granter string) {
	p.granter, p.session, p.got, p.returned = granter, session, 0, 0
	p.tries, p.emptyUntil, p.askFrom, p.ownAllowed = 0, 0, 0, false
}

// spare returns how many requests are asked for ahead, beyond those that wait.
func (p *purse) spare(now time.Duration) int {
	return int(p.meter.rate(now)*expectSpan.Seconds() + 0.5)
}

// retryAt returns when an ask without an answer is sent again.
func (p *purse) retryAt() time.Duration {
	gap := retryAfter << min(max(0, p.tries-1), 4)
	return p.askedAt + min(gap, maxRetryAfter)
}

// wants reports whether the granter is to be asked now.
func (p *purse) wants(now time.Duration) bool {
	held, waiting := p.held(now), len(p.waiters)
	switch {
	case p.granter == "" || now < p.askFrom:
		return false
	case p.tries > 0:
		recent := waiting > 0 || now-p.usedAt < maxRetryAfter
		return recent && (now >= p.retryAt() || (p.tries == 1 && waiting > p.askedNeed))
	case waiting > 0:
		return true
	default:
		return now >= p.aheadFrom && 2*held < p.spare(now)
	}
}

// silent reports whether the granter has not answered for so long that the VM's own
// allowance is spent.
func (p *purse) silent(now time.Duration) bool {
	return p.granter == "" || (p.tries > 0 && now-p.unansweredSince >= silentAfter)
}

// ask returns what is asked of the granter, and records that it is sent now.
func (p *purse) ask(now time.Duration) AskItem {
	held := p.held(now)
	if p.tries == 0 {
		p.unansweredSince, p.grantedSince = now, now
	}
	p.tries++
	p.askedAt, p.askedNeed, p.aheadFrom = now, len(p.waiters), now+maxRetryAfter
	return AskItem{
		Account: p.account.Name, Session: p.session, Got: p.got, Returned: p.returned,
		Need: uint32(len(p.waiters)), Spare: uint32(max(0, p.spare(now)-held)),
	}
}

// accept takes in the answer to the ask that was sent at the given time.
func (p *purse) accept(now, sentAt time.Duration, item GrantItem) {
	if item.Session != p.session || now-sentAt > grantLifetime {
		return
	}
	if item.Total > p.got {
		// What has come in may have been granted since the first ask without an answer.
		p.lots = append(p.lots, lot{requests: int(item.Total - p.got), until: p.grantedSince + grantLifetime, session: p.session})
		p.got = item.Total
	}
	p.grantedSince = max(p.grantedSince, sentAt)
	if sentAt < p.askedAt {
		return
	}
	p.tries, p.emptyUntil, p.askFrom = 0, 0, 0
	p.ownAllowed = item.New || item.Denied
	switch {
	case item.Denied:
		p.askFrom = now + maxRetryAfter
	case item.Wait > 0:
		p.emptyUntil = now + item.Wait
		p.askFrom = now + min(item.Wait, maxBlocked)
	}
}

// meter measures the rate of an account's requests at one VM, over about a second.
type meter struct {
	average float64
	at      time.Duration
}

// rate returns the recent requests a second.
func (m *meter) rate(now time.Duration) float64 {
	m.average *= math.Exp(-(now - m.at).Seconds())
	m.at = now
	return m.average
}

// count counts a request.
func (m *meter) count(now time.Duration) { m.average = m.rate(now) + 1 }
