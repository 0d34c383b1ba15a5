package driftrelay

import "time"

// Spans of the retry budget. The published window slides, so extras are
// counted over one bucket more than the window, and requests over whole
// buckets only.
const (
	budgetBucket = time.Second
	// budgetCaution is the part of this VM's share that it spends. The rest
	// covers VMs that start again and forget what they spent.
	budgetCaution = 0.75
	// hedgePart is the part of the share that hedges may use; the rest is
	// kept for requests whose first attempt failed.
	hedgePart = 0.6
)

// BudgetRule bounds the extra sends that a service gets from all VMs in any
// window.
type BudgetRule struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64
	// Extra is the number of extra sends beyond that, for the whole fleet.
	Extra  float64
	Window time.Duration
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

// Request counts a request that a caller sent to the service.
func (b *Budget) Request(now time.Time, r BudgetRule) {
	b.requests = count(b.requests, now, 2*r.Window)
}

// Spend counts an extra send and reports whether the share allowed it. VMs is
// the number of VMs that share the budget. Failed says that an earlier send
// failed, rather than being late.
func (b *Budget) Spend(now time.Time, r BudgetRule, vms int, failed bool) bool {
	part := budgetCaution
	if !failed {
		part *= hedgePart
	}
	spent := sum(b.extras, now.Add(-r.Window-budgetBucket), now)
	if spent+1 > part*b.allowance(now, r, vms) {
		return false
	}
	b.extras = count(b.extras, now, r.Window+budgetBucket)
	return true
}

func (b *Budget) allowance(now time.Time, r BudgetRule, vms int) float64 {
	most := 0.0
	for _, back := range []time.Duration{0, r.Window / 2, r.Window} {
		end := now.Add(-back)
		most = max(most, sum(b.requests, end.Add(-r.Window), end))
	}
	return r.Ratio*most + r.Extra/float64(max(1, vms))
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
