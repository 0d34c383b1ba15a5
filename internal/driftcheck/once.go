package driftcheck

import "time"

// onceTable remembers the ids of dispatched requests until their deadlines
// are past.
type onceTable struct {
	rows  map[string]time.Time
	swept time.Time
}

// sweepInterval is how often expired ids are removed.
const sweepInterval = 10 * time.Second

// seen reports whether the id is remembered, and remembers it.
func (t *onceTable) seen(id string, deadline, now time.Time) bool {
	if t.rows == nil {
		t.rows = make(map[string]time.Time)
	}
	t.sweep(now)
	_, found := t.rows[id]
	t.rows[id] = deadline
	return found
}

func (t *onceTable) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, deadline := range t.rows {
		if now.After(deadline) {
			delete(t.rows, id)
		}
	}
}
