package driftfront

import (
	"math"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Parameters of the statistics of upstreams and VMs.
const (
	// loadReportTTL is how long a reported queue length is used.
	loadReportTTL = 500 * time.Millisecond
	// slowdownHalfLife is the half-life of the part of an upstream's slowdown
	// above 1.
	slowdownHalfLife = 2 * time.Second
	// slowdownWeight is the weight of a new sample in the average slowdown.
	slowdownWeight = 0.2
	// upstreamAvoidance is the shortest time for which an upstream that
	// refused is avoided.
	upstreamAvoidance = 50 * time.Millisecond
	// stragglerAttempts is the number of slow attempts in a row that make an
	// upstream a straggler. An attempt is slow if its slowdown exceeds
	// stragglerSlowdown.
	stragglerAttempts = 2
	stragglerSlowdown = 2
	// stragglerProbeInterval is how long a straggler gets no attempts before
	// it is tried beside another replica.
	stragglerProbeInterval = 2 * time.Second
	// vmAvoidance is how long a VM that could not be reached is avoided.
	vmAvoidance = 250 * time.Millisecond
)

// loadTable holds the load of upstreams, the VMs to avoid and the baseline of
// each class, as collected from replies. It is safe for concurrent use.
type loadTable struct {
	mu         sync.RWMutex
	rows       map[string]*loadRow
	avoidedVMs map[string]time.Time

	baselines map[string]*movingAverage
}

func newLoadTable() *loadTable {
	return &loadTable{
		rows: make(map[string]*loadRow), avoidedVMs: make(map[string]time.Time),
		baselines: make(map[string]*movingAverage),
	}
}

// baseline returns the average service time of the shard requests of a class.
func (t *loadTable) baseline(class string) *movingAverage {
	t.mu.RLock()
	s, found := t.baselines[class]
	t.mu.RUnlock()
	if found {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, found = t.baselines[class]; !found {
		s = &movingAverage{}
		t.baselines[class] = s
	}
	return s
}

// row returns the row of an upstream, and creates it at its first use.
func (t *loadTable) row(upstream string) *loadRow {
	t.mu.RLock()
	r, found := t.rows[upstream]
	t.mu.RUnlock()
	if found {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, found = t.rows[upstream]; !found {
		r = &loadRow{}
		t.rows[upstream] = r
	}
	return r
}

// recordUnreachable records that a VM could not be reached.
func (t *loadTable) recordUnreachable(vm string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidedVMs[vm] = now.Add(vmAvoidance)
}

// vmAvoided reports whether a VM could not be reached recently.
func (t *loadTable) vmAvoided(vm string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Before(t.avoidedVMs[vm])
}

// sweep removes the upstreams and VMs that are no longer published.
func (t *loadTable) sweep(v *drifttable.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u := range t.rows {
		if !v.Upstreams.Has(u) {
			delete(t.rows, u)
		}
	}
	for vm := range t.avoidedVMs {
		if !v.VMs.Has(vm) {
			delete(t.avoidedVMs, vm)
		}
	}
}

// loadRow holds the statistics of one upstream.
type loadRow struct {
	mu           sync.Mutex
	load         driftshard.Load
	loadReported time.Time
	// slowdown is the moving average of the time of a request, as a multiple
	// of the baseline of its class. slowdownMeasured is when it was last
	// updated.
	slowdown         float64
	slowdownMeasured time.Time
	inFlight         int
	avoidUntil       time.Time
	slowStreak       int
	lastAttempt      time.Time
}

// recordStart counts an attempt in flight.
func (r *loadRow) recordStart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.lastAttempt = now
}

// recordReply records a reply and its slowdown, the sample.
func (r *loadRow) recordReply(l driftshard.Load, sample float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	switch {
	case sample <= stragglerSlowdown:
		r.slowStreak = 0
	case l.Queue == 0:
		r.slowStreak++
	}
	r.load, r.loadReported, r.avoidUntil = l, now, time.Time{}
	if r.slowdownMeasured.IsZero() {
		r.slowdown = sample
	} else {
		r.slowdown += slowdownWeight * (sample - r.slowdown)
	}
	r.slowdownMeasured = now
}

// recordRefusal records a refusal, after which the upstream is avoided for a
// while.
func (r *loadRow) recordRefusal(l driftshard.Load, wait time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if l != (driftshard.Load{}) {
		r.load, r.loadReported = l, now
	}
	r.avoidUntil = now.Add(max(wait, upstreamAvoidance))
}

// recordNoReply records an attempt that ended without a reply, and its slowdown
// so far, the sample.
func (r *loadRow) recordNoReply(sample float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if sample > stragglerSlowdown && !r.hasQueue(now) {
		r.slowStreak++
	}
	if sample > r.slowdown {
		r.slowdown = sample
		r.slowdownMeasured = now
	}
}

// recordUnusable records a reply that could not be used. The upstream is
// treated as a straggler, so that its failures do not use up the retry budget.
func (r *loadRow) recordUnusable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowStreak = max(r.slowStreak, stragglerAttempts)
}

// hasQueue reports whether requests recently waited at the upstream. The
// caller holds the lock.
func (r *loadRow) hasQueue(now time.Time) bool {
	return r.load.Queue > 0 && now.Sub(r.loadReported) < loadReportTTL
}

// rating is what the choice of a replica depends on.
type rating struct {
	// cost is the expected time of a new request, as a multiple of the
	// baseline.
	cost    float64
	avoided bool
	// cold is set for an upstream that is avoided only because it warms up.
	cold bool
	// saturated is set while at least as many requests wait as may run.
	saturated bool
	// probeDue is set for a straggler that is due for another attempt.
	probeDue bool
}

// rating returns the expected time of a new request at the upstream, as a
// multiple of the baseline, and whether to avoid the upstream.
func (r *loadRow) rating(now time.Time) rating {
	r.mu.Lock()
	defer r.mu.Unlock()
	decayed := 1.0
	if !r.slowdownMeasured.IsZero() {
		age := now.Sub(r.slowdownMeasured).Seconds() / slowdownHalfLife.Seconds()
		decayed += (r.slowdown - 1) * math.Exp2(-age)
	}
	straggler := r.slowStreak >= stragglerAttempts
	s := rating{
		avoided:  straggler || now.Before(r.avoidUntil),
		probeDue: straggler && now.Sub(r.lastAttempt) >= stragglerProbeInterval && !now.Before(r.avoidUntil),
	}
	busy, limit := float64(r.inFlight), 1.0
	if r.load.Limit > 0 {
		limit = float64(r.load.Limit)
	}
	if now.Sub(r.loadReported) < loadReportTTL {
		busy += float64(r.load.Queue)
		s.saturated = r.load.Queue >= max(1, r.load.Limit)
		s.cold = r.load.Cold && !s.avoided
		s.avoided = s.avoided || r.load.Cold
	}
	s.cost = decayed * (1 + busy/limit)
	return s
}

// movingAverage is an exponential moving average of a duration. It is safe for
// concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	value float64
}

// baselineWeight is the weight of a new sample in a baseline.
const baselineWeight = 0.01

func (s *movingAverage) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == 0 {
		s.value = float64(d)
	}
	s.value += baselineWeight * (float64(d) - s.value)
}

// ratio returns the duration as a multiple of the average, or 1 before the
// first sample.
func (s *movingAverage) ratio(d time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == 0 {
		return 1
	}
	return float64(d) / s.value
}
