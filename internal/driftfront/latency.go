package driftfront

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histogram of a class and of its hedge delay. With
// fewer than minHedgeSamples the delay is the longest allowed.
const (
	latencyWindowCount       = 2
	latencyWindow            = 2 * time.Second
	latencyRefreshInterval   = 100 * time.Millisecond
	maxRecordedLatency       = 10 * time.Minute
	latencySignificantDigits = 2
	minHedgeSamples          = 64
	hedgePercentile          = 95
	medianPercentile         = 50
	minHedgeDelay            = time.Millisecond
	hedgeDelayDivisor        = 4
	medianMultiplier         = 1.5
)

// latencyTable holds the recent latencies of the shard requests of each class.
// It is safe for concurrent use.
type latencyTable struct {
	mu   sync.RWMutex
	rows map[string]*latencyRow
}

func newLatencyTable() *latencyTable {
	return &latencyTable{rows: make(map[string]*latencyRow)}
}

// row returns the latencies of a class, and creates them at the first use.
func (t *latencyTable) row(class string) *latencyRow {
	t.mu.RLock()
	r, found := t.rows[class]
	t.mu.RUnlock()
	if found {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, found = t.rows[class]; !found {
		r = &latencyRow{windows: hdrhistogram.NewWindowed(
			latencyWindowCount, 1, maxRecordedLatency.Microseconds(), latencySignificantDigits,
		)}
		t.rows[class] = r
	}
	return r
}

// latencyRow holds the latency histogram of one class.
type latencyRow struct {
	mu        sync.Mutex
	windows   *hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	samples   int64
	// cachedDelay is the hedge delay as of the last refresh, before the bounds
	// that hedgeDelay sets.
	cachedDelay time.Duration
}

// add records the latency of one shard request.
func (r *latencyRow) add(took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotated) >= latencyWindow {
		r.rotated = now
		r.windows.Rotate()
	}
	_ = r.windows.Current.RecordValue(max(1, min(took, maxRecordedLatency).Microseconds()))
}

// hedgeDelay returns how long to wait for a reply before hedging: the recent
// 95th percentile, no less than 1.5 times the median and no more than a
// quarter of the latency objective. A later hedge rarely helps.
func (r *latencyRow) hedgeDelay(objective time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.refreshed) >= latencyRefreshInterval {
		r.refreshed = now
		r.refresh()
	}
	latest := objective / hedgeDelayDivisor
	if r.samples < minHedgeSamples {
		return max(minHedgeDelay, latest)
	}
	return max(minHedgeDelay, min(latest, r.cachedDelay))
}

func (r *latencyRow) refresh() {
	merged := r.windows.Merge()
	r.samples = merged.TotalCount()
	high := float64(merged.ValueAtQuantile(hedgePercentile))
	median := float64(merged.ValueAtQuantile(medianPercentile))
	r.cachedDelay = time.Duration(max(high, medianMultiplier*median) * float64(time.Microsecond))
}

// addUnanswered records a request that ended without a reply after the given
// time, unless that was before a hedge was due.
func (r *latencyRow) addUnanswered(took time.Duration, now time.Time) {
	r.mu.Lock()
	early := took < r.cachedDelay
	r.mu.Unlock()
	if !early {
		r.add(took, now)
	}
}
