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
	"math/rand/v2"
	"net/http"
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

	mu       sync.Mutex
	random   *rand.Rand
	boot     uint64
	versions []uint64
	cold     bool
	served   int
	toppled  time.Time
	leaving  time.Time
	parted   bool
	slow     float64
	mode     Mode
	flight   int
	conns    int
	running  chan struct{}
	runs     map[string]int
	counts   Counts
}

// Counts is what an Upstream has counted for itself.
type Counts struct {
	// Requests arrived, Runs were executed, Sheds refused under load.
	Requests, Runs, Sheds int
	// ColdOver counts the requests that arrived when a cold upstream already
	// had as many in flight as it bears.
	ColdOver int
	// Repeats counts the runs of an id after its first, for requests that
	// are not idempotent.
	Repeats int
	// AfterLeaving counts the requests that arrived more than three seconds
	// after the upstream began to leave.
	AfterLeaving int
	// PeakFlight and PeakConns are the highest numbers seen at a time.
	PeakFlight, PeakConns int
	// Opened counts the connections that were opened.
	Opened int
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
)

// leavingGrace is how long new work may reach a leaving upstream.
const leavingGrace = 3 * time.Second

// toppleTime is how long a cold upstream that was overloaded sheds all.
const toppleTime = time.Second

// coldFactor is how much slower a cold upstream is.
const coldFactor = 5

// UpstreamOption changes an Upstream that NewUpstream makes.
type UpstreamOption func(*Upstream)

// WithSlots sets how many requests run at a time.
func WithSlots(slots int) UpstreamOption { return func(u *Upstream) { u.slots = slots } }

// WithService sets the mean time of a request and its spread, a share of
// the mean between 0 and 1.
func WithService(mean time.Duration, jitter float64) UpstreamOption {
	return func(u *Upstream) { u.service, u.jitter = mean, jitter }
}

// WithOpening sets the cost of a new connection and the number allowed.
func WithOpening(cost time.Duration, conns int) UpstreamOption {
	return func(u *Upstream) { u.opening, u.maxConns = cost, conns }
}

// WithCold sets how many requests a cold upstream bears at a time and after
// how many served it is warm.
func WithCold(bears, warmup int) UpstreamOption {
	return func(u *Upstream) { u.bears, u.warmup = bears, warmup }
}

// WithVersions sets the index versions that are served.
func WithVersions(numbers ...uint64) UpstreamOption {
	return func(u *Upstream) { u.versions = numbers }
}

// WithSeed sets the seed of the spread of service times.
func WithSeed(seed uint64) UpstreamOption {
	return func(u *Upstream) { u.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewUpstream returns a warm upstream that serves version 1.
func NewUpstream(name string, opts ...UpstreamOption) *Upstream {
	u := &Upstream{
		Name: name, slots: 4, service: 3 * time.Millisecond, jitter: 0.5,
		maxConns: 35, bears: 1, warmup: 20, maxQueue: 64, boot: 1, slow: 1,
		versions: []uint64{1}, runs: make(map[string]int),
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
	u.cold, u.served = true, 0
}

// Restart makes the upstream cold with a new boot number.
func (u *Upstream) Restart() {
	u.Cool()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.boot++
	u.leaving = time.Time{}
	u.parted = false
}

// Leave begins to drain: requests are refused as leaving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving, u.parted = time.Now(), true
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
	Body   driftupstream.Found
}

// serve handles one request to its end.
func (u *Upstream) serve(ctx context.Context, s driftupstream.Search) answer {
	early, mode := u.arrive(s)
	if early.Status != 0 {
		return early
	}
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
	took := u.run(s)
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return answer{}
	}
	return u.finish(s, mode)
}

// arrive counts a request and refuses it if the upstream is leaving, cannot
// serve the version, or is overloaded.
func (u *Upstream) arrive(s driftupstream.Search) (early answer, mode Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.counts.Requests++
	if !u.leaving.IsZero() && now.Sub(u.leaving) > leavingGrace {
		u.counts.AfterLeaving++
	}
	switch {
	case u.parted:
		return answer{Status: http.StatusGone}, 0
	case !u.serves(s.Version):
		return answer{Status: http.StatusConflict, Body: u.stamp(s)}, 0
	case now.Before(u.toppled), u.flight >= u.slots+u.maxQueue:
		u.counts.Sheds++
		return answer{Status: http.StatusServiceUnavailable, Body: u.stamp(s)}, 0
	case u.cold && u.flight >= u.bears:
		u.counts.ColdOver++
		u.counts.Sheds++
		u.toppled = now.Add(toppleTime)
		return answer{Status: http.StatusServiceUnavailable, Body: u.stamp(s)}, 0
	}
	u.flight++
	u.counts.PeakFlight = max(u.counts.PeakFlight, u.flight)
	return answer{}, u.mode
}

func (u *Upstream) depart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.flight--
}

// run counts an execution and returns how long it takes.
func (u *Upstream) run(s driftupstream.Search) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Runs++
	if s.Once {
		u.runs[s.Request]++
		if u.runs[s.Request] > 1 {
			u.counts.Repeats++
		}
	}
	factor := u.slow * (1 + u.jitter*(2*u.random.Float64()-1))
	if u.cold {
		factor *= coldFactor
	}
	return time.Duration(float64(u.service) * factor)
}

// finish builds the reply of an executed request.
func (u *Upstream) finish(s driftupstream.Search, mode Mode) answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	if u.cold && u.served >= u.warmup {
		u.cold = false
	}
	f := u.stamp(s)
	f.Depots = s.Depots
	for _, d := range s.Depots {
		f.Rows = append(f.Rows, driftshard.Row{Depot: d, Text: s.Text})
	}
	f.Count = len(f.Rows)
	switch mode {
	case Crossed:
		f.Attempt += "x"
	case Short:
		f.Rows = f.Rows[:len(f.Rows)/2]
	case Drop:
		return answer{}
	case Sound, Silent:
	}
	return answer{Status: http.StatusOK, Body: f}
}

func (u *Upstream) serves(version uint64) bool {
	for _, v := range u.versions {
		if v == version {
			return true
		}
	}
	return false
}

// stamp returns a body with the fields that every reply carries. The caller
// holds the lock.
func (u *Upstream) stamp(s driftupstream.Search) driftupstream.Found {
	f := driftupstream.Found{Attempt: s.Attempt, Version: s.Version, Boot: u.boot, Busy: u.flight}
	if !u.serves(s.Version) && len(u.versions) > 0 {
		f.Version = u.versions[0]
	}
	return f
}

// Runs returns how often the request id was executed.
func (u *Upstream) Runs(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[request]
}
