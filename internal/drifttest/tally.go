package drifttest

import (
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Tally is what the callers of a Load have seen. Times and Coverages hold
// one entry for each query that was answered.
type Tally struct {
	Queries, Answered, Refused, Unknown, Lost int

	Times     []time.Duration
	Coverages []float64
	// Refusals holds how long each refused query took.
	Refusals []time.Duration
	Reasons  map[string]int

	mu         sync.Mutex
	refusedIDs []string
}

func (t *Tally) answer(a driftapi.Answer, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Answered++
	t.Times = append(t.Times, took)
	t.Coverages = append(t.Coverages, a.Coverage())
	for _, m := range a.Missing {
		t.Reasons["missing "+m.Reason]++
	}
}

func (t *Tally) refuse(id, reason string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Refused++
	t.Refusals = append(t.Refusals, took)
	t.Reasons["refused "+reason]++
	t.refusedIDs = append(t.refusedIDs, id)
}

func (t *Tally) unknown(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Unknown++
	t.Reasons["unknown "+reason]++
}

func (t *Tally) lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Lost++
}

// Quantile returns the time within which the given share of the queries was
// answered. A query without an answer counts as the deadline.
func (t *Tally) Quantile(share float64, deadline time.Duration) time.Duration {
	times := slices.Clone(t.Times)
	for len(times) < t.Queries {
		times = append(times, deadline)
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(share*float64(len(times))), len(times)-1)]
}

// Mean returns the mean coverage, a query without an answer as 0.
func (t *Tally) Mean() float64 {
	var sum float64
	for _, c := range t.Coverages {
		sum += c
	}
	if t.Queries == 0 {
		return 1
	}
	return sum / float64(t.Queries)
}

// Least returns the lowest coverage of an answer, 1 without answers.
func (t *Tally) Least() float64 {
	if len(t.Coverages) == 0 {
		return 1
	}
	return slices.Min(t.Coverages)
}
