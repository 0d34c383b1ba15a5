package driftowner

import (
	"maps"
	"slices"
	"time"
)

// idTTL is how long a request ID is kept: the longest deadline that a caller
// may set.
const idTTL = 10 * time.Minute

// maxIDs is the number of request IDs that a dispatcher keeps. At the limit
// it refuses requests that are not idempotent, since dropping an ID could let
// a request run twice.
const maxIDs = 16384

// idSweepInterval is how often expired IDs are removed.
const idSweepInterval = 10 * time.Second

// idTable holds the IDs of requests that are not idempotent and that have
// run, may have run or may still run.
type idTable struct {
	expiries  map[string]time.Time
	lastSweep time.Time
}

func newIDTable() idTable {
	return idTable{expiries: make(map[string]time.Time)}
}

func (t *idTable) has(id string, now time.Time) bool {
	expiry, found := t.expiries[id]
	return found && now.Before(expiry)
}

func (t *idTable) full() bool {
	return len(t.expiries) >= maxIDs
}

func (t *idTable) add(id string, now time.Time) {
	t.expiries[id] = now.Add(idTTL)
}

// forget removes the ID of a request that certainly did not run.
func (t *idTable) forget(id string) {
	delete(t.expiries, id)
}

func (t *idTable) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < idSweepInterval {
		return
	}
	t.lastSweep = now
	for id, expiry := range t.expiries {
		if !now.Before(expiry) {
			delete(t.expiries, id)
		}
	}
}

func (t *idTable) list() []string {
	return slices.Sorted(maps.Keys(t.expiries))
}
