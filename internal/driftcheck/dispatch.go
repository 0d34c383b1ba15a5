package driftcheck

import "time"

// dispatchTable holds the ids of dispatched requests with their deadlines,
// until dispatchRetention after the deadline.
type dispatchTable struct {
	deadlines map[string]time.Time
	lastSweep time.Time
}

// dispatchRetention is how long an id is kept after its deadline, so that a
// second dispatch is detected even if the sender was paused past the deadline.
const dispatchRetention = 10 * time.Second

// sweepInterval is how often expired ids are removed.
const sweepInterval = 10 * time.Second

// recordDispatch records the latest deadline of an id, and reports whether the
// table already held the id.
func (t *dispatchTable) recordDispatch(id string, deadline, now time.Time) bool {
	if t.deadlines == nil {
		t.deadlines = make(map[string]time.Time)
	}
	t.sweep(now)
	latest, found := t.deadlines[id]
	if !found || deadline.After(latest) {
		t.deadlines[id] = deadline
	}
	return found
}

// sweep removes expired ids, at most once in each sweepInterval.
func (t *dispatchTable) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for id, deadline := range t.deadlines {
		if now.Sub(deadline) > dispatchRetention {
			delete(t.deadlines, id)
		}
	}
}
