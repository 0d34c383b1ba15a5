package driftquota

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// Limiter keeps the requests of this VM within the limits of their accounts. It
// implements driftaccount.Limiter and is safe for concurrent use.
type Limiter struct {
	clock   func() time.Duration
	send    func(to string, m Message)
	events  driftevent.Recorder
	metrics *Metrics
	first   bool
	run     uint64
	// inUse is set once there was an account with a limit.
	inUse atomic.Bool
	// wake asks Run to look at the time of the next tick again.
	wake chan struct{}

	mu     sync.Mutex
	engine *Engine
	// next is when Run ticks next.
	next    time.Duration
	counted Counts
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the clock, which must advance while the VM is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(l *Limiter) { l.clock = clock }
}

// WithFirstStart makes buckets begin full: the whole fleet starts for the first time.
func WithFirstStart() Option {
	return func(l *Limiter) { l.first = true }
}

// WithEvents sets the recorder of accounts that reach their limits.
func WithEvents(events driftevent.Recorder) Option {
	return func(l *Limiter) { l.events = events }
}

// WithMetrics sets the metrics that the limiter updates.
func WithMetrics(m *Metrics) Option {
	return func(l *Limiter) { l.metrics = m }
}

// New returns the limiter of the named VM. Send sends a message to another VM; it may
// be called from several goroutines.
func New(name string, rule Rule, send func(to string, m Message), opts ...Option) *Limiter {
	l := &Limiter{clock: driftshare.BootTime, send: send, run: rand.Uint64(), wake: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(l)
	}
	l.engine = NewEngine(name, rule, l.run, l.clock(), l.first)
	return l
}

// InUse reports whether there has been an account with a limit.
func (l *Limiter) InUse() bool { return l.inUse.Load() }

// do runs a function of the engine, and then sends and records what follows from it.
func (l *Limiter) do(run func(e *Engine, now time.Duration)) {
	l.mu.Lock()
	now := l.clock()
	run(l.engine, now)
	out, changes := l.engine.Drain()
	next := l.engine.Next(now)
	sooner := next < l.next
	l.next = next
	counts := l.engine.Counts()
	before := l.counted
	l.counted = counts
	l.mu.Unlock()
	if sooner {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	for _, o := range out {
		l.send(o.To, o.Message)
	}
	l.metrics.count(before, counts)
	l.record(changes)
}

func (l *Limiter) record(changes []Change) {
	if l.events == nil {
		return
	}
	for _, c := range changes {
		if c.Limited {
			l.events.Record(driftevent.AccountLimited, "", c.Account.Name, strconv.FormatFloat(c.Account.Rate, 'g', 6, 64)+" a second")
			continue
		}
		l.events.Record(driftevent.AccountWithin, "", c.Account.Name, "")
	}
}

// Run ticks until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.do(func(e *Engine, now time.Duration) { e.Tick(now) })
		case <-l.wake:
		}
		l.mu.Lock()
		wait := l.next - l.clock()
		l.mu.Unlock()
		timer.Reset(max(0, wait))
	}
}

// SetAccounts takes over the limited accounts of a version.
func (l *Limiter) SetAccounts(accounts []driftaccount.Account) {
	if len(accounts) > 0 {
		l.inUse.Store(true)
	}
	// Also a version without any counts: those of the next one are added by it.
	l.do(func(e *Engine, now time.Duration) { e.SetAccounts(now, accounts) })
}

// SetView takes over what the VM knows of the fleet.
func (l *Limiter) SetView(v View) {
	l.do(func(e *Engine, now time.Duration) { e.SetView(now, v) })
}

// Receive takes in a message of another VM.
func (l *Limiter) Receive(from string, m Message) {
	l.do(func(e *Engine, now time.Duration) { e.Receive(now, from, m) })
}

// Take implements driftaccount.Limiter.
func (l *Limiter) Take(ctx context.Context, account driftaccount.Account, until time.Time) (retryAfter time.Duration, ok bool) {
	if !account.Limited() {
		return 0, true
	}
	var w *Waiter
	started := time.Now()
	l.do(func(e *Engine, now time.Duration) { w = e.Take(now, account, now+time.Until(until)) })
	select {
	case <-w.finished:
	case <-ctx.Done():
		l.do(func(e *Engine, _ time.Duration) { e.Cancel(w) })
	}
	l.metrics.observeWait(time.Since(started))
	return w.retryAfter, w.ok
}
