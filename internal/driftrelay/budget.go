package driftrelay

import "time"

// Spans of the retry budget. The published window slides, so extras are
// counted over one bucket more than the window, and requests over whole
// buckets only.
const budgetBucket = time.Second

// BudgetRule bounds the extra sends that a service gets from all VMs in any
// window.
type BudgetRule struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64
	// FixedExtra is the number of extra sends beyond that, for the whole fleet.
	FixedExtra float64
	Window     time.Duration
}

// Budget is this VM's share of the extra sends to one service. It answers
// the load pattern in which many upstreams fail at once: without it each
// request is sent twice, and the upstreams that are left get double load.
// The zero value has counted nothing. The caller serialises access.
type Budget struct {
	requests []bucket
	extras   []bucket
}

type bucket struct {
	start time.Time
	count float64
}

// CountRequest counts a request that a caller sent to the service.
func (b *Budget) CountRequest(now time.Time, r BudgetRule) {
	b.requests = count(b.requests, now, 2*r.Window)
}

// RetryPriority ranks what an extra send is for. The less it matters, the sooner it
// stops while the budget runs out.
type RetryPriority float64

// The parts of its share that a VM spends for each need. What is above the
// first covers what VMs do not yet know of each other.
const (
	// PriorityRequiredRetry is for a request that fails without the send.
	PriorityRequiredRetry RetryPriority = 0.9
	// PriorityRequiredHedge is for a request that is late without the send.
	PriorityRequiredHedge RetryPriority = 0.85
	// PriorityOptionalRetry is for a part that an answer may lack, after a failure.
	PriorityOptionalRetry RetryPriority = 0.8
	// PriorityOptionalHedge is for a part that an answer may lack, and that is late.
	PriorityOptionalHedge RetryPriority = 0.7
)

// RetryPriorityOf returns what an extra send is for: whether an earlier one failed, or
// is late, and whether the answer may lack the part.
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

// BudgetShare is this VM's part of what the fleet shares.
type BudgetShare struct {
	// VMs is the number of VMs that share the budget.
	VMs int
	// RecentlyStarted is set while the VM has not run for a whole window. It spends
	// nothing of the fixed part: an earlier incarnation may have spent it, and
	// the VM may not know yet how many others there are.
	RecentlyStarted bool
}

// Spend counts an extra send and reports whether the share allowed it.
func (b *Budget) Spend(now time.Time, r BudgetRule, share BudgetShare, priority RetryPriority) bool {
	spent := sum(b.extras, now.Add(-r.Window-budgetBucket), now)
	if spent+1 > float64(priority)*b.allowance(now, r, share) {
		return false
	}
	b.extras = count(b.extras, now, r.Window+budgetBucket)
	return true
}

func (b *Budget) allowance(now time.Time, r BudgetRule, share BudgetShare) float64 {
	maxRequests := 0.0
	for _, back := range []time.Duration{0, r.Window / 2, r.Window} {
		end := now.Add(-back)
		maxRequests = max(maxRequests, sum(b.requests, end.Add(-r.Window), end))
	}
	if share.RecentlyStarted {
		return r.Ratio * maxRequests
	}
	return r.Ratio*maxRequests + r.FixedExtra/float64(max(1, share.VMs))
}

func count(buckets []bucket, now time.Time, keep time.Duration) []bucket {
	for len(buckets) > 0 && now.Sub(buckets[0].start) > keep+budgetBucket {
		buckets = buckets[1:]
	}
	if n := len(buckets); n > 0 && now.Sub(buckets[n-1].start) < budgetBucket {
		buckets[n-1].count++
		return buckets
	}
	return append(buckets, bucket{start: now, count: 1})
}

func sum(buckets []bucket, from, to time.Time) float64 {
	total := 0.0
	for _, b := range buckets {
		if b.start.After(from) && !b.start.After(to) {
			total += b.count
		}
	}
	return total
}
