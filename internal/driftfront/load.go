package driftfront

import (
	"math"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// How what is known of an upstream or a VM ages.
const (
	// loadLife is how long a reported queue is believed.
	loadLife = 500 * time.Millisecond
	// latencyHalf is the time in which the excess of an upstream's latency
	// over the typical one is forgotten by half.
	latencyHalf = 2 * time.Second
	// latencyWeight is the weight of a new sample in a smoothed latency.
	latencyWeight = 0.2
	// avoidUpstream is how long an upstream that refused is avoided when it
	// does not say how long.
	avoidUpstream = 50 * time.Millisecond
	// straggles is the number of slow attempts in a row that make an upstream
	// a straggler, slowFactor how far such an attempt exceeds the typical
	// time.
	straggles  = 2
	slowFactor = 2
	// probeAge is how long a straggler is left alone before it is tried
	// beside another replica.
	probeAge = 2 * time.Second
	// avoidVM is how long a VM that could not be reached is avoided.
	avoidVM = 250 * time.Millisecond
)

// loadTable holds what replies tell about upstreams and VMs. It is safe for
// concurrent use.
type loadTable struct {
	mu   sync.RWMutex
	rows map[string]*loadRow
	vms  map[string]time.Time

	typicals map[string]*smoothed
}

func newLoadTable() *loadTable {
	return &loadTable{
		rows: make(map[string]*loadRow), vms: make(map[string]time.Time),
		typicals: make(map[string]*smoothed),
	}
}

// typical returns the typical time of a shard request of a class.
func (t *loadTable) typical(class string) *smoothed {
	t.mu.RLock()
	s, found := t.typicals[class]
	t.mu.RUnlock()
	if found {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, found = t.typicals[class]; !found {
		s = &smoothed{}
		t.typicals[class] = s
	}
	return s
}

// row returns the row of an upstream, made at its first use.
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

// avoidVM notes that a VM could not be reached.
func (t *loadTable) avoidVM(vm string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms[vm] = now.Add(avoidVM)
}

// avoidsVM reports whether a VM could not be reached a short while ago.
func (t *loadTable) avoidsVM(vm string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Before(t.vms[vm])
}

// sweep forgets the upstreams and VMs that are no longer published.
func (t *loadTable) sweep(v *drifttable.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u := range t.rows {
		if !v.Upstreams.Has(u) {
			delete(t.rows, u)
		}
	}
	for vm := range t.vms {
		if !v.VMs.Has(vm) {
			delete(t.vms, vm)
		}
	}
}

// loadRow is what is known of one upstream.
type loadRow struct {
	mu     sync.Mutex
	load   driftshard.Load
	loaded time.Time
	// slowness is the smoothed time of a request as a multiple of the typical
	// one of its class, timed when it was last measured.
	slowness float64
	timed    time.Time
	flight   int
	avoid    time.Time
	losses   int
	touched  time.Time
}

// started counts an attempt in flight.
func (r *loadRow) started(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flight++
	r.touched = now
}

// answered notes a reply after the given multiple of the typical time.
func (r *loadRow) answered(l driftshard.Load, slowness float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flight--
	switch {
	case slowness <= slowFactor:
		r.losses = 0
	case l.Queue == 0:
		r.losses++
	}
	r.load, r.loaded, r.avoid = l, now, time.Time{}
	if r.timed.IsZero() {
		r.slowness = slowness
	} else {
		r.slowness += latencyWeight * (slowness - r.slowness)
	}
	r.timed = now
}

// refused notes a refusal, after which the upstream is avoided for a while.
func (r *loadRow) refused(l driftshard.Load, wait time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flight--
	if l != (driftshard.Load{}) {
		r.load, r.loaded = l, now
	}
	r.avoid = now.Add(max(wait, avoidUpstream))
}

// ended notes an attempt that ended without a reply after the given multiple
// of the typical time.
func (r *loadRow) ended(slowness float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flight--
	if slowness > slowFactor && !r.queued(now) {
		r.losses++
	}
	if slowness > r.slowness {
		r.slowness = slowness
		r.timed = now
	}
}

// queued reports whether requests waited at the upstream a short while ago.
// The caller holds the lock.
func (r *loadRow) queued(now time.Time) bool {
	return r.load.Queue > 0 && now.Sub(r.loaded) < loadLife
}

// standing is what a choice needs to know of an upstream.
type standing struct {
	score   float64
	avoided bool
	// cold is set for an upstream that is avoided only while it warms up.
	cold bool
	// queued is set while as many requests wait as may run.
	queued bool
	// probed is set for a straggler that it is time to try again.
	probed bool
}

// standing returns the expected time of a new request at the upstream, as a
// multiple of the typical one.
func (r *loadRow) standing(now time.Time) standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	slowness := 1.0
	if !r.timed.IsZero() {
		age := now.Sub(r.timed).Seconds() / latencyHalf.Seconds()
		slowness += (r.slowness - 1) * math.Exp2(-age)
	}
	straggler := r.losses >= straggles
	s := standing{
		avoided: straggler || now.Before(r.avoid),
		probed:  straggler && now.Sub(r.touched) >= probeAge && !now.Before(r.avoid),
	}
	busy, limit := float64(r.flight), 1.0
	if r.load.Limit > 0 {
		limit = float64(r.load.Limit)
	}
	if now.Sub(r.loaded) < loadLife {
		busy += float64(r.load.Queue)
		s.queued = r.load.Queue >= max(1, r.load.Limit)
		s.cold = r.load.Cold && !s.avoided
		s.avoided = s.avoided || r.load.Cold
	}
	s.score = slowness * (1 + busy/limit)
	return s
}

// smoothed is a smoothed duration. It is safe for concurrent use.
type smoothed struct {
	mu    sync.Mutex
	value float64
}

// typicalWeight is the weight of a new sample in the typical latency.
const typicalWeight = 0.01

func (s *smoothed) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == 0 {
		s.value = float64(d)
	}
	s.value += typicalWeight * (float64(d) - s.value)
}

// multiple returns the duration as a multiple of the smoothed one, 1 while
// that is not known.
func (s *smoothed) multiple(d time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == 0 {
		return 1
	}
	return float64(d) / s.value
}
