package driftrelay

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// TestMergeTop compares the result with that of sorting all records.
func TestMergeTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 6).Draw(t, "parts")
		top := rapid.IntRange(0, 12).Draw(t, "top")
		var records [][]byte
		for _, part := range parts {
			for chunk := range slices.Chunk(part, recordSize) {
				if len(chunk) == recordSize {
					records = append(records, chunk)
				}
			}
		}
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(top, len(records))], nil)
		assert.True(t, bytes.Equal(want, MergeTop(parts, top)))
	})
}

func TestCoverageReached(t *testing.T) {
	for _, c := range []struct {
		shards     int
		floor      float64
		maxMissing int
	}{{10, 0.89, 1}, {10, 0.75, 2}, {15, 0.89, 1}, {36, 0.95, 1}, {54, 0.85, 8}, {10, 0.9, 1}, {1, 0.5, 0}, {3, 0, 2}} {
		t.Run(fmt.Sprintf("%d of %v", c.shards, c.floor), func(t *testing.T) {
			assert.Equal(t, c.maxMissing, MaxMissing(c.shards, c.floor))
			assert.True(t, CoverageReached(c.shards-c.maxMissing, c.shards, c.floor))
			assert.False(t, CoverageReached(c.shards-c.maxMissing-1, c.shards, c.floor))
		})
	}
}

// TestUnitsOfVMs checks that the connections of all VMs add up to what an
// upstream accepts, under any membership.
func TestUnitsOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		count := rapid.IntRange(1, 90).Draw(t, "vms")
		entries := rapid.IntRange(0, count).Draw(t, "entries")
		total := rapid.IntRange(0, 530).Draw(t, "conns")
		vms := make([]VM, count)
		for i := range vms {
			vms[i] = VM{Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("d%d", i%domains), Entry: i < entries}
		}
		e := newUpstreamState(Upstream{ID: "u", Service: "s", Domain: "d0"}, time.Now())
		sum := 0
		for i, self := range vms {
			r := New(self, driftexchange.Headers{})
			r.upstreams[e.ID] = e
			r.rebuildIndex()
			r.SetVMs(self.Entry, slices.Concat(vms[:i], vms[i+1:]))
			var share unitShare
			sum += r.units(e, &share, total)
			assert.Equal(t, r.units(e, &share, total), share.units)
		}
		assert.Equal(t, total, sum)
	})
}

// TestBudget checks the published limit: the extra attempts of all VMs in any
// window stay within the ratio of the requests plus the fixed part. It uses the
// highest priority while VMs restart, with many requests and with hardly any,
// where the fixed part is nearly all of the budget.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		// queries is the number of requests in every 10 ms.
		queries int
		// starts are the times in milliseconds at which all VMs restart.
		starts []int
	}{
		"many requests":                    {queries: 3, starts: []int{15000}},
		"few requests":                     {queries: 0, starts: []int{15000}},
		"few requests, repeated restarts":  {queries: 0, starts: []int{15000, 18000, 21000}},
		"many requests, repeated restarts": {queries: 3, starts: []int{15000, 18000, 21000}},
		"restart after the budget is full": {queries: 1, starts: []int{10500, 13000}},
	} {
		t.Run(name, func(t *testing.T) { checkBudget(t, c.queries, c.starts) })
	}
}

func checkBudget(t *testing.T, queries int, starts []int) {
	t.Helper()
	const vms = 8
	rule := DefaultBudget()
	start := time.Now()
	budgets := make([]Budget, vms)
	var now time.Time
	ledgers := make([]*driftshare.Ledger, vms)
	restart := func(opts ...driftshare.LedgerOption) {
		budgets = make([]Budget, vms)
		opts = append(opts, driftshare.WithClock(func() time.Duration { return now.Sub(start) }))
		for i := range ledgers {
			ledgers[i] = driftshare.NewLedger(fmt.Sprint(i), rule.Window, opts...)
			ledgers[i].SetVMs(vms)
		}
	}
	now = start.Add(-time.Hour)
	restart()
	var requests, extras []time.Time
	for step := range 30000 {
		now = start.Add(time.Duration(step) * time.Millisecond)
		vm := step % vms
		if slices.Contains(starts, step) {
			restart()
		}
		if step%10 < queries {
			budgets[vm].CountRequest(now, rule)
			requests = append(requests, now)
		}
		if budgets[vm].Spend(now, rule, ledgers[vm].Part(), PriorityRequiredRetry) {
			extras = append(extras, now)
		}
	}
	assert.NotEmpty(t, extras)
	for end := rule.Window; end <= 30*time.Second; end += 100 * time.Millisecond {
		from, to := start.Add(end-rule.Window), start.Add(end)
		bound := rule.Ratio*float64(countBetween(requests, from, to)) + rule.FixedExtra
		assert.LessOrEqual(t, float64(countBetween(extras, from, to)), bound, "window ending at %s", end)
	}
}

// TestBudgetAfterStart checks that a VM spends nothing of the fixed part before
// it has run for a whole window. After a power loss all VMs start at once, what
// they spent before still counts, and they may not know of each other.
func TestBudgetAfterStart(t *testing.T) {
	now := time.Now()
	elapsed := time.Duration(0)
	rule := DefaultBudget()
	ledger := driftshare.NewLedger("vm", rule.Window, driftshare.WithClock(func() time.Duration { return elapsed }))
	var b Budget
	assert.False(t, b.Spend(now, rule, ledger.Part(), PriorityRequiredRetry))
	elapsed = rule.Window
	assert.False(t, b.Spend(now, rule, ledger.Part(), PriorityRequiredRetry), "an earlier incarnation may have lent it")
	elapsed = 2 * rule.Window
	assert.True(t, b.Spend(now, rule, ledger.Part(), PriorityRequiredRetry))
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestRetryPriorities(t *testing.T) {
	ranked := []RetryPriority{RetryPriorityOf(true, false), RetryPriorityOf(false, false), RetryPriorityOf(true, true), RetryPriorityOf(false, true)}
	assert.True(t, slices.IsSortedFunc(ranked, func(a, b RetryPriority) int {
		if a > b {
			return -1
		}
		return 1
	}))
	assert.LessOrEqual(t, float64(ranked[0]), 1.0)
}

func TestEstimateCost(t *testing.T) {
	base := Candidate{TypicalTime: 10 * time.Millisecond, Slowdown: 1, Slots: 4, LatencyObjective: 100 * time.Millisecond}
	worse := []struct {
		name   string
		change func(*Candidate)
	}{
		{"slow", func(f *Candidate) { f.Slowdown = 10 }},
		{"full", func(f *Candidate) { f.Backlog = 12 }},
		{"stalled", func(f *Candidate) { f.Stalled = 50 * time.Millisecond }},
		{"suspected", func(f *Candidate) { f.Suspected = 100 * time.Millisecond }},
		{"failing", func(f *Candidate) { f.FailureRate = 0.4 }},
		{"refusing", func(f *Candidate) { f.RefusalRate = 0.4 }},
		{"leaving", func(f *Candidate) { f.Leaving = true }},
	}
	far := base
	far.CrossDomain = true
	for _, c := range worse {
		t.Run(c.name, func(t *testing.T) {
			f := base
			c.change(&f)
			assert.Greater(t, EstimateCost(f), EstimateCost(far), "must cost more than another failure domain")
		})
	}
	t.Run("far", func(t *testing.T) { assert.Greater(t, EstimateCost(far), EstimateCost(base)) })
}

func TestDelays(t *testing.T) {
	for _, objective := range []time.Duration{50, 60, 100, 150, 600} {
		objective *= time.Millisecond
		t.Run(objective.String(), func(t *testing.T) {
			assert.Less(t, PartialAnswerDelay(objective), objective)
			assert.LessOrEqual(t, HedgeDelay(objective, objective/10), objective/4)
			assert.Greater(t, HedgeDelay(objective, objective/2), objective/2)
		})
	}
}

// TestColdRate checks that all VMs of a large fleet together send a cold
// upstream no more than its published rate, when callers press at all of them.
func TestColdRate(t *testing.T) {
	const vms = 40
	for _, rate := range []int{1, 5, 30, 100} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			now := time.Now()
			sent := 0
			for self := range vms {
				r := New(VM{Name: fmt.Sprint(self), Domain: "d", Entry: self < 3}, driftexchange.Headers{})
				e := newUpstreamState(Upstream{ID: "u", Service: "s", Domain: "d", ColdPeriod: time.Minute}, now)
				r.upstreams[e.ID] = e
				r.rebuildIndex()
				var others []VM
				for i := range vms {
					if i != self {
						others = append(others, VM{Name: fmt.Sprint(i), Domain: "d", Entry: i < 3})
					}
				}
				r.SetVMs(self < 3, others)
				for r.allowsColdRequest(e, driftroute.Service{ColdRate: float64(rate)}, now) {
					e.coldSent = addToBuckets(e.coldSent, now, time.Second)
					sent++
				}
			}
			assert.Equal(t, rate, sent)
		})
	}
}
