package driftfront

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// MaxNonIdempotentDeadline is the longest deadline of a request that is not
// idempotent. A caller may send copies of such a request only within this
// time.
const MaxNonIdempotentDeadline = 10 * time.Second

// maxDedupRows is how many request ids are remembered at a time.
const maxDedupRows = 1 << 16

// dedupTable remembers the ids of requests that are not idempotent while they
// run and for MaxNonIdempotentDeadline after. It is safe for concurrent use.
type dedupTable struct {
	mu   sync.Mutex
	rows map[string]dedupRow
}

// dedupRow holds whether a request ran. The field expires is zero while the
// request runs.
type dedupRow struct {
	ran     driftapi.Ran
	expires time.Time
}

func newDedupTable() *dedupTable {
	return &dedupTable{rows: make(map[string]dedupRow)}
}

// dedupResult says whether a request is new, a duplicate, or refused because
// the table is full.
type dedupResult int

const (
	dedupNew dedupResult = iota
	dedupDuplicate
	dedupFull
)

// begin records that a request runs, unless it is a copy of one that runs or
// has run, or the table is full.
func (m *dedupTable) begin(request string, now time.Time) (a dedupResult, ran driftapi.Ran) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, found := m.rows[request]; found && (r.expires.IsZero() || now.Before(r.expires)) {
		return dedupDuplicate, r.ran
	}
	if len(m.rows) >= maxDedupRows {
		return dedupFull, driftapi.RanNo
	}
	m.rows[request] = dedupRow{ran: driftapi.RanUnknown}
	return dedupNew, driftapi.RanNo
}

// end records how a request ended. One that did not run is removed.
func (m *dedupTable) end(request string, ran driftapi.Ran, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ran == driftapi.RanNo {
		delete(m.rows, request)
		return
	}
	m.rows[request] = dedupRow{ran: ran, expires: now.Add(MaxNonIdempotentDeadline)}
}

func (m *dedupTable) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for request, r := range m.rows {
		if !r.expires.IsZero() && !now.Before(r.expires) {
			delete(m.rows, request)
		}
	}
}
