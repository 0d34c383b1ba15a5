package driftfront

import (
	"sync"
	"time"
)

// How long refusals are remembered, and how often a query of each service
// probes whether they still hold.
const (
	refusalTTL           = 10 * time.Second
	refusalProbeInterval = time.Second
)

// refusalKey is an upstream and an index version that it does not serve.
type refusalKey struct {
	upstream string
	version  uint64
}

// refusalTable remembers for a short time which upstream refused which index
// version, and limits how often queries ask again. It is safe for concurrent
// use.
type refusalTable struct {
	mu       sync.RWMutex
	rows     map[refusalKey]time.Time
	probedAt map[string]time.Time
}

func newRefusalTable() *refusalTable {
	return &refusalTable{rows: make(map[refusalKey]time.Time), probedAt: make(map[string]time.Time)}
}

// recordRefused records that the upstream does not serve the version.
func (t *refusalTable) recordRefused(upstream string, version uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[refusalKey{upstream, version}] = now
}

// recordServed records that the upstream serves the version.
func (t *refusalTable) recordServed(upstream string, version uint64) {
	key := refusalKey{upstream, version}
	t.mu.RLock()
	_, found := t.rows[key]
	t.mu.RUnlock()
	if !found {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// isRefused reports whether the upstream has refused the version since the
// given time, and less than refusalTTL ago.
func (t *refusalTable) isRefused(upstream string, version uint64, since, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.rows) == 0 {
		return false
	}
	at, found := t.rows[refusalKey{upstream, version}]
	return found && now.Sub(at) < refusalTTL && !at.Before(since)
}

// trustedSince returns the time before which recorded refusals are ignored by a
// query of the service. One query in each refusalProbeInterval ignores all that
// are older than that interval, and so finds out whether a version is served
// again.
func (t *refusalTable) trustedSince(service string, now time.Time) time.Time {
	t.mu.RLock()
	noProbeDue := len(t.rows) == 0 || now.Sub(t.probedAt[service]) < refusalProbeInterval
	t.mu.RUnlock()
	if noProbeDue {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.probedAt[service]) < refusalProbeInterval {
		return time.Time{}
	}
	t.probedAt[service] = now
	return now.Add(-refusalProbeInterval)
}

func (t *refusalTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.rows {
		if now.Sub(at) >= refusalTTL {
			delete(t.rows, key)
		}
	}
}
