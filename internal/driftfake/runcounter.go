package driftfake

import "sync"

// RunCounter counts the runs of requests over all the upstreams that share it,
// since a repeat may land on another replica. It is safe for concurrent use.
type RunCounter struct {
	mu            sync.Mutex
	runs          map[string]int
	duplicateRuns int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int)}
}

// Runs returns how often the request id was run, on any shard.
func (l *RunCounter) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[request]
}

// DuplicateRuns returns the number of runs after its first of every id that is not
// idempotent.
func (l *RunCounter) DuplicateRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duplicateRuns
}

// addRun counts one run and reports whether it repeats a request that may run
// once.
func (l *RunCounter) addRun(request string, nonIdempotent bool) (duplicate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	duplicate = nonIdempotent && l.runs[request] > 1
	if duplicate {
		l.duplicateRuns++
	}
	return duplicate
}
