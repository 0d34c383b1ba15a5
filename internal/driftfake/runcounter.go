package driftfake

import "sync"

// RunCounter counts the runs of each request over all upstreams that share it,
// since a retry may run on another replica. It is safe for concurrent use.
type RunCounter struct {
	mu            sync.Mutex
	runs          map[string]int
	duplicateRuns int
}

// NewRunCounter returns an empty RunCounter.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int)}
}

// Runs returns how often the request ran, on all shards together.
func (l *RunCounter) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[request]
}

// DuplicateRuns returns the number of runs after the first, summed over all
// requests that are not idempotent.
func (l *RunCounter) DuplicateRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duplicateRuns
}

// addRun counts one run. It reports whether the request is not idempotent and
// has run before.
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
