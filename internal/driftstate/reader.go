package driftstate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted says that the platform no longer has the history after the
// revision that a watch began at.
const ErrCompacted = errors.ConstError("history compacted")

// Source reads what the platform publishes.
type Source interface {
	// List returns everything. With stale set it may be seconds old, at a
	// lower price.
	List(ctx context.Context, stale bool) (Changes, error)
	// Watch returns the changes after the revision, or none when the wait is
	// over. It returns ErrCompacted if the history is gone.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Fleet is what a reader knows of the other VMs.
type Fleet interface {
	// IsPlatformReader reports whether this VM is one of those that watch the platform.
	IsPlatformReader() bool
	// PullChanges asks a VM that holds a newer revision, and returns an error if
	// none is known or it did not answer.
	PullChanges(ctx context.Context, after int64) (Changes, error)
	// SetPlatformUnreadable tells other VMs whether this one can read the platform.
	SetPlatformUnreadable(blind bool)
	// AnnounceRevision tells other VMs at once that the revision has grown.
	AnnounceRevision()
}

// Times of a reader. A change has to be in force within 3 s on both
// published sites; a silent watch is noticed well before that.
const (
	// watchWait is how long one watch waits for a change. It sets how often a
	// quiet fleet calls the platform, and how old confirmed state may get.
	watchWait = 2 * time.Second
	// watchSlack is how much later than asked an answer to a watch may come.
	watchSlack = 700 * time.Millisecond
	// coalescePause is the time between a watch that brought changes and the
	// next one, so that changes that come in a row cost one call.
	coalescePause = 250 * time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 2 * time.Second
	// directReadAge is the age from which a VM that does not watch reads for
	// itself: a watch, its slack, and the way through the fleet.
	directReadAge = 3200 * time.Millisecond
	// idlePollPeriod is how often a VM that does not watch looks at its state.
	idlePollPeriod = 200 * time.Millisecond
	// minBackoff and lastPause bound the pause after a failed read; up to as
	// much again is added at random. A watch that hangs and a pause end within
	// the 4 s after which the platform counts as back on the published sites.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxNonReaderBackoff is the last pause of a VM that is not one of the readers. A
	// fleet of 8,800 that has lost the platform stays under 2,000 calls a
	// second with it.
	maxNonReaderBackoff = 4 * time.Second
	// startupWait is how long a VM that starts waits for state from others
	// before it lists by itself.
	startupWait = 300 * time.Millisecond
)

// Reader keeps a replica fresh.
type Reader struct {
	replica        *Replica
	source         Source
	fleet          Fleet
	observe        func(ReadResult)
	pullRequests   chan struct{}
	lastReadFailed atomic.Bool
}

// ReadResult is the outcome of one call to the platform or to another VM.
type ReadResult struct {
	Kind     ReadKind
	Revision int64
	Items    int
	Err      error
	Took     time.Duration
}

// ReadKind is the kind of a call.
type ReadKind string

// The kinds of calls.
const (
	ReadList  ReadKind = "list"
	ReadWatch ReadKind = "watch"
	ReadPull  ReadKind = "pull"
)

// ReaderOption changes a Reader that NewReader makes.
type ReaderOption func(*Reader)

// WithObserver calls the function after every call.
func WithObserver(observe func(ReadResult)) ReaderOption {
	return func(r *Reader) { r.observe = observe }
}

// NewReader returns a reader that fills the replica.
func NewReader(replica *Replica, source Source, fleet Fleet, opts ...ReaderOption) *Reader {
	r := &Reader{
		replica: replica, source: source, fleet: fleet,
		observe: func(ReadResult) {}, pullRequests: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// RequestPull makes the reader look at once whether another VM holds a newer
// revision.
func (r *Reader) RequestPull() {
	select {
	case r.pullRequests <- struct{}{}:
	default:
	}
}

// Run reads until the context ends. Pulls run beside the watch, so that news
// from other VMs does not wait for it.
func (r *Reader) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runPulls(ctx)
	}()
	r.runReads(ctx)
	<-done
}

// runPulls takes newer state from other VMs whenever they announce it.
func (r *Reader) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pullRequests:
		}
		r.pull(ctx)
	}
}

func (r *Reader) pull(ctx context.Context) {
	revision, _ := r.replica.Revision()
	start := time.Now()
	c, err := r.fleet.PullChanges(ctx, revision)
	if errors.Is(err, errors.NotFound) {
		return
	}
	r.observe(ReadResult{Kind: ReadPull, Revision: c.Revision, Items: len(c.Items), Err: err, Took: time.Since(start)})
	if err != nil {
		return
	}
	if r.replica.Apply(c, time.Now()) {
		r.fleet.AnnounceRevision()
	}
}

func (r *Reader) runReads(ctx context.Context) {
	if !r.fleet.IsPlatformReader() {
		sleep(ctx, startupWait)
	}
	pause := minBackoff
	for ctx.Err() == nil {
		if !r.readDue() {
			sleep(ctx, idlePollPeriod)
			continue
		}
		err := r.read(ctx)
		if err == nil {
			pause = minBackoff
			continue
		}
		r.backOff(ctx, pause+rand.N(pause))
		pause = min(2*pause, r.backoffLimit())
	}
}

// backOff waits, but no longer than a reader would once this VM has become one.
func (r *Reader) backOff(ctx context.Context, pause time.Duration) {
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < pause {
		if r.fleet.IsPlatformReader() && time.Since(start) >= maxBackoff {
			return
		}
		sleep(ctx, min(idlePollPeriod, pause-time.Since(start)))
	}
}

func (r *Reader) backoffLimit() time.Duration {
	if r.fleet.IsPlatformReader() {
		return maxBackoff
	}
	return maxNonReaderBackoff
}

// readDue reports whether this VM should read the platform now.
func (r *Reader) readDue() bool {
	revision, confirmed := r.replica.Revision()
	return revision == 0 || r.fleet.IsPlatformReader() || time.Since(confirmed) > directReadAge
}

func (r *Reader) read(ctx context.Context) error {
	revision, _ := r.replica.Revision()
	if revision == 0 {
		return r.list(ctx, !r.lastReadFailed.Load())
	}
	changed, err := r.watch(ctx, revision)
	switch {
	case errors.Is(err, ErrCompacted):
		return r.list(ctx, false)
	case changed:
		sleep(ctx, coalescePause)
	}
	return err
}

func (r *Reader) list(ctx context.Context, stale bool) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := time.Now()
	c, err := r.source.List(bounded, stale)
	if stale {
		c.Confirmed = time.Time{}
	}
	r.applyRead(ReadList, c, err, start)
	return err
}

func (r *Reader) watch(ctx context.Context, after int64) (changed bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	start := time.Now()
	c, err := r.source.Watch(bounded, after, watchWait)
	r.applyRead(ReadWatch, c, err, start)
	return len(c.Items) > 0, err
}

func (r *Reader) applyRead(kind ReadKind, c Changes, err error, start time.Time) {
	r.observe(ReadResult{Kind: kind, Revision: c.Revision, Items: len(c.Items), Err: err, Took: time.Since(start)})
	r.lastReadFailed.Store(err != nil)
	r.fleet.SetPlatformUnreadable(err != nil && !errors.Is(err, ErrCompacted))
	if err != nil {
		return
	}
	if r.replica.Apply(c, time.Now()) {
		r.fleet.AnnounceRevision()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
