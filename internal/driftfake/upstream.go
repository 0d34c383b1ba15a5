// Package driftfake holds small stand-ins for what lies outside the system:
// the platform and the upstreams. Tests and the demo use them; they are no
// cluster simulator.
//
// Each stand-in counts for itself what the promises need, independently of
// the checks inside the product: cold overload, runs of a request id, work
// after leaving, peaks of requests and connections.
//
// # Usage
//
//	u := driftfake.NewUpstream("counter-1a", driftfake.WithSlots(4))
//	dialer := driftfake.NewDialer(u)
//	u.Cool()
//	fmt.Println(u.Counts().ColdOver)
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

// Upstream is a stand-in for one upstream. It is safe for concurrent use.
type Upstream struct {
	Name string

	slots    int
	service  time.Duration
	jitter   float64
	opening  time.Duration
	maxConns int
	bears    int
	warmup   int
	maxQueue int

	ledger   *Ledger
	detached bool

	mu       sync.Mutex
	random   *rand.Rand
	boot     uint64
	versions []uint64
	cold     bool
	served   int
	toppled  time.Time
	signed   time.Time
	leaving  time.Time
	out      time.Time
	parted   bool
	slow     float64
	mode     Mode
	flight   int
	conns    int
	open     map[*conn]struct{}
	reported *driftshard.Load
	running  chan struct{}
	counts   Counts
}

// Mode is a fault in the replies of an Upstream.
type Mode int

// The modes of an Upstream.
const (
	// Sound replies are whole and the request's own.
	Sound Mode = iota
	// Silent connections take requests and never answer. Connections opened
	// later are sound if the mode has been reset.
	Silent
	// Crossed replies carry the id of another attempt.
	Crossed
	// Short replies hold fewer rows than announced.
	Short
	// Drop runs the request and closes the connection without a reply.
	Drop
	// Other replies are those of another index version.
	Other
)

// toppleTime is how long a cold upstream that was overloaded sheds all.
const toppleTime = time.Second

// coldFactor is how much slower a cold upstream is.
const coldFactor = 5

// NewUpstream returns a warm upstream that serves version 1.
func NewUpstream(name string, opts ...UpstreamOption) *Upstream {
	u := &Upstream{
		Name: name, slots: 4, service: 3 * time.Millisecond, jitter: 0.5,
		maxConns: 35, bears: 1, warmup: 20, maxQueue: 64, boot: 1, slow: 1,
		versions: []uint64{1}, open: make(map[*conn]struct{}), ledger: NewLedger(),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(u)
	}
	u.running = make(chan struct{}, u.slots)
	return u
}

// Cool makes the upstream cold without a new boot number.
func (u *Upstream) Cool() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cool()
}

func (u *Upstream) cool() {
	u.cold, u.served, u.signed = true, 0, time.Time{}
}

// Restart makes the upstream cold with a new boot number. Its connections
// are reset.
func (u *Upstream) Restart() {
	u.mu.Lock()
	u.cool()
	u.boot++
	u.leaving, u.parted = time.Time{}, false
	if len(u.open) > 0 {
		u.sign()
	}
	reset := slices.Collect(maps.Keys(u.open))
	u.mu.Unlock()
	for _, c := range reset {
		_ = c.Close()
	}
}

// SilenceConnections makes the connections of now silent for good. New ones
// work.
func (u *Upstream) SilenceConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.open {
		c.silent.Store(true)
	}
}

// Leave begins to drain: requests are refused as leaving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving, u.parted = time.Now(), true
}

// CountLeaving sets the moment from which new work is counted as sent after
// leaving, for a test in which the news comes late. Zero counts nothing.
func (u *Upstream) CountLeaving(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = since
}

// CountOut sets the moment from which the failure domain is out. Zero means
// that it is in.
func (u *Upstream) CountOut(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.out = since
}

// SetReport makes the upstream report the given load, true or not, or its
// own one again when nil.
func (u *Upstream) SetReport(load *driftshard.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reported = load
}

// SetSlow makes every request slower by the factor.
func (u *Upstream) SetSlow(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = factor
}

// SetMode sets the fault in the replies.
func (u *Upstream) SetMode(mode Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
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

// Counts returns what the upstream has counted.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// answer is the reply to one request: an HTTP status and a body, or no reply
// at all when Status is 0.
type answer struct {
	Status int
	Body   driftupstream.SearchReply
}

// serve handles one request to its end, or to the end of ctx.
func (u *Upstream) serve(ctx context.Context, s driftupstream.SearchRequest) answer {
	early, mode := u.arrive(s)
	if early.Status != 0 {
		return early
	}
	if !u.detached || mode == Silent {
		return u.execute(ctx, s, mode)
	}
	done := make(chan answer, 1)
	go func() { done <- u.execute(context.WithoutCancel(ctx), s, mode) }()
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return answer{}
	}
}

// execute waits for a slot and runs an admitted request.
func (u *Upstream) execute(ctx context.Context, s driftupstream.SearchRequest, mode Mode) answer {
	defer u.depart()
	if mode == Silent {
		<-ctx.Done()
		return answer{}
	}
	select {
	case u.running <- struct{}{}:
	case <-ctx.Done():
		return answer{}
	}
	defer func() { <-u.running }()
	if ctx.Err() != nil {
		return answer{}
	}
	took, cold := u.run(s)
	if err := wait(ctx, took); err != nil {
		return answer{}
	}
	return u.finish(s, mode, cold)
}

// arrive counts a request and refuses it if the upstream is leaving, cannot
// serve the version, or is overloaded.
func (u *Upstream) arrive(s driftupstream.SearchRequest) (early answer, mode Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.counts.Requests++
	u.countForbidden(now)
	switch {
	case u.parted:
		return answer{Status: http.StatusGone}, 0
	case !u.serves(s.Version):
		return answer{Status: http.StatusConflict, Body: u.stamp(s)}, 0
	case u.cold && u.flight >= u.bears:
		u.countCold(now)
		u.toppled = now.Add(toppleTime)
		return u.shed(s), 0
	case now.Before(u.toppled), u.flight >= u.slots+u.maxQueue:
		return u.shed(s), 0
	}
	u.flight++
	u.counts.PeakFlight = max(u.counts.PeakFlight, u.flight)
	return answer{}, u.mode
}

func (u *Upstream) shed(s driftupstream.SearchRequest) answer {
	u.counts.Sheds++
	u.sign()
	return answer{Status: http.StatusServiceUnavailable, Body: u.stamp(s)}
}

func (u *Upstream) depart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.flight--
}

// run counts an execution and returns how long it takes, and whether it runs
// cold.
func (u *Upstream) run(s driftupstream.SearchRequest) (took time.Duration, cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Runs++
	if u.ledger.add(s.Request, s.NonIdempotent) {
		u.counts.Repeats++
	}
	factor := u.slow * (1 + u.jitter*(2*u.random.Float64()-1))
	if u.cold {
		factor *= coldFactor
	}
	return time.Duration(float64(u.service) * factor), u.cold
}

// finish builds the reply of an executed request.
func (u *Upstream) finish(s driftupstream.SearchRequest, mode Mode, cold bool) answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cold {
		u.served++
		u.sign()
	}
	if u.cold && u.served >= u.warmup {
		u.cold = false
	}
	f := u.stamp(s)
	if mode == Other {
		f.Version++
	}
	f.Depots = s.Depots
	for _, d := range s.Depots {
		f.Rows = append(f.Rows, driftshard.Row{Depot: d, Text: RowText(s.Text, f.Version)})
	}
	f.Count = len(f.Rows)
	switch mode {
	case Crossed:
		f.Attempt += "x"
	case Short:
		f.Rows = f.Rows[:len(f.Rows)/2]
	case Drop:
		return answer{}
	case Sound, Silent, Other:
	}
	return answer{Status: http.StatusOK, Body: f}
}

// RowText is the text of a row that a stand-in finds: what was searched for
// and the index version that it was found in.
func RowText(text string, version uint64) string {
	return fmt.Sprintf("%s in version %d", text, version)
}

func (u *Upstream) serves(version uint64) bool {
	return slices.Contains(u.versions, version)
}

// stamp returns a body with the fields that every reply carries. The caller
// holds the lock.
func (u *Upstream) stamp(s driftupstream.SearchRequest) driftupstream.SearchReply {
	f := driftupstream.SearchReply{Attempt: s.Attempt, Version: s.Version, Incarnation: u.boot, Busy: u.flight}
	if u.reported != nil {
		f.Busy, f.Queue = u.reported.InFlight, u.reported.Queue
	}
	if !u.serves(s.Version) && len(u.versions) > 0 {
		f.Version = u.versions[0]
	}
	return f
}
