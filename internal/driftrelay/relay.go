// Package driftrelay serves opaque requests: it finds the route, chooses
// upstreams, sends, retries and hedges, and answers with the reply of one
// upstream or with the merged parts of many.
//
// The decisions are plain functions over values, apart from input and output:
// Estimate places a request, HedgeDelay and AnswerAt time it, Budget bounds
// the extra sends. Relay holds the table of upstreams that they are made from.
// Every VM talks to upstreams itself, within its share of what each upstream
// accepts (docs/decisions/platform.md).
//
// # Usage
//
//	relay := driftrelay.New(self, headers, driftrelay.WithBudget(rule))
//	relay.Update(view)
//	answer := relay.Serve(ctx, request, arrived, deadline)
package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Relay serves requests at one VM. It is safe for concurrent use.
type Relay struct {
	self          VM
	headers       driftexchange.Headers
	rule          BudgetRule
	checker       *driftcheck.Checker
	events        driftevent.Recorder
	reportSuspect func(upstream string, span time.Duration)
	viewAge       func() time.Duration
	roundRobin    *driftroute.WeightedRoundRobin
	started       time.Time
	metrics       *Metrics
	dialer        driftexchange.Dialer

	mu        sync.Mutex
	table     *driftroute.Table
	upstreams map[string]*upstreamState
	services  map[string][]*upstreamState
	// serviceDomains are the failure domains with an upstream of a service.
	serviceDomains map[string]map[string]bool
	outSince       map[string]time.Time
	others         []VM
	peers          []*upstreamState
	budgets        map[string]*Budget
	typicalTimes   map[string]time.Duration
	running        int
	sendRate       rateMeter
}

// Option changes a Relay that New makes.
type Option func(*Relay)

// WithBudget sets the rule that bounds extra sends.
func WithBudget(rule BudgetRule) Option {
	return func(r *Relay) { r.rule = rule }
}

// WithChecks sets the recorder of events and the checker of the promises.
func WithChecks(events driftevent.Recorder, checker *driftcheck.Checker) Option {
	return func(r *Relay) { r.events, r.checker = events, checker }
}

// WithMetrics sets the metrics that count the relay's work.
func WithMetrics(m *Metrics) Option {
	return func(r *Relay) { r.metrics = m }
}

// WithDialer sets how connections are opened. The default is TCP.
func WithDialer(dialer driftexchange.Dialer) Option {
	return func(r *Relay) { r.dialer = dialer }
}

// WithSuspectReport calls the function when an upstream does not answer, to tell other
// VMs.
func WithSuspectReport(tell func(upstream string, span time.Duration)) Option {
	return func(r *Relay) { r.reportSuspect = tell }
}

// WithViewAge sets the function that returns how long ago the platform confirmed
// the view.
func WithViewAge(age func() time.Duration) Option {
	return func(r *Relay) { r.viewAge = age }
}

// staleAfter is the age of the view from which a missing route is no longer
// taken to be unpublished: changes are in force within 3 s on the published
// sites.
const staleAfter = 2900 * time.Millisecond

// DefaultBudget is the rule on the published sites.
func DefaultBudget() BudgetRule {
	return BudgetRule{Ratio: 0.2, FixedExtra: 56, Window: 10 * time.Second}
}

// New returns a relay that knows no route.
func New(self VM, headers driftexchange.Headers, opts ...Option) *Relay {
	events := driftevent.NewLog(self.Name, 0)
	r := &Relay{
		self: self, headers: headers, rule: DefaultBudget(), events: events,
		checker: driftcheck.NewChecker(events), dialer: driftexchange.DialTCP,
		roundRobin: driftroute.NewWeightedRoundRobin(), started: time.Now(),
		reportSuspect: func(string, time.Duration) {}, viewAge: func() time.Duration { return 0 },
		upstreams: make(map[string]*upstreamState), services: make(map[string][]*upstreamState),
		outSince: make(map[string]time.Time), budgets: make(map[string]*Budget),
		typicalTimes: make(map[string]time.Duration), sendRate: rateMeter{since: time.Now()},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Answer is what the caller gets.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Cause says why, in one word.
	Cause Cause
	// RetryAfter is when the caller may come back, 0 if not said.
	RetryAfter time.Duration
}

// Cause says why an answer is what it is.
type Cause string

// The causes of answers.
const (
	CauseServed     Cause = "served"   // the upstream's answer, or all parts
	CausePassed     Cause = "passed"   // a failure of the upstream or the other VM, unchanged
	CausePartial    Cause = "partial"  // enough parts, but not all
	CauseNoConfig   Cause = "noconfig" // no configuration is known yet
	CauseNoRoute    Cause = "noroute"  // no route matches
	CauseStale      Cause = "stale"    // no route matches, but the view is old
	CauseNoUpstream Cause = "nowhere"  // no upstream can take the request
	CauseOverload   Cause = "full"     // too much is waiting
	CauseRefused    Cause = "refused"  // upstreams refused it without running it
	CauseUnknown    Cause = "unknown"  // it may have run, and was not answered
	CauseTimeout    Cause = "timeout"  // the time is over
	CauseCallerLeft Cause = "left"     // the caller has gone
)

// maxRunning bounds the requests that are served at a time.
const maxRunning = 2048

// Times after which a refused caller may come back.
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

// Query is one request on its way.
type Query struct {
	Request *driftexchange.Request
	// Table is the version of the configuration that holds from the start of
	// the request to its end.
	Table   *driftroute.Table
	Route   *driftroute.Route
	Arrived time.Time
	// Deadline is when the caller must have its answer.
	Deadline time.Time
}

// partialAnswerAt returns when a query is answered with the parts that are in.
func (q *Query) partialAnswerAt() time.Time {
	return q.Arrived.Add(PartialAnswerDelay(q.Route.LatencyObjective))
}

// callerMargin is how much earlier than the caller's deadline the final
// answer leaves, for its way.
const callerMargin = 10 * time.Millisecond

// Serve answers a request of a caller. Wait is how long the caller waits, 0 if
// it did not say. The path is the part of the target before any query.
func (r *Relay) Serve(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration) Answer {
	return r.serve(ctx, request, path, arrived, wait, true)
}

// ServeForwarded answers a request that another VM passes on; it goes no further.
func (r *Relay) ServeForwarded(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration) Answer {
	return r.serve(ctx, request, path, arrived, wait, false)
}

// serve answers a request. MayHop is set if it may go on to another VM.
func (r *Relay) serve(ctx context.Context, request *driftexchange.Request, path string, arrived time.Time, wait time.Duration, mayForward bool) Answer {
	r.mu.Lock()
	table := r.table
	full := r.running >= maxRunning
	if !full {
		r.running++
		defer r.decrementRunning()
	}
	r.mu.Unlock()
	switch {
	case full:
		return r.refuseUnrouted(request, CauseOverload, retryOverload)
	case table == nil:
		return r.refuseUnrouted(request, CauseNoConfig, retrySoon)
	}
	route, ok := table.Find(request.Host, path)
	if !ok {
		return r.noRoute(request, path, table.Config.Version)
	}
	if mayForward {
		route = r.forwardRoute(route)
	}
	limit := route.Timeout
	if wait > 0 && (limit <= 0 || wait < limit) {
		limit = wait
	}
	q := &Query{Request: request, Table: table, Route: route, Arrived: arrived, Deadline: arrived.Add(limit - callerMargin)}
	return newScatter(r, q).run(ctx)
}

// noRoute answers a request that no route matches. A view that is not recent
// may lack the route, so that the caller is asked to come back.
func (r *Relay) noRoute(request *driftexchange.Request, path string, version int64) Answer {
	age := r.viewAge()
	if age > staleAfter {
		return r.refuseUnrouted(request, CauseStale, retrySoon)
	}
	r.metrics.observeAnswer("", CauseNoRoute, 0)
	r.events.Record(driftevent.RequestFailed, request.ID, request.Host+path,
		fmt.Sprintf("%s status %d, version %d, view %d ms old", CauseNoRoute, http.StatusNotFound, version, age.Milliseconds()))
	return Answer{Status: http.StatusNotFound, Cause: CauseNoRoute}
}

// refuseUnrouted refuses a request before its route is known.
func (r *Relay) refuseUnrouted(request *driftexchange.Request, cause Cause, retry time.Duration) Answer {
	r.metrics.observeAnswer("", cause, 0)
	answer := refuse(cause, retry)
	r.events.Record(driftevent.RequestFailed, request.ID, request.Host,
		fmt.Sprintf("%s status %d", cause, answer.Status))
	return answer
}

// budgetShare returns this VM's share of the budgets. The caller holds the
// lock.
func (r *Relay) budgetShare(now time.Time) BudgetShare {
	return BudgetShare{VMs: 1 + len(r.others), RecentlyStarted: now.Sub(r.started) < r.rule.Window}
}

func (r *Relay) decrementRunning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// refuse returns a refusal of a request that has not run.
func refuse(cause Cause, retry time.Duration) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: retry}
}
