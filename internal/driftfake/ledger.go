package driftfake

import "sync"

// Ledger counts the runs of requests that are not idempotent over all the
// upstreams that share it, since a repeat may land on another replica. It is
// safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	repeats int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int)}
}

// Runs returns how often the request id was run.
func (l *Ledger) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[request]
}

// Repeats returns the number of runs of an id after its first, of all ids.
func (l *Ledger) Repeats() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.repeats
}

// add counts one run and reports whether it is a repeat.
func (l *Ledger) add(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	if l.runs[request] == 1 {
		return false
	}
	l.repeats++
	return true
}
