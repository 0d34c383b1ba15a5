package driftfront

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// How the concurrency limit of a class adapts to the load.
const (
	initialLimit   = 64.0
	minLimit       = 4.0
	limitCutFactor = 0.85
	// busyThreshold is the share of busy queries above which the limit is cut.
	// busyWindow is the number of queries that the share is averaged over.
	busyThreshold     = 0.5
	busyWindow        = 8
	minCutInterval    = 50 * time.Millisecond
	fastGrowthDelay   = 500 * time.Millisecond
	limitGainPerRound = 4.0
	// limitHeadroom is how far the limit may grow, as a multiple of the
	// queries in flight.
	limitHeadroom = 2
	// minClassShare is the share of the limits of a VM that the least urgent
	// class may use.
	minClassShare = 0.5
	// queryOverheadBytes is the memory that a query needs in addition to its
	// texts.
	queryOverheadBytes = 4096
	// depotReplyBytes is the memory for the reply about one depot.
	depotReplyBytes = 1024
	// minRetryDelay is the shortest retry delay in a refusal.
	minRetryDelay = 10 * time.Millisecond
)

// admission limits the queries in flight at this VM. Each class has its own
// concurrency limit, which grows while its queries are fast and is cut when
// most of its queries are busy: at least half of their shards were slow, or
// refused because of load. Less urgent classes, those with
// a longer latency objective, may fill only a part of the VM. It is safe for
// concurrent use.
type admission struct {
	settings settings

	mu       sync.Mutex
	inFlight int
	bytes    int64
	classes  map[string]*classLimit
}

// classLimit is the concurrency limit of one class.
type classLimit struct {
	inFlight int
	limit    float64
	lastCut  time.Time
	// latency is the moving average of the time of a query.
	latency time.Duration
	// busy is the moving average of the share of busy queries.
	busy float64
}

// permit is held by an admitted query until it ends.
type permit struct {
	class   string
	bytes   int64
	started time.Time
}

func newAdmission(s settings) *admission {
	return &admission{settings: s, classes: make(map[string]*classLimit)}
}

// acquire admits a query, or returns how long the caller should wait before it
// retries.
func (a *admission) acquire(c call, classes drifttable.Table[drifttable.Class], now time.Time) (p permit, retry time.Duration, admitted bool) {
	size := callBytes(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.row(c.class.Name)
	share := 1.0
	if 2*a.inFlight > a.settings.maxQueries || 2*a.bytes > a.settings.maxBytes {
		share = classShare(c.class, classes)
	}
	switch {
	case float64(a.inFlight) >= share*float64(a.settings.maxQueries),
		float64(a.bytes+size) > share*float64(a.settings.maxBytes),
		a.settings.adaptiveLimits && float64(row.inFlight) >= row.limit:
		return permit{}, max(minRetryDelay, row.latency), false
	}
	row.inFlight++
	a.inFlight++
	a.bytes += size
	return permit{class: c.class.Name, bytes: size, started: now}, 0, true
}

// release ends an admitted query. The argument busy says that the query found
// the fleet overloaded.
func (a *admission) release(p permit, busy bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.row(p.class)
	used := float64(row.inFlight)
	row.inFlight--
	a.inFlight--
	a.bytes -= p.bytes
	row.latency += (now.Sub(p.started) - row.latency) / 8
	row.recordBusy(busy)
	if row.busy > busyThreshold {
		row.shrink(now)
		return
	}
	if limitHeadroom*used >= row.limit || row.limit < initialLimit {
		row.grow(now)
	}
}

// recordBusy adds a query to the moving average of busy ones.
func (r *classLimit) recordBusy(busy bool) {
	sample := 0.0
	if busy {
		sample = 1
	}
	r.busy += (sample - r.busy) / busyWindow
}

// grow raises the limit: by one for each query before the first cut and again
// fastGrowthDelay after the last one, else by limitGainPerRound for each round,
// which is as many queries as the limit.
func (r *classLimit) grow(now time.Time) {
	if r.lastCut.IsZero() || now.Sub(r.lastCut) > fastGrowthDelay {
		r.limit++
		return
	}
	r.limit += limitGainPerRound / r.limit
}

// shrink cuts the limit, at most once in minCutInterval or in the average time
// of a query, whichever is longer.
func (r *classLimit) shrink(now time.Time) {
	if now.Sub(r.lastCut) < max(minCutInterval, r.latency) {
		return
	}
	r.lastCut = now
	r.limit = max(minLimit, limitCutFactor*min(r.limit, limitHeadroom*float64(r.inFlight+1)))
}

func (a *admission) row(class string) *classLimit {
	row, found := a.classes[class]
	if !found {
		row = &classLimit{limit: initialLimit}
		a.classes[class] = row
	}
	return row
}

// classShare returns the share of the VM that a class may fill: all for the
// class with the shortest latency objective, minClassShare for the longest.
func classShare(class drifttable.Class, classes drifttable.Table[drifttable.Class]) float64 {
	shortest, longest := class.LatencyObjective, class.LatencyObjective
	for c := range classes.All() {
		shortest = min(shortest, c.LatencyObjective)
		longest = max(longest, c.LatencyObjective)
	}
	if shortest == longest {
		return 1
	}
	rank := float64(class.LatencyObjective-shortest) / float64(longest-shortest)
	return 1 - (1-minClassShare)*rank
}

// callBytes estimates the memory that a query holds until its answer.
func callBytes(c call) int64 {
	size := queryOverheadBytes + len(c.query.Text) + depotReplyBytes*len(c.query.Depots)
	for _, d := range c.query.Depots {
		size += len(d)
	}
	return int64(size)
}
