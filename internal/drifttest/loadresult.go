package drifttest

import (
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// LoadResult holds the outcomes of the queries of a Load. Latencies and
// Coverages have one entry for each answered query.
type LoadResult struct {
	Queries, Answered, Refused, Unknown, Lost int

	Latencies []time.Duration
	Coverages []float64
	// RefusalLatencies has one entry for each refused query.
	RefusalLatencies []time.Duration
	ReasonCounts     map[string]int

	mu                sync.Mutex
	refusedRequestIDs []string
}

func (t *LoadResult) recordAnswer(a driftapi.Answer, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Answered++
	t.Latencies = append(t.Latencies, took)
	t.Coverages = append(t.Coverages, a.Coverage())
	for _, m := range a.Missing {
		t.ReasonCounts["missing "+m.Reason]++
	}
}

func (t *LoadResult) recordRefusal(id, reason string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Refused++
	t.RefusalLatencies = append(t.RefusalLatencies, took)
	t.ReasonCounts["refused "+reason]++
	t.refusedRequestIDs = append(t.refusedRequestIDs, id)
}

func (t *LoadResult) recordUnknown(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Unknown++
	t.ReasonCounts["unknown "+reason]++
}

func (t *LoadResult) recordLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Lost++
}

// LatencyQuantile returns the time within which the given share of the queries
// was answered. A query without an answer counts with the deadline.
func (t *LoadResult) LatencyQuantile(share float64, deadline time.Duration) time.Duration {
	times := slices.Clone(t.Latencies)
	for len(times) < t.Queries {
		times = append(times, deadline)
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(share*float64(len(times))), len(times)-1)]
}

// MeanCoverage returns the mean coverage of all queries. A query without an
// answer counts as 0. The mean of no queries is 1.
func (t *LoadResult) MeanCoverage() float64 {
	var sum float64
	for _, c := range t.Coverages {
		sum += c
	}
	if t.Queries == 0 {
		return 1
	}
	return sum / float64(t.Queries)
}

// MinCoverage returns the lowest coverage of an answer, or 1 without answers.
func (t *LoadResult) MinCoverage() float64 {
	if len(t.Coverages) == 0 {
		return 1
	}
	return slices.Min(t.Coverages)
}
