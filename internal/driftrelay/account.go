package driftrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Client accounts: the VM that a caller reached reads the key and looks it up in the
// version that routes the request. The key goes no further. Upstreams and the VM that a
// request is forwarded to are told the name of the account; that VM looks it up in its
// own version (docs/design/accounts.md).

// Caller is who a request says to be from: KeyHolder or Named.
type Caller interface{ caller() }

// KeyHolder is a caller that has reached this VM.
type KeyHolder struct{ Key driftaccount.Key }

// Named is the caller of a request that another VM has forwarded. The name is empty if
// that VM found no account.
type Named struct{ Name string }

func (KeyHolder) caller() {}
func (Named) caller()     {}

// Access is the decision on a request of a route: Open, Anonymous, Granted, Denied or
// Undecided.
type Access interface{ access() }

// Open passes a request as it is: the version holds no accounts.
type Open struct{}

// Anonymous passes a request of a public route that is of no known account.
type Anonymous struct{}

// Granted passes a request of an account.
type Granted struct{ Account driftaccount.Account }

// Denied refuses a request without a valid key.
type Denied struct{}

// Undecided refuses a request that another version may allow, so that its caller
// tries again.
type Undecided struct{ Cause Cause }

func (Open) access()      {}
func (Anonymous) access() {}
func (Granted) access()   {}
func (Denied) access()    {}
func (Undecided) access() {}

// Authorize decides on the request of a caller by the accounts of the version that
// routes it. Public is set if its route needs no key. It handles keys that come and go
// with versions while the platform is unreachable: a key that a stale view lacks may be
// published already, so it is not denied for good. The versions of two VMs may differ
// too, so a name that this one lacks is for another VM to judge.
func Authorize(accounts *driftaccount.Directory, public bool, caller Caller, viewAge, staleAfter time.Duration) Access {
	if accounts == nil {
		return Open{}
	}
	var account driftaccount.Account
	known := false
	unknown := Access(Denied{})
	switch caller := caller.(type) {
	case KeyHolder:
		account, known = accounts.Find(caller.Key)
		if viewAge > staleAfter {
			unknown = Undecided{CauseStale}
		}
	case Named:
		account, known = accounts.Named(caller.Name)
		unknown = Undecided{CauseNoName}
	}
	switch {
	case known:
		return Granted{account}
	case public:
		return Anonymous{}
	default:
		return unknown
	}
}

// forwardAccountHeader tells another VM the account of a forwarded request.
const forwardAccountHeader = ForwardHeader + "-Account"

// takeCaller returns the caller of a request, and takes off the header by which VMs
// tell each other its account: callers may have sent one too.
func takeCaller(request *driftexchange.Request, forwarded bool) Caller {
	name := request.Header.Get(forwardAccountHeader)
	request.Header.Del(forwardAccountHeader)
	if forwarded {
		return Named{name}
	}
	return KeyHolder{request.Key}
}

// authorize decides on a request, and takes off it what the caller says of accounts.
func (r *Relay) authorize(request *driftexchange.Request, table *driftroute.Table, route *driftroute.Route, forwarded bool) Access {
	caller := takeCaller(request, forwarded)
	accounts := table.Config.Accounts
	if accounts == nil {
		return Open{}
	}
	request.Header.Del(r.headers.Key)
	request.Header.Del(r.headers.Account)
	return Authorize(accounts, route.Public, caller, r.viewAge(), r.staleAfter())
}

// admit returns the account of a request that is let in, the zero value if it needs
// none, or the refusal.
func (r *Relay) admit(request *driftexchange.Request, table *driftroute.Table, route *driftroute.Route, forwarded bool) (account driftaccount.Account, refusal Answer, ok bool) {
	switch access := r.authorize(request, table, route, forwarded).(type) {
	case Denied:
		return account, r.denyKey(request, route.Name, table.Config.Version), false
	case Undecided:
		return account, r.refuseUndecided(request, access.Cause), false
	case Granted:
		return access.Account, refusal, true
	default:
		return account, refusal, true
	}
}

// tellAccount sets the header that names the account to an upstream, or to the VM that
// the request is forwarded to.
func (r *Relay) tellAccount(q *Query) {
	if q.Account.Name == "" {
		return
	}
	if q.Request.Header == nil {
		q.Request.Header = make(http.Header, 1)
	}
	name := r.headers.Account
	if isForward(q.Route) {
		name = forwardAccountHeader
	}
	q.Request.Header.Set(name, q.Account.Name)
}

// denyKey refuses a request without a valid key.
func (r *Relay) denyKey(request *driftexchange.Request, route string, version int64) Answer {
	r.metrics.observeAnswer(route, CauseNoKey, 0)
	r.metrics.countAccountRefusal(CauseNoKey)
	r.events.Record(driftevent.RequestFailed, request.ID, route,
		fmt.Sprintf("%s status %d, version %d", CauseNoKey, http.StatusUnauthorized, version))
	header := make(http.Header, 1)
	header.Set("WWW-Authenticate", r.headers.KeyScheme)
	return Answer{Status: http.StatusUnauthorized, Header: header, Cause: CauseNoKey}
}

// refuseUndecided refuses a request that another version may allow.
func (r *Relay) refuseUndecided(request *driftexchange.Request, cause Cause) Answer {
	r.metrics.countAccountRefusal(cause)
	return r.refuseUnrouted(request, cause, retrySoon)
}

// countsAgainstLimit reports whether this VM counts the query against the limit of its
// account: the VM that sends it to upstreams does.
func (q *Query) countsAgainstLimit() bool {
	return q.Account.Limited() && !q.Route.Public && !isForward(q.Route)
}

// limitWaitEnd returns when a query stops waiting for the limit of its account: a
// refusal within a quarter of the objective leaves its caller time for another attempt.
func (q *Query) limitWaitEnd() time.Time {
	end := q.Arrived.Add(q.Route.LatencyObjective / 4)
	if q.Deadline.Before(end) {
		return q.Deadline
	}
	return end
}

// takeFromLimit counts the query against the limit of its account, or refuses it.
func (s *scatter) takeFromLimit(ctx context.Context) (refusal Answer, ok bool) {
	r, q := s.relay, s.query
	if !q.countsAgainstLimit() {
		return Answer{}, true
	}
	wait, ok := r.limiter.Take(ctx, q.Account, q.limitWaitEnd())
	switch {
	case ok:
		return Answer{}, true
	case ctx.Err() != nil:
		return refuse(NotRun{neverSent}, r.disconnectCause(), 0), false
	default:
		r.metrics.countAccountRefusal(CauseLimit)
		return refuseLimited(NotRun{neverSent}, LimitRetryDelay(wait, rand.Float64())), false
	}
}

// LimitRetryDelay returns when a caller may return whose account has reached its limit,
// and may make its next request after the given time. Jitter is random in [0, 1). It
// handles an account that asks for many times its limit: callers that return together
// would be refused together again, so they return over a span.
func LimitRetryDelay(wait time.Duration, jitter float64) time.Duration {
	wait = min(max(wait, retrySoon), maxLimitWait)
	return wait + time.Duration(jitter*float64(wait))
}

// maxLimitWait bounds how long a caller is asked to stay away: a new version may
// raise the limit.
const maxLimitWait = 10 * time.Second
