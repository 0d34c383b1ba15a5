package driftstate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted reports that the platform no longer keeps the history since the
// revision that a watch started from.
const ErrCompacted = errors.ConstError("history compacted")

// ErrReverted reports that the platform was restored from an older copy since the
// revision that a watch started from.
const ErrReverted = errors.ConstError("platform restored from an older copy")

// ErrOlder reports that the platform listed an older revision than the one held,
// in the same era.
const ErrOlder = errors.ConstError("platform lists an older revision than the one held")

// Source reads what the platform publishes.
type Source interface {
	// List returns all items. With stale set the result may be seconds old, which
	// costs the platform less.
	List(ctx context.Context, stale bool) (Changes, error)
	// Watch returns the changes after the revision, or none after the wait. It
	// returns ErrCompacted if the platform no longer has the history. The era of
	// the result is that of the platform, also with an error.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

// Fleet gives a reader access to the other VMs.
type Fleet interface {
	// IsPlatformReader reports whether this VM reads the platform for the fleet.
	IsPlatformReader() bool
	// PullChanges returns the changes after the revision from a VM that holds a
	// newer one. It returns a NotFound error if no such VM is known, and another
	// error if the VM did not answer.
	PullChanges(ctx context.Context, after Revision) (Changes, error)
	// SetPlatformUnreadable tells other VMs whether this one fails to read the
	// platform.
	SetPlatformUnreadable(unreadable bool)
	// AnnounceRevision tells other VMs at once that the revision has grown.
	AnnounceRevision()
}

// Times of a reader. A change has to be in force within 3 s on both published
// sites, so a hanging watch must be detected well before that.
const (
	// watchWait is how long one watch waits for a change. It sets how often an
	// idle fleet calls the platform, and how old confirmed state may get.
	watchWait = 2 * time.Second
	// watchSlack is how much longer than watchWait an answer to a watch may take.
	watchSlack = 700 * time.Millisecond
	// coalescePause is the time between a watch that returned changes and the next
	// one, so that a burst of changes costs one call.
	coalescePause = 250 * time.Millisecond
	// listTimeout bounds one call of List.
	listTimeout = 2 * time.Second
	// directReadAge is the age of confirmed state above which a VM that is not a
	// platform reader reads for itself: a watch, its slack, and the propagation
	// through the fleet.
	directReadAge = 3200 * time.Millisecond
	// idlePollPeriod is how often a VM that is not a platform reader checks the
	// age of its state.
	idlePollPeriod = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read; random jitter
	// adds up to as much again. A hanging watch and one pause together are shorter
	// than the 4 s after which the platform counts as back on the published sites.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxNonReaderBackoff is the longest pause of a VM that is not a platform
	// reader. It keeps a fleet of 8,800 VMs that has lost the platform below 2,000
	// calls a second.
	maxNonReaderBackoff = 4 * time.Second
	// startupWait is how long a starting VM waits for state from other VMs before
	// it calls List itself.
	startupWait = 300 * time.Millisecond
)

// Reader keeps a Replica up to date.
type Reader struct {
	replica        *Replica
	source         Source
	fleet          Fleet
	observe        func(ReadResult)
	pullRequests   chan struct{}
	lastReadFailed atomic.Bool
	// configBound holds the duration that SetConfigBound sets.
	configBound atomic.Int64
}

// ReadResult is the outcome of one call to the platform or to another VM.
type ReadResult struct {
	Kind ReadKind
	// Revision is that of the answer. With an error only its era is set, if known.
	Revision Revision
	Items    int
	// Changed is set if the read changed the replica.
	Changed bool
	// Held is the revision that the replica held before the read.
	Held Revision
	Err  error
	Took time.Duration
}

// ReadKind identifies the call that a ReadResult describes.
type ReadKind string

// ReadList and ReadWatch are calls to the platform, ReadPull is a call to
// another VM.
const (
	ReadList  ReadKind = "list"
	ReadWatch ReadKind = "watch"
	ReadPull  ReadKind = "pull"
)

// ReaderOption configures a Reader.
type ReaderOption func(*Reader)

// WithObserver sets a function to call after every read.
func WithObserver(observe func(ReadResult)) ReaderOption {
	return func(r *Reader) { r.observe = observe }
}

// SetConfigBound sets how long after its publication a change has to be in force, 0
// for that of the published sites. A shorter bound shortens the watches, so that
// confirmed state does not get older.
func (r *Reader) SetConfigBound(bound time.Duration) { r.configBound.Store(int64(bound)) }

// watchWait returns how long one watch waits for a change: two thirds of the bound.
func (r *Reader) watchWait() time.Duration {
	bound := time.Duration(r.configBound.Load())
	if bound <= 0 {
		return watchWait
	}
	return min(watchWait, bound*2/3)
}

// directReadAge returns the age of confirmed state above which a VM that is not a
// platform reader reads for itself.
func (r *Reader) directReadAge() time.Duration { return directReadAge - watchWait + r.watchWait() }

// NewReader returns a reader that updates the replica.
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

// RequestPull makes the reader ask other VMs for a newer revision at once.
func (r *Reader) RequestPull() {
	select {
	case r.pullRequests <- struct{}{}:
	default:
	}
}

// Run reads until the context ends. Pulls run concurrently with the watch, so
// that changes from other VMs do not wait for it.
func (r *Reader) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runPulls(ctx)
	}()
	r.runReads(ctx)
	<-done
}

// runPulls pulls from another VM after each RequestPull.
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
	r.apply(ReadPull, c, err, start)
}

// apply applies and announces the changes of a read, and reports its outcome.
func (r *Reader) apply(kind ReadKind, c Changes, err error, start time.Time) {
	held, _ := r.replica.Revision()
	changed := err == nil && r.replica.Apply(c, time.Now())
	r.observe(ReadResult{
		Kind: kind, Revision: c.Revision, Items: len(c.Items), Changed: changed, Held: held,
		Err: err, Took: time.Since(start),
	})
	if changed {
		r.fleet.AnnounceRevision()
	}
}

// runReads reads the platform whenever a read is due, with exponential backoff
// after failures.
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

// backOff waits for the pause. A VM that becomes a platform reader in the
// meantime waits no longer than maxBackoff.
func (r *Reader) backOff(ctx context.Context, pause time.Duration) {
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < pause {
		if r.fleet.IsPlatformReader() && time.Since(start) >= maxBackoff {
			return
		}
		sleep(ctx, min(idlePollPeriod, pause-time.Since(start)))
	}
}

// backoffLimit returns the longest pause that applies to this VM.
func (r *Reader) backoffLimit() time.Duration {
	if r.fleet.IsPlatformReader() {
		return maxBackoff
	}
	return maxNonReaderBackoff
}

// readDue reports whether this VM should read the platform now.
func (r *Reader) readDue() bool {
	revision, confirmed := r.replica.Revision()
	return revision.IsZero() || r.fleet.IsPlatformReader() || time.Since(confirmed) > r.directReadAge()
}

func (r *Reader) read(ctx context.Context) error {
	revision, _ := r.replica.Revision()
	if revision.IsZero() {
		return r.listFirst(ctx)
	}
	changed, err := r.watch(ctx, revision)
	switch {
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrReverted):
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
	held, _ := r.replica.Revision()
	r.applyRead(ReadList, c, err, start)
	if err == nil && held.After(c.Revision) {
		return ErrOlder
	}
	return err
}

func (r *Reader) watch(ctx context.Context, after Revision) (changed bool, err error) {
	wait := r.watchWait()
	bounded, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	start := time.Now()
	c, err := r.source.Watch(bounded, after, wait)
	if err == nil && c.Revision.Era > after.Era {
		// The changes before those of the answer are unknown.
		err = ErrReverted
	}
	r.applyRead(ReadWatch, c, err, start)
	return len(c.Items) > 0, err
}

// applyRead applies a read of the platform, and records whether it can be read.
func (r *Reader) applyRead(kind ReadKind, c Changes, err error, start time.Time) {
	r.lastReadFailed.Store(err != nil)
	r.fleet.SetPlatformUnreadable(err != nil && !errors.Is(err, ErrCompacted) && !errors.Is(err, ErrReverted))
	r.apply(kind, c, err, start)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
