// Package driftrelay serves opaque requests: it finds the route, chooses
// upstreams, sends, retries and hedges, and answers with the reply of one
// upstream or with the merged replies of many.
//
// The decisions are pure functions, separate from input and output:
// EstimateCost chooses the upstream, HedgeDelay and PartialAnswerDelay set the
// times, Budget limits the extra attempts. Relay holds the state of the
// upstreams that they are based on. Every VM connects to upstreams itself,
// within its share of what each upstream accepts (docs/decisions/platform.md).
//
// # Usage
//
//	relay := driftrelay.New(self, headers, driftrelay.WithBudget(rule))
//	relay.UpdateView(view)
//	answer := relay.Serve(ctx, request, path, arrived, wait)
package driftrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// Relay serves requests at one VM. It is safe for concurrent use.
type Relay struct {
	self          VM
	headers       driftexchange.Headers
	rule          BudgetRule
	checker       *driftcheck.Checker
	events        driftevent.Recorder
	reportSuspect func(upstream string, duration time.Duration)
	reportLeaving func(LeavingSign)
	viewAge       func() time.Duration
	roundRobin    *driftroute.WeightedRoundRobin
	ledger        *driftshare.Ledger
	metrics       *Metrics
	dialer        driftexchange.Dialer
	memory        *driftexchange.Memory
	limiter       driftaccount.Limiter
	started       time.Time

	mu        sync.Mutex
	table     *driftroute.Table
	upstreams map[string]*upstreamState
	// falseClaims holds the entries that name the address of another upstream.
	falseClaims map[string]falseClaim
	services    map[string][]*upstreamState
	notices     map[string]*notice
	// serviceDomains holds the failure domains with an upstream, by service.
	serviceDomains map[string]map[string]bool
	outSince       map[string]time.Time
	others         []VM
	// otherEntries are those of others that are entry VMs.
	otherEntries []VM
	// unmet is set while there may be VMs that this one has not met.
	unmet  bool
	graces graces
	// generation counts changes of the VMs and of the upstreams.
	generation   uint64
	peers        []*upstreamState
	budgets      map[string]*Budget
	typicalTimes map[string]time.Duration
	// averageLoads holds the average load of upstreams by service.
	averageLoads map[string]averageLoad
	speeds       speeds
	crossings    crossings
	// recentTimes holds how long queries took of late, by the keys of typicalTimes.
	recentTimes map[string]*recentTimes
	optional    map[optionalKey]OptionalShare
	running     int
	// atUpstreams counts the running queries with an attempt in flight.
	atUpstreams int
	// stopAt is when all requests must have their answers, zero unless the VM is
	// about to stop. Stopping is closed when it is set.
	stopAt   time.Time
	stopping chan struct{}
	// cutOff is set once this VM closes the connections of its callers.
	cutOff   bool
	sendRate rateMeter
	roomState
}

// DefaultBudget returns the rule of the published sites.
func DefaultBudget() BudgetRule {
	return BudgetRule{Ratio: 0.2, FixedExtra: 56, Window: 10 * time.Second}
}

// New returns a relay without a configuration. UpdateView supplies one.
func New(self VM, headers driftexchange.Headers, opts ...Option) *Relay {
	events := driftevent.NewLog(self.Name, 0)
	r := &Relay{
		self: self, headers: headers, rule: DefaultBudget(), events: events,
		checker: driftcheck.NewChecker(events), dialer: driftexchange.DialTCP, limiter: driftaccount.Unlimited{}, started: time.Now(),
		roundRobin:    driftroute.NewWeightedRoundRobin(),
		reportSuspect: func(string, time.Duration) {}, reportLeaving: func(LeavingSign) {}, viewAge: func() time.Duration { return 0 },
		upstreams: make(map[string]*upstreamState), optional: make(map[optionalKey]OptionalShare), falseClaims: make(map[string]falseClaim), services: make(map[string][]*upstreamState),
		notices:  make(map[string]*notice),
		outSince: make(map[string]time.Time), budgets: make(map[string]*Budget),
		typicalTimes: make(map[string]time.Duration), averageLoads: make(map[string]averageLoad), recentTimes: make(map[string]*recentTimes),
		graces: publishedGraces, speeds: newSpeeds(), stopping: make(chan struct{}), sendRate: rateMeter{since: time.Now()},
		roomState: newRoomState(),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.ledger == nil {
		r.ledger = driftshare.NewLedger(self.Name, r.rule.Window, driftshare.WithFirstStart())
	}
	return r
}

// Answer is the answer to a caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Omitted is the length in bytes of the body that the reply to a HEAD request
	// leaves out, -1 if unknown.
	Omitted int64
	// Cause is the reason for this answer.
	Cause Cause
	// RetryAfter is when the caller may try again, 0 if unspecified.
	RetryAfter time.Duration
	// NotRun is the proof that the request has not run, if there is one.
	NotRun NotRun
	// ofUpstream is set if the status is that of an upstream's failure, of a request
	// that may be repeated.
	ofUpstream bool
	// heldBytes are those of Body that Release gives back.
	heldBytes int
}

// Cause is the reason for an answer, in one word.
type Cause string

// The causes of answers.
const (
	CauseServed     Cause = "served"   // the upstream's reply, or all parts
	CausePassed     Cause = "passed"   // a failure of the upstream or the other VM, unchanged
	CausePartial    Cause = "partial"  // enough parts, but not all
	CauseNoConfig   Cause = "noconfig" // no configuration is known yet
	CauseNoRoute    Cause = "noroute"  // no route matches
	CauseStale      Cause = "stale"    // no route matches, but the view is stale
	CauseNoUpstream Cause = "nowhere"  // no upstream can take the request
	CauseNoKey      Cause = "nokey"    // no key of an account that the route needs
	CauseNoName     Cause = "noname"   // another VM named an account that this one does not know
	CauseLimit      Cause = "limit"    // the account has reached its limit
	CauseOverload   Cause = "full"     // too many requests are being served
	CauseNoRoom     Cause = "noroom"   // no memory is left for its body
	CauseRefused    Cause = "refused"  // upstreams refused it without running it
	CauseUnknown    Cause = "unknown"  // it may have run, but there was no valid reply
	CauseTimeout    Cause = "timeout"  // the deadline has passed
	CauseCallerLeft Cause = "left"     // the caller has left
	CauseStopping   Cause = "stopping" // it would not end, or has not ended, before this VM stops
	CauseCutOff     Cause = "cut"      // this VM closed the caller's connection
)

// maxRunning limits the requests that are served concurrently.
const maxRunning = 2048

// Times after which a refused caller may try again.
const (
	retrySoon     = 250 * time.Millisecond
	retryOverload = time.Second
)

// Limits returns the limits on callers, and false while no configuration is
// known.
func (r *Relay) Limits() (driftroute.Limits, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table == nil {
		return driftroute.Limits{}, false
	}
	return r.table.Config.Limits, true
}

// Running returns the number of requests that are being served.
func (r *Relay) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// InFlight is the number of requests that are being served.
type InFlight struct {
	// Waiting have no attempt at an upstream, AtUpstreams have one or more.
	Waiting, AtUpstreams int
}

// String implements fmt.Stringer.
func (f InFlight) String() string {
	return fmt.Sprintf("%d requests in flight, %d of them at upstreams", f.Waiting+f.AtUpstreams, f.AtUpstreams)
}

// InFlight returns how many requests are being served.
func (r *Relay) InFlight() InFlight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return InFlight{Waiting: r.running - r.atUpstreams, AtUpstreams: r.atUpstreams}
}

// CutOff tells the relay that from now on this VM closes the connections of its
// callers, so that requests that end with them are not logged as left by theirs.
func (r *Relay) CutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = true
}

// disconnectCause returns why the connection of a caller has ended.
func (r *Relay) disconnectCause() Cause {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff {
		return CauseCutOff
	}
	return CauseCallerLeft
}

// Query is one request while it is being served.
type Query struct {
	Request *driftexchange.Request
	// Table is the version of the configuration that applies to the request from
	// start to end.
	Table *driftroute.Table
	Route *driftroute.Route
	// Account is that of the caller, the zero value if the request needs none.
	Account driftaccount.Account
	Arrived time.Time
	// Deadline is when the caller must have its answer.
	Deadline time.Time
	// heldBytes are those of the replies that are kept for the answer, and answered
	// is set once none are. The relay's lock protects both.
	heldBytes int
	answered  bool
	// inFlight counts its attempts in flight.
	inFlight int
}

// Priority ranks the request; 0 is the most urgent.
func (q *Query) Priority() int {
	if q.Account.Ranked {
		return q.Account.Priority
	}
	return q.Route.Priority
}

// partialAnswerAt returns when the query is answered with the parts received so
// far.
func (q *Query) partialAnswerAt() time.Time {
	return q.Arrived.Add(PartialAnswerDelay(q.Route.LatencyObjective))
}

// callerMargin is how long before the caller's deadline the final answer is
// sent, to allow for the network delay.
const callerMargin = 10 * time.Millisecond

// Serve answers a request of a caller. Wait is how long the caller waits, 0 if
// unknown. Path is the part of the request target before any query. The header of the
// request is changed.
func (r *Relay) Serve(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration) Answer {
	return r.serve(ctx, request, path, arrived, wait, true)
}

// ServeForwarded answers a request forwarded by another VM. It is not forwarded
// again.
func (r *Relay) ServeForwarded(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration) Answer {
	return r.serve(ctx, request, path, arrived, wait, false)
}

// serve answers a request. MayForward is set if it may be forwarded to another
// VM.
func (r *Relay) serve(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration, mayForward bool) Answer {
	r.mu.Lock()
	table := r.table
	overloaded := r.running >= maxRunning
	if !overloaded {
		r.running++
		defer r.decrementRunning()
	}
	r.mu.Unlock()
	switch {
	case overloaded:
		return r.refuseUnrouted(request, CauseOverload, retryOverload)
	case table == nil:
		return r.refuseUnrouted(request, CauseNoConfig, StartReturnDelay(time.Since(r.started), rand.Float64()))
	}
	route, ok := table.Find(request.Host, path)
	if !ok {
		return r.noRoute(request, path, table.Config.Version)
	}
	account, refusal, ok := r.admit(request, table, route, !mayForward)
	if !ok {
		return refusal
	}
	if mayForward {
		route = r.forwardRoute(route)
	}
	limit := route.Timeout
	if wait > 0 && (limit <= 0 || wait < limit) {
		limit = wait
	}
	q := &Query{Request: request, Table: table, Route: route, Account: account, Arrived: arrived, Deadline: arrived.Add(limit - callerMargin)}
	r.tellAccount(q)
	s := newScatter(r, q)
	if refusal, ok := s.takeFromLimit(ctx); !ok {
		return s.recordAnswer(refusal)
	}
	if !s.startsBeforeStop(time.Now()) {
		return s.recordAnswer(s.refuseNotRun(s.withdraw(), CauseStopping))
	}
	return s.run(ctx)
}

// Release gives back the memory of an answer that was written to its caller. It is
// called once for each answer.
func (r *Relay) Release(a Answer) {
	r.memory.Release(a.heldBytes)
}

// holdReply keeps the body of a reply in memory until the query is answered. The
// caller holds the lock.
func (r *Relay) holdReply(q *Query, f *attempt, reply driftexchange.Reply) {
	if f.abandoned || q.answered {
		r.memory.Release(len(reply.Body))
		return
	}
	q.heldBytes += len(reply.Body)
}

// releaseReplies gives back the memory of all replies to the query but those of
// its answer.
func (r *Relay) releaseReplies(q *Query, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.answered = true
	if q.inFlight > 0 {
		r.atUpstreams--
	}
	r.memory.Release(q.heldBytes - a.heldBytes)
	q.heldBytes = 0
}

// noRoute answers a request that no route matches. If the view is stale, the
// route may be missing from it, so the caller is asked to try again.
func (r *Relay) noRoute(request *driftexchange.Request, path string, version int64) Answer {
	age := r.viewAge()
	if age > r.staleAfter() {
		return r.refuseUnrouted(request, CauseStale, retrySoon)
	}
	r.metrics.observeAnswer("", CauseNoRoute, 0)
	r.events.Record(driftevent.RequestFailed, request.ID, request.Host+path,
		fmt.Sprintf("%s status %d, version %d, view %d ms old", CauseNoRoute, http.StatusNotFound, version, age.Milliseconds()))
	return Answer{Status: http.StatusNotFound, Cause: CauseNoRoute}
}

// refuseUnrouted refuses a request for which no route was looked up or found.
func (r *Relay) refuseUnrouted(request *driftexchange.Request, cause Cause, retry time.Duration) Answer {
	r.metrics.observeAnswer("", cause, 0)
	answer := refuse(NotRun{neverSent}, cause, retry)
	r.events.Record(driftevent.RequestFailed, request.ID, request.Host,
		fmt.Sprintf("%s status %d", cause, answer.Status))
	return answer
}

// Lend grants another VM this VM's part of the fleet's limits, unless callers
// are sent to this one.
func (r *Relay) Lend(request driftshare.Request) (loan driftshare.Loan, ok bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Entry {
		return loan, false
	}
	spent := 0.0
	for _, b := range r.budgets {
		spent = max(spent, b.spent(now, r.rule)/max(1, r.rule.FixedExtra))
	}
	return r.ledger.Lend(request, spent)
}

func (r *Relay) decrementRunning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
