package driftentry

import (
	"sync"
	"time"
)

// recentEntrySpan is how long a VM that callers were sent to is remembered. Clients
// keep the directory's answers for up to 6 s, and upstreams count the
// connections of a VM without power for several.
const recentEntrySpan = 10 * time.Second

// RecentEntryVMs remembers which VMs callers were sent to of late, whether they still
// serve or not: they hold connections to upstreams. It is safe for concurrent
// use; the zero value remembers none.
type RecentEntryVMs struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Record takes in which VMs callers are sent to now.
func (r *RecentEntryVMs) Record(chosen []VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[string]time.Time)
	}
	for _, vm := range chosen {
		r.last[vm.Name] = now
	}
	for name, at := range r.last {
		if now.Sub(at) > recentEntrySpan {
			delete(r.last, name)
		}
	}
}

// Contains reports whether callers were sent to the VM of late.
func (r *RecentEntryVMs) Contains(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.last[name]
	return ok
}
