// Package driftquota keeps the requests of client accounts within one limit over
// all VMs. It implements driftaccount.Limiter.
//
// Each account has a granter: the VM of the highest rank for it, by rendezvous
// hashing over the VMs that are alive and not leaving. The granter keeps the token
// bucket of the account and grants whole requests to the VMs that serve them. A VM
// asks for what waits and for what it expects in the next quarter of a second, and
// grants end grantLifetime after they were asked for. All counters of a session
// between two VMs are cumulative, so lost, late and doubled messages cannot
// raise the sum.
//
// A granter that is new begins with an empty bucket, and the VMs of a partition
// fill theirs at a share of the rate, so that the buckets of all granters, one
// after the other or side by side, stay within the bucket of one. What the rule
// tolerates beyond it is divided in whole requests among the VMs (Rule), for the
// time in which no granter answers.
//
// The decisions are in Granter and Engine, which have no input or output and are
// given the time. Limiter drives an Engine with a clock, a timer and messages.
//
// # Usage
//
//	limiter := driftquota.New("vm-1", rule, fleet.SendQuota)
//	go limiter.Run(ctx)
//	limiter.SetAccounts(directory.Limits())
//	limiter.SetView(view) // on each change and at least once a second
//	retryAfter, ok := limiter.Take(ctx, account, until)
package driftquota

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
)

// Times of grants.
const (
	// grantLifetime is how long a grant may be spent after it was asked for. It
	// bounds what can be spent in a window beyond what was granted in it.
	grantLifetime = 500 * time.Millisecond
	// expectSpan is the span for which a VM asks ahead.
	expectSpan = 250 * time.Millisecond
	// batchPeriod is the shortest time between two datagrams of asks to one granter.
	batchPeriod = time.Millisecond
	// retryAfter is the first time after which an ask without an answer is sent
	// again. It doubles up to maxRetryAfter.
	retryAfter    = 5 * time.Millisecond
	maxRetryAfter = 40 * time.Millisecond
	// silentAfter is how long an ask may be unanswered before the VM spends its own
	// allowance.
	silentAfter = 8 * time.Millisecond
	// answerWait is how long a request waits at least if no grant is at hand. The first
	// request of a connection may come when the time in which a refusal helps its caller
	// is nearly over: it would be refused before the granter can have answered.
	answerWait = 15 * time.Millisecond
	// maxBlocked bounds how long a VM takes a bucket to be empty without asking:
	// its limit may be raised.
	maxBlocked = 250 * time.Millisecond
	// settleTime is how long a granter fills its buckets with caution after its process
	// has started or was paused: others may still ask the one that took its place.
	settleTime = time.Second
	// firstSettleTime is how long it grants nothing at the first start of the whole
	// fleet, when buckets are full and the VMs have yet to meet.
	firstSettleTime = 2 * time.Second
	// pausedAfter is the time without a tick after which the process counts as
	// paused. It is shorter than the time after which others take it for dead.
	pausedAfter = 700 * time.Millisecond
	// idleAfter is how long the state of an account without requests is kept, at
	// least.
	idleAfter = 10 * time.Second
)

// Rule bounds the requests of an account over all VMs: in any Window no more than
// (rate × Window + burst) × (1 + Overrun) + Slack may run.
type Rule struct {
	Window time.Duration
	// Overrun is a fraction of the limit, Slack a number of requests.
	Overrun float64
	Slack   float64
}

// The parts of the tolerance of a rule. The rest, 0.4, is a reserve for the times in
// which two granters overlap, for grants that are spent later than granted, and for
// VMs with different views.
const (
	// bucketPart makes the bucket larger than the burst, so that an account of few
	// requests a second that stays below its rate is not refused when some come
	// close together.
	bucketPart = 0.2
	// allowancePart is divided among the VMs as their own allowance in each window.
	allowancePart = 0.2
	// startPart is divided likewise, to be spent in the first window after a start,
	// when the allowance before may just have been spent.
	startPart = 0.2
	// startMost bounds that part where it is raised to one request for each VM.
	startMost = 0.3
	// slightPart is half of the reserve. An account whose rate in slightSpan is smaller is
	// slight: granters that overlap can grant little of it, and its allowance in each
	// window is slightAllowance, so that more VMs have one.
	slightPart      = 0.2
	slightSpan      = time.Second
	slightAllowance = 0.25
)

// slight reports whether what the rule tolerates is large beside the account's rate.
func (r Rule) slight(a driftaccount.Account) bool {
	return a.Rate*slightSpan.Seconds() < slightPart*r.tolerance(a)
}

// tolerance returns how many requests in a window the rule tolerates beyond the
// limit of the account.
func (r Rule) tolerance(a driftaccount.Account) float64 {
	return (a.Rate*r.Window.Seconds()+a.Burst)*r.Overrun + r.Slack
}

// capacity returns the size of the account's bucket, in requests.
func (r Rule) capacity(a driftaccount.Account) float64 {
	return max(1, a.Burst+bucketPart*r.tolerance(a))
}

// Message is what one VM sends to another about accounts.
type Message struct {
	Ask    *Ask
	Grants *Grants
}

// Ask asks a granter for requests.
type Ask struct {
	// Run identifies the run of the asking process.
	Run uint64
	// At grows with each ask of a run. It is the time at which it was sent, on the
	// asker's clock.
	At    int64
	Items []AskItem
}

// AskItem asks for requests of one account.
type AskItem struct {
	Account string
	// Session identifies the series of asks of one VM to one granter; the counters
	// below begin anew with it.
	Session uint64
	// Got and Returned are how many requests the asker has been granted in all, and
	// how many of these it will not make.
	Got      uint64
	Returned uint64
	// Need is how many requests wait, Spare how many more are expected soon.
	Need  uint32
	Spare uint32
}

// Grants answers an Ask.
type Grants struct {
	Run   uint64
	At    int64
	Items []GrantItem
}

// GrantItem is the answer for one account.
type GrantItem struct {
	Account string
	Session uint64
	// Total is how many requests have been granted in the session in all.
	Total uint64
	// Wait is when the next request can be granted, 0 if not all that was needed
	// could be asked at once.
	Wait time.Duration
	// New is set while the bucket has not had the time to fill since the granter
	// became one.
	New bool
	// Denied is set if the VM is not the granter of the account, or does not know it.
	Denied bool
}
