package driftentry

import (
	"sync"
	"time"
)

// recentEntrySpan is how long a VM that callers were sent to is remembered.
// Clients cache the directory's answers for up to 6 s, and after a VM has lost
// power, upstreams still count its connections for several seconds.
const recentEntrySpan = 10 * time.Second

// RecentEntryVMs remembers the VMs that callers were recently sent to, whether
// they still serve or not: they hold connections to upstreams. It is safe for
// concurrent use; the zero value is empty.
type RecentEntryVMs struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Record adds the VMs that callers are sent to now, and drops those that were
// last added more than recentEntrySpan ago.
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

// Contains reports whether callers were recently sent to the VM.
func (r *RecentEntryVMs) Contains(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.last[name]
	return ok
}
