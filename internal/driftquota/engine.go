package driftquota

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// maxItems bounds the accounts of one datagram, so that it fits into one packet.
const maxItems = 24

const (
	// defaultRetryAfter is told if the granter has not said when the next request is
	// within the limit.
	defaultRetryAfter = time.Second
	// limitedSpan is how long an account counts as at its limit after a refusal.
	limitedSpan = 5 * time.Second
)

// Outgoing is a message to another VM.
type Outgoing struct {
	To      string
	Message Message
}

// Change says that an account has reached its limit at this VM, or no longer does.
type Change struct {
	Account driftaccount.Account
	Limited bool
}

// Counts are how many requests an Engine has asked for, been granted, refused, and
// let pass by its own allowance.
type Counts struct{ Asked, Granted, Refused, Own int }

// Engine decides for one VM: as the granter of its accounts, and for the requests
// that it serves. All times are since one moment on a clock that advances while the
// VM is suspended. It is not safe for concurrent use.
type Engine struct {
	rule      Rule
	run       uint64
	startedAt time.Duration
	first     bool
	tickedAt  time.Duration
	sweptAt   time.Duration
	ranking   *ranking
	granter   *Granter
	view      View
	viewCount int
	sessions  uint64
	purses    map[string]*purse
	// active are the purses in which requests wait, and due those to ask for.
	active []*purse
	due    []*purse
	// sentAt is when the last asks were sent to each granter.
	sentAt  map[string]time.Duration
	out     []Outgoing
	changes []Change
	counts  Counts
}

// NewEngine returns the engine of a process that starts now. Run identifies the run of
// the process. First is set at the first start of the whole fleet.
func NewEngine(name string, rule Rule, run uint64, now time.Duration, first bool) *Engine {
	r := &ranking{self: hash(name), name: name, grant: true}
	e := &Engine{
		rule: rule, run: run, startedAt: now, tickedAt: now, first: first, ranking: r,
		granter: newGranter(rule, r, run, now, first),
		purses:  make(map[string]*purse), sentAt: make(map[string]time.Duration),
	}
	e.SetView(now, View{Alive: 1, Known: 1, Self: driftshare.Owner{Name: name, Weight: 1}})
	return e
}

// SetView takes over what the VM knows of the fleet.
func (e *Engine) SetView(now time.Duration, v View) {
	e.observe(now)
	if e.viewCount > 0 && e.view.equal(v) {
		return
	}
	removed, added := e.ranking.update(v)
	e.view = v
	e.viewCount++
	e.granter.setView(now, v, removed, added)
	for _, p := range e.purses {
		if e.outdated(p, removed, added) {
			e.beginSession(p)
		}
	}
	for name := range removed {
		delete(e.sentAt, name)
	}
}

// outdated reports whether a change of the VMs changes the granter of an account.
func (e *Engine) outdated(p *purse, removed, added map[string]uint64) bool {
	if _, lost := removed[p.granter]; lost || p.granter == "" {
		return true
	}
	if len(added) == 0 {
		return false
	}
	score := rank(p.hash, hash(p.granter))
	for _, h := range added {
		if rank(p.hash, h) > score {
			return true
		}
	}
	return false
}

func (e *Engine) beginSession(p *purse) {
	e.sessions++
	p.begin(e.sessions, e.ranking.granter(p.hash))
}

// SetAccounts takes over the limited accounts of a version.
func (e *Engine) SetAccounts(now time.Duration, accounts []driftaccount.Account) {
	e.observe(now)
	e.granter.setAccounts(now, accounts)
}

// observe detects a pause of the process.
func (e *Engine) observe(now time.Duration) {
	if now-e.tickedAt > pausedAfter {
		e.granter.pause(now)
	}
	e.tickedAt = max(e.tickedAt, now)
}

// purse returns the purse of an account.
func (e *Engine) purse(now time.Duration, a driftaccount.Account) *purse {
	p, ok := e.purses[a.Name]
	if !ok {
		p = &purse{hash: hash(a.Name)}
		e.purses[a.Name] = p
		e.beginSession(p)
	}
	if p.account != a {
		p.account, p.quotasOf = a, 0
	}
	p.usedAt = now
	return p
}

// Take takes one request of a limited account, or makes it wait until the given time
// at most. The waiter may be done already.
func (e *Engine) Take(now time.Duration, a driftaccount.Account, until time.Duration) *Waiter {
	e.observe(now)
	p := e.purse(now, a)
	p.meter.count(now)
	w := &Waiter{purse: p, until: max(until, now+answerWait), finished: make(chan struct{})}
	p.waiters = append(p.waiters, w)
	e.serve(now, p)
	if len(p.waiters) > 0 && !p.active {
		p.active = true
		e.active = append(e.active, p)
	}
	e.flush(now)
	return w
}

// Cancel ends the wait of a request that is given up.
func (e *Engine) Cancel(w *Waiter) {
	p := w.purse
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			break
		}
	}
	w.finish(false, defaultRetryAfter)
}

func (w *Waiter) finish(ok bool, retryAfter time.Duration) {
	if w.done {
		return
	}
	w.done, w.ok, w.retryAfter = true, ok, retryAfter
	close(w.finished)
}

// serve serves the requests of an account that wait, in order of arrival, and refuses
// those that cannot be within the limit in time.
func (e *Engine) serve(now time.Duration, p *purse) {
	served := 0
	for served < len(p.waiters) && e.pay(now, p) {
		p.waiters[served].finish(true, 0)
		served++
	}
	waiting := p.waiters[served:]
	p.waiters = nil
	for _, w := range waiting {
		if retry, ended := e.refusal(now, p, w); ended {
			w.finish(false, retry)
			e.counts.Refused++
			continue
		}
		p.waiters = append(p.waiters, w)
	}
	if p.wants(now) && !p.due {
		p.due = true
		e.due = append(e.due, p)
	}
}

// pay pays for one request by a grant, or by the VM's own allowance if no granter can
// be expected to grant one.
func (e *Engine) pay(now time.Duration, p *purse) bool {
	if p.spend(now) {
		return true
	}
	if !p.silent(now) && (!p.ownAllowed || now >= p.askFrom) {
		return false
	}
	if p.quotasOf != e.viewCount {
		p.quotas, p.quotasOf = e.rule.allowances(p.account, e.view), e.viewCount
	}
	if !p.allowance.take(now, e.startedAt, e.first || e.granter.accounts[p.account.Name].added, e.rule, p.quotas) {
		return false
	}
	e.counts.Own++
	return true
}

// refusal decides whether a request that waits is refused, and what it is told.
func (e *Engine) refusal(now time.Duration, p *purse, w *Waiter) (retry time.Duration, ended bool) {
	hopeless := p.granter == "" || (p.askFrom > w.until && now < p.askFrom)
	if now < w.until && !hopeless {
		return 0, false
	}
	if p.emptyUntil <= now {
		return defaultRetryAfter, true
	}
	if p.ownAllowed {
		return p.emptyUntil - now, true
	}
	p.refusedAt = now
	if !p.limited {
		p.limited = true
		e.changes = append(e.changes, Change{Account: p.account, Limited: true})
	}
	return p.emptyUntil - now, true
}

// flush sends the asks that are due, those to one granter together.
func (e *Engine) flush(now time.Duration) {
	var later []*purse
	var granters []string
	items := make(map[string][]AskItem)
	for _, p := range e.due {
		if sent, ok := e.sentAt[p.granter]; ok && now-sent < batchPeriod {
			later = append(later, p)
			continue
		}
		p.due = false
		if !p.wants(now) {
			continue
		}
		if len(items[p.granter]) == 0 {
			granters = append(granters, p.granter)
		}
		item := p.ask(now)
		e.counts.Asked += int(item.Need + item.Spare)
		items[p.granter] = append(items[p.granter], item)
	}
	e.due = later
	for _, to := range granters {
		list := items[to]
		e.sentAt[to] = now
		for len(list) > 0 {
			n := min(len(list), maxItems)
			e.send(now, to, Ask{Run: e.run, At: int64(now), Items: list[:n]})
			list = list[n:]
		}
	}
}

func (e *Engine) send(now time.Duration, to string, ask Ask) {
	if to == e.ranking.name {
		e.accept(now, to, e.granter.grant(now, to, ask))
		return
	}
	e.out = append(e.out, Outgoing{To: to, Message: Message{Ask: &ask}})
}

// Receive takes in a message of another VM.
func (e *Engine) Receive(now time.Duration, from string, m Message) {
	e.observe(now)
	if m.Ask != nil {
		grants := e.granter.grant(now, from, *m.Ask)
		e.out = append(e.out, Outgoing{To: from, Message: Message{Grants: &grants}})
	}
	if m.Grants != nil && m.Grants.Run == e.run {
		e.accept(now, from, *m.Grants)
		e.flush(now)
	}
}

// accept takes in grants and serves the requests that wait for them.
func (e *Engine) accept(now time.Duration, from string, grants Grants) {
	for _, item := range grants.Items {
		if item.Session == claimSession {
			e.granter.receive(now, from, time.Duration(grants.At), item)
			continue
		}
		p, ok := e.purses[item.Account]
		if !ok || p.granter != from {
			continue
		}
		before := p.got
		p.accept(now, time.Duration(grants.At), item)
		if p.got > before {
			e.counts.Granted += int(p.got - before)
		}
		e.serve(now, p)
	}
}

// Tick does what has become due. It is called at Next, and at least every 250 ms.
func (e *Engine) Tick(now time.Duration) {
	e.observe(now)
	active := e.active
	e.active = e.active[:0]
	for _, p := range active {
		e.serve(now, p)
		if p.active = len(p.waiters) > 0; p.active {
			e.active = append(e.active, p)
		}
	}
	e.flush(now)
	e.granter.sweep(now)
	if now-e.sweptAt >= time.Second {
		e.sweptAt = now
		e.sweep(now)
	}
}

// sweep ends the time of accounts at their limit and drops what is not in use.
func (e *Engine) sweep(now time.Duration) {
	for name, p := range e.purses {
		if p.limited && now-p.refusedAt > limitedSpan {
			p.limited = false
			e.changes = append(e.changes, Change{Account: p.account})
		}
		if now-p.usedAt > max(idleAfter, 2*e.rule.Window) && len(p.waiters) == 0 && !p.due && !p.limited {
			delete(e.purses, name)
		}
	}
}

// Next returns when Tick has to be called next.
func (e *Engine) Next(now time.Duration) time.Duration {
	next := now + 250*time.Millisecond
	for _, p := range e.due {
		next = min(next, e.sentAt[p.granter]+batchPeriod)
	}
	for _, p := range e.active {
		if p.tries > 0 {
			next = min(next, p.retryAt())
			if silent := p.unansweredSince + silentAfter; silent > now {
				next = min(next, silent)
			}
		} else if p.askFrom > now {
			next = min(next, p.askFrom)
		}
		for _, w := range p.waiters {
			next = min(next, w.until)
		}
	}
	return max(next, now+time.Microsecond)
}

// Drain returns the messages to send and the changes since the last call.
func (e *Engine) Drain() (out []Outgoing, changes []Change) {
	out, changes = append(e.out, e.granter.out...), e.changes
	e.out, e.granter.out, e.changes = nil, nil, nil
	return out, changes
}

// Counts returns the counts since the start.
func (e *Engine) Counts() Counts { return e.counts }
