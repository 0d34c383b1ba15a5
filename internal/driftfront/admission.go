package driftfront

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// How the limit of a class adapts to the load.
const (
	limitFirst = 64.0
	limitLeast = 4.0
	limitCut   = 0.85
	// busyShare is the share of busy queries above which the limit is cut,
	// busyQueries how many queries it is smoothed over.
	busyShare   = 0.5
	busyQueries = 8
	limitPause  = 50 * time.Millisecond
	limitCalm   = 500 * time.Millisecond
	limitGain   = 4.0
	// limitSlack is how far the limit may grow past what is in use.
	limitSlack = 2
	// shareLeast is the share of a VM that the least urgent class may fill.
	shareLeast = 0.5
	// callCost is the memory in bytes that a query needs beside its texts.
	callCost = 4096
	// rowsCost is the memory in bytes for the reply about one depot.
	rowsCost = 1024
	// retryLeast is the shortest wait that a refusal asks for.
	retryLeast = 10 * time.Millisecond
)

// admission bounds the queries in flight at this VM. Each class has a limit
// of its own, which grows while its queries are fast and is cut when most of
// the shards of a query are slow. Less urgent classes, those with a longer
// latency target, may fill only a part of the VM. It is safe for concurrent
// use.
type admission struct {
	settings settings

	mu      sync.Mutex
	flight  int
	bytes   int64
	classes map[string]*classLimit
}

// classLimit is the state of one class.
type classLimit struct {
	flight int
	limit  float64
	cut    time.Time
	took   time.Duration
	// busy is the smoothed share of queries that were busy.
	busy float64
}

// ticket is an admitted query.
type ticket struct {
	class   string
	bytes   int64
	started time.Time
}

func newAdmission(s settings) *admission {
	return &admission{settings: s, classes: make(map[string]*classLimit)}
}

// enter admits a query, or returns how long the caller had better wait.
func (a *admission) enter(c call, classes drifttable.Table[drifttable.Class], now time.Time) (t ticket, retry time.Duration, admitted bool) {
	size := callBytes(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.row(c.class.Name)
	share := 1.0
	if 2*a.flight > a.settings.maxQueries || 2*a.bytes > a.settings.maxBytes {
		share = classShare(c.class, classes)
	}
	switch {
	case float64(a.flight) >= share*float64(a.settings.maxQueries),
		float64(a.bytes+size) > share*float64(a.settings.maxBytes),
		a.settings.adaptiveLimits && float64(row.flight) >= row.limit:
		return ticket{}, max(retryLeast, row.took), false
	}
	row.flight++
	a.flight++
	a.bytes += size
	return ticket{class: c.class.Name, bytes: size, started: now}, 0, true
}

// leave ends an admitted query. Busy tells that the fleet had more work than
// it could do.
func (a *admission) leave(t ticket, busy bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.row(t.class)
	used := float64(row.flight)
	row.flight--
	a.flight--
	a.bytes -= t.bytes
	row.took += (now.Sub(t.started) - row.took) / 8
	row.note(busy)
	if row.busy > busyShare {
		row.shrink(now)
		return
	}
	if limitSlack*used >= row.limit || row.limit < limitFirst {
		row.grow(now)
	}
}

// note takes a query into the share of busy ones.
func (r *classLimit) note(busy bool) {
	sample := 0.0
	if busy {
		sample = 1
	}
	r.busy += (sample - r.busy) / busyQueries
}

// grow raises the limit: by one for each query at first and limitCalm after
// the last cut, else by limitGain for each round of queries.
func (r *classLimit) grow(now time.Time) {
	if r.cut.IsZero() || now.Sub(r.cut) > limitCalm {
		r.limit++
		return
	}
	r.limit += limitGain / r.limit
}

// shrink cuts the limit, once for each pause.
func (r *classLimit) shrink(now time.Time) {
	if now.Sub(r.cut) < max(limitPause, r.took) {
		return
	}
	r.cut = now
	r.limit = max(limitLeast, limitCut*min(r.limit, limitSlack*float64(r.flight+1)))
}

func (a *admission) row(class string) *classLimit {
	row, found := a.classes[class]
	if !found {
		row = &classLimit{limit: limitFirst}
		a.classes[class] = row
	}
	return row
}

// classShare returns the share of the VM that a class may fill: all for the
// class with the shortest latency target, shareLeast for the longest.
func classShare(class drifttable.Class, classes drifttable.Table[drifttable.Class]) float64 {
	shortest, longest := class.Fast, class.Fast
	for c := range classes.All() {
		shortest = min(shortest, c.Fast)
		longest = max(longest, c.Fast)
	}
	if shortest == longest {
		return 1
	}
	rank := float64(class.Fast-shortest) / float64(longest-shortest)
	return 1 - (1-shareLeast)*rank
}

// callBytes estimates the memory that a query holds until its answer.
func callBytes(c call) int64 {
	size := callCost + len(c.query.Text) + rowsCost*len(c.query.Depots)
	for _, d := range c.query.Depots {
		size += len(d)
	}
	return int64(size)
}
