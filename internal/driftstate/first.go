package driftstate

import (
	"context"
	"time"
)

// firstListPeriod is the time between two calls of List while nothing is held.
const firstListPeriod = 250 * time.Millisecond

// listed is the outcome of one call of List.
type listed struct {
	changes Changes
	err     error
	start   time.Time
}

// listFirst reads the first state. It handles a fleet that starts while the
// platform does not answer: no VM knows a configuration, callers are refused, and a
// call that hangs would keep the reader from noticing that the platform is back. A
// platform reader therefore starts a new call each firstListPeriod, beside those that
// have had no answer for up to listTimeout, since the platform may also be slow.
func (r *Reader) listFirst(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan listed)
	calls := 0
	var lastCall time.Time
	var failed error
	call := func() {
		calls, lastCall = calls+1, time.Now()
		stale := !r.lastReadFailed.Load()
		go func() {
			bounded, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			l := listed{start: time.Now()}
			l.changes, l.err = r.source.List(bounded, stale)
			if stale {
				l.changes.Confirmed = time.Time{}
			}
			select {
			case results <- l:
			case <-ctx.Done():
			}
		}()
	}
	call()
	ticker := time.NewTicker(firstListPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l := <-results:
			calls--
			r.applyRead(ReadList, l.changes, l.err, l.start)
			if failed = l.err; failed == nil {
				return nil
			}
		case <-ticker.C:
		}
		revision, _ := r.replica.Revision()
		switch {
		case !revision.IsZero():
			// Another VM had the state.
			return nil
		case r.fleet.IsPlatformReader():
			if time.Since(lastCall) >= firstListPeriod {
				call()
			}
		case calls == 0:
			return failed
		}
	}
}
