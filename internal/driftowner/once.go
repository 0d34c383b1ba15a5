package driftowner

import (
	"maps"
	"slices"
	"time"
)

// idLife is how long a request id is remembered: the longest deadline that a
// caller may set.
const idLife = 10 * time.Minute

// maxIDs bounds the ids that a lane remembers. A lane that is full refuses
// requests that are not idempotent rather than forget an id.
const maxIDs = 16384

// idSweepInterval is how often expired ids are removed.
const idSweepInterval = 10 * time.Second

// idTable remembers the ids of requests that are not idempotent and that
// have run, may have run or may still run.
type idTable struct {
	rows  map[string]time.Time
	swept time.Time
}

func newIDTable() idTable {
	return idTable{rows: make(map[string]time.Time)}
}

func (t *idTable) has(id string, now time.Time) bool {
	expiry, found := t.rows[id]
	return found && now.Before(expiry)
}

func (t *idTable) full() bool {
	return len(t.rows) >= maxIDs
}

func (t *idTable) add(id string, now time.Time) {
	t.rows[id] = now.Add(idLife)
}

// forget removes the id of a request that surely did not run.
func (t *idTable) forget(id string) {
	delete(t.rows, id)
}

func (t *idTable) sweep(now time.Time) {
	if now.Sub(t.swept) < idSweepInterval {
		return
	}
	t.swept = now
	for id, expiry := range t.rows {
		if !now.Before(expiry) {
			delete(t.rows, id)
		}
	}
}

func (t *idTable) list() []string {
	return slices.Sorted(maps.Keys(t.rows))
}
