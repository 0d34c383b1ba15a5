package driftcheck

import "time"

// onceTable remembers the ids of dispatched requests for onceMemory after
// their deadlines.
type onceTable struct {
	rows  map[string]time.Time
	swept time.Time
}

// onceMemory is how long after its deadline an id is remembered, so that a
// sender that was paused past the deadline is still found out.
const onceMemory = 10 * time.Second

// sweepInterval is how often expired ids are removed.
const sweepInterval = 10 * time.Second

// seen reports whether the id is remembered, and remembers it until the
// latest of its deadlines.
func (t *onceTable) seen(id string, deadline, now time.Time) bool {
	if t.rows == nil {
		t.rows = make(map[string]time.Time)
	}
	t.sweep(now)
	held, found := t.rows[id]
	if !found || deadline.After(held) {
		t.rows[id] = deadline
	}
	return found
}

func (t *onceTable) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, deadline := range t.rows {
		if now.Sub(deadline) > onceMemory {
			delete(t.rows, id)
		}
	}
}
