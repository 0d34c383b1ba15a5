package driftrelay

import "time"

// bucketWidth is the time that one bucket counts. The published window
// slides, so extra attempts are counted over one bucket more than the window,
// and requests over whole buckets only.
const bucketWidth = time.Second

// BudgetRule limits the extra attempts, retries and hedges, that all VMs
// together send to one service in any window.
type BudgetRule struct {
	// Ratio is the number of extra attempts allowed per request.
	Ratio float64
	// FixedExtra is the number of extra attempts allowed on top of that, for the
	// whole fleet.
	FixedExtra float64
	Window     time.Duration
}

// Budget counts this VM's share of the extra attempts for one service. Without
// a limit, many upstreams failing at once would cause every request to be sent
// twice and double the load on the remaining upstreams. The zero value has
// counted nothing. Budget is not safe for concurrent use.
type Budget struct {
	requests []bucket
	extras   []bucket
}

// bucket counts what happened within bucketWidth of its start.
type bucket struct {
	start time.Time
	count float64
}

// CountRequest counts a request for the service from a caller.
func (b *Budget) CountRequest(now time.Time, r BudgetRule) {
	b.requests = addToBuckets(b.requests, now, 2*r.Window)
}

// RetryPriority is the fraction of the budget that an extra attempt may use up.
// As the budget runs out, attempts of the lowest priority are denied first.
type RetryPriority float64

// The priorities of extra attempts. The fraction above the highest one is a
// reserve, since VMs learn of each other with a delay.
const (
	// PriorityRequiredRetry is for a request that fails without the attempt.
	PriorityRequiredRetry RetryPriority = 0.9
	// PriorityRequiredHedge is for a request that is late without the attempt.
	PriorityRequiredHedge RetryPriority = 0.85
	// PriorityOptionalRetry is for a failed part that the answer may lack.
	PriorityOptionalRetry RetryPriority = 0.8
	// PriorityOptionalHedge is for a late part that the answer may lack.
	PriorityOptionalHedge RetryPriority = 0.7
)

// RetryPriorityOf returns the priority of an extra attempt. Failed tells
// whether the previous attempt failed, rather than being late; optional tells
// whether the answer may lack the part.
func RetryPriorityOf(failed, optional bool) RetryPriority {
	switch {
	case failed && optional:
		return PriorityOptionalRetry
	case failed:
		return PriorityRequiredRetry
	case optional:
		return PriorityOptionalHedge
	default:
		return PriorityRequiredHedge
	}
}

// Spend counts an extra attempt and reports whether the budget allows it. Part
// is the fraction of the fixed extra attempts that this VM may use.
func (b *Budget) Spend(now time.Time, r BudgetRule, part float64, priority RetryPriority) bool {
	if b.spent(now, r)+1 > float64(priority)*b.allowance(now, r, part) {
		return false
	}
	b.extras = addToBuckets(b.extras, now, r.Window+bucketWidth)
	return true
}

// spent returns the extra attempts of the last window.
func (b *Budget) spent(now time.Time, r BudgetRule) float64 {
	return sumBuckets(b.extras, now.Add(-r.Window-bucketWidth), now)
}

// allowance returns this VM's share of the extra attempts of one window, by the
// largest number of requests in the current and recent windows.
func (b *Budget) allowance(now time.Time, r BudgetRule, part float64) float64 {
	maxRequests := 0.0
	for _, offset := range []time.Duration{0, r.Window / 2, r.Window} {
		end := now.Add(-offset)
		maxRequests = max(maxRequests, sumBuckets(b.requests, end.Add(-r.Window), end))
	}
	return r.Ratio*maxRequests + r.FixedExtra*part
}

// addToBuckets counts an event at the given time, and drops buckets that are
// older than keep.
func addToBuckets(buckets []bucket, now time.Time, keep time.Duration) []bucket {
	for len(buckets) > 0 && now.Sub(buckets[0].start) > keep+bucketWidth {
		buckets = buckets[1:]
	}
	if n := len(buckets); n > 0 && now.Sub(buckets[n-1].start) < bucketWidth {
		buckets[n-1].count++
		return buckets
	}
	return append(buckets, bucket{start: now, count: 1})
}

// sumBuckets returns the count of the buckets that start within the interval.
func sumBuckets(buckets []bucket, from, to time.Time) float64 {
	total := 0.0
	for _, b := range buckets {
		if b.start.After(from) && !b.start.After(to) {
			total += b.count
		}
	}
	return total
}
