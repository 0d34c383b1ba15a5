// Package driftfake contains fakes of what lies outside the system: the
// platform, the upstreams and the network. Tests and the demo use them; they do
// not simulate a cluster.
//
// The fakes count what is needed to verify the invariants, independently of the
// checks inside the product: cold overload, runs of a request id, requests
// after leaving, and peaks of requests and connections.
//
// # Usage
//
//	u := driftfake.NewUpstream("counter-1a", driftfake.WithSlots(4))
//	dialer := driftfake.NewDialer(u)
//	u.MakeCold()
//	fmt.Println(u.Counts().ColdOverload)
package driftfake

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Upstream is a fake of one upstream. It is safe for concurrent use.
type Upstream struct {
	Name string

	slots          int
	serviceTime    time.Duration
	jitter         float64
	connectionCost time.Duration
	maxConns       int
	coldLimit      int // maximum in flight before a cold upstream is overloaded
	warmupReplies  int
	maxQueue       int

	runCounter *RunCounter
	detached   bool

	mu              sync.Mutex
	random          *rand.Rand
	incarnation     uint64
	versions        []uint64
	cold            bool
	coldReplies     int
	overloadedUntil time.Time
	coldSignAt      time.Time
	leavingSince    time.Time
	outSince        time.Time
	leaving         bool
	slowdown        float64
	replyMode       ReplyMode
	inFlight        int
	conns           int
	openConns       map[*conn]struct{}
	reportedLoad    *driftshard.Load
	running         chan struct{}
	counts          Counts
}

// ReplyMode selects a fault in the replies of an Upstream.
type ReplyMode int

// The reply modes of an Upstream.
const (
	// NormalReply sends correct replies.
	NormalReply ReplyMode = iota
	// NoReply accepts requests and never answers them. Requests that arrive
	// after the mode was reset are answered.
	NoReply
	// MismatchedReply sends the id of another attempt.
	MismatchedReply
	// TruncatedReply sends fewer rows than it announces.
	TruncatedReply
	// ConnectionClosed runs the request and closes the connection without a
	// reply.
	ConnectionClosed
	// OtherVersionReply answers from another index version.
	OtherVersionReply
)

// overloadRecoveryTime is how long a cold upstream sheds all requests after it
// was overloaded.
const overloadRecoveryTime = time.Second

// coldSlowdown multiplies the service time of a cold upstream.
const coldSlowdown = 5

// NewUpstream returns a warm upstream that serves version 1.
func NewUpstream(name string, opts ...UpstreamOption) *Upstream {
	u := &Upstream{
		Name: name, slots: 4, serviceTime: 3 * time.Millisecond, jitter: 0.5,
		maxConns: 35, coldLimit: 1, warmupReplies: 20, maxQueue: 64, incarnation: 1, slowdown: 1,
		versions: []uint64{1}, openConns: make(map[*conn]struct{}), runCounter: NewRunCounter(),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(u)
	}
	u.running = make(chan struct{}, u.slots)
	return u
}

// MakeCold makes the upstream cold in the same incarnation.
func (u *Upstream) MakeCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.makeCold()
}

// makeCold makes the upstream cold. The caller holds the lock.
func (u *Upstream) makeCold() {
	u.cold, u.coldReplies, u.coldSignAt = true, 0, time.Time{}
}

// Restart makes the upstream cold in a new incarnation. Its connections are
// reset.
func (u *Upstream) Restart() {
	u.mu.Lock()
	u.makeCold()
	u.incarnation++
	u.leavingSince, u.leaving = time.Time{}, false
	if len(u.openConns) > 0 {
		u.recordColdSign()
	}
	resetConns := slices.Collect(maps.Keys(u.openConns))
	u.mu.Unlock()
	for _, c := range resetConns {
		_ = c.Close()
	}
}

// SilenceConnections makes the connections that are open now deliver nothing any
// more, without closing them. New connections work.
func (u *Upstream) SilenceConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.openConns {
		c.silent.Store(true)
	}
}

// Leave makes the upstream drain: it refuses new requests because it is leaving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leavingSince, u.leaving = time.Now(), true
}

// SetLeavingSince sets the time from which new requests are counted as sent
// after leaving, for tests that announce the departure late. With zero nothing is
// counted.
func (u *Upstream) SetLeavingSince(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leavingSince = since
}

// SetMarkedOutSince sets the time from which the failure domain is marked out.
// Zero means that it is in service.
func (u *Upstream) SetMarkedOutSince(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.outSince = since
}

// SetReportedLoad makes the upstream report the given load instead of its real
// one. With nil it reports the real load again.
func (u *Upstream) SetReportedLoad(load *driftshard.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportedLoad = load
}

// SetSlowdown multiplies every service time by the factor.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// SetReplyMode selects the fault in the replies.
func (u *Upstream) SetReplyMode(replyMode ReplyMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.replyMode = replyMode
}

// SetVersions sets the index versions that are served.
func (u *Upstream) SetVersions(numbers ...uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.versions = numbers
}

// Cold reports whether the upstream is cold.
func (u *Upstream) Cold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cold
}

// Counts returns the counters.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// httpReply is the reply to one request: an HTTP status and a body. Status is 0
// when there is no reply.
type httpReply struct {
	Status int
	Body   driftupstream.SearchReply
}

// serve handles one request until it is answered or ctx ends.
func (u *Upstream) serve(ctx context.Context, s driftupstream.SearchRequest) httpReply {
	rejection, replyMode := u.admitRequest(s)
	if rejection.Status != 0 {
		return rejection
	}
	if !u.detached || replyMode == NoReply {
		return u.execute(ctx, s, replyMode)
	}
	done := make(chan httpReply, 1)
	go func() { done <- u.execute(context.WithoutCancel(ctx), s, replyMode) }()
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return httpReply{}
	}
}

// execute waits for a slot and runs an admitted request.
func (u *Upstream) execute(ctx context.Context, s driftupstream.SearchRequest, replyMode ReplyMode) httpReply {
	defer u.releaseRequest()
	if replyMode == NoReply {
		<-ctx.Done()
		return httpReply{}
	}
	select {
	case u.running <- struct{}{}:
	case <-ctx.Done():
		return httpReply{}
	}
	defer func() { <-u.running }()
	if ctx.Err() != nil {
		return httpReply{}
	}
	duration, cold := u.recordRun(s)
	if err := sleep(ctx, duration); err != nil {
		return httpReply{}
	}
	return u.buildReply(s, replyMode, cold)
}

// admitRequest counts a request. It returns a rejection if the upstream is
// leaving, does not serve the version, or is overloaded.
func (u *Upstream) admitRequest(s driftupstream.SearchRequest) (rejection httpReply, replyMode ReplyMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.counts.Requests++
	u.countDisallowed(now)
	switch {
	case u.leaving:
		return httpReply{Status: http.StatusGone}, 0
	case !u.serves(s.Version):
		return httpReply{Status: http.StatusConflict, Body: u.baseReply(s)}, 0
	case u.cold && u.inFlight >= u.coldLimit:
		u.countCold(now)
		u.overloadedUntil = now.Add(overloadRecoveryTime)
		return u.shed(s), 0
	case now.Before(u.overloadedUntil), u.inFlight >= u.slots+u.maxQueue:
		return u.shed(s), 0
	}
	u.inFlight++
	u.counts.PeakInFlight = max(u.counts.PeakInFlight, u.inFlight)
	return httpReply{}, u.replyMode
}

// shed refuses a request under load. The caller holds the lock.
func (u *Upstream) shed(s driftupstream.SearchRequest) httpReply {
	u.counts.Sheds++
	u.recordColdSign()
	return httpReply{Status: http.StatusServiceUnavailable, Body: u.baseReply(s)}
}

// releaseRequest ends a request that admitRequest has admitted.
func (u *Upstream) releaseRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// recordRun counts a run. It returns how long the run takes and whether the
// upstream is cold.
func (u *Upstream) recordRun(s driftupstream.SearchRequest) (duration time.Duration, cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Runs++
	if u.runCounter.addRun(s.Request, s.NonIdempotent) {
		u.counts.DuplicateRuns++
	}
	factor := u.slowdown * (1 + u.jitter*(2*u.random.Float64()-1))
	if u.cold {
		factor *= coldSlowdown
	}
	return time.Duration(float64(u.serviceTime) * factor), u.cold
}

// buildReply builds the reply of an executed request.
func (u *Upstream) buildReply(s driftupstream.SearchRequest, replyMode ReplyMode, cold bool) httpReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cold {
		u.coldReplies++
		u.recordColdSign()
	}
	if u.cold && u.coldReplies >= u.warmupReplies {
		u.cold = false
	}
	f := u.baseReply(s)
	if replyMode == OtherVersionReply {
		f.Version++
	}
	f.Depots = s.Depots
	for _, d := range s.Depots {
		f.Rows = append(f.Rows, driftshard.Row{Depot: d, Text: RowText(s.Text, f.Version)})
	}
	f.Count = len(f.Rows)
	switch replyMode {
	case MismatchedReply:
		f.Attempt += "x"
	case TruncatedReply:
		f.Rows = f.Rows[:len(f.Rows)/2]
	case ConnectionClosed:
		return httpReply{}
	case NormalReply, NoReply, OtherVersionReply:
	}
	return httpReply{Status: http.StatusOK, Body: f}
}

// RowText returns the text of a row that a fake upstream finds: the search text
// and the index version.
func RowText(text string, version uint64) string {
	return fmt.Sprintf("%s in version %d", text, version)
}

func (u *Upstream) serves(version uint64) bool {
	return slices.Contains(u.versions, version)
}

// baseReply returns a body with the fields that every reply has. The caller
// holds the lock.
func (u *Upstream) baseReply(s driftupstream.SearchRequest) driftupstream.SearchReply {
	f := driftupstream.SearchReply{Attempt: s.Attempt, Version: s.Version, Incarnation: u.incarnation, Busy: u.inFlight}
	if u.reportedLoad != nil {
		f.Busy, f.Queue = u.reportedLoad.InFlight, u.reportedLoad.Queue
	}
	if !u.serves(s.Version) && len(u.versions) > 0 {
		f.Version = u.versions[0]
	}
	return f
}
