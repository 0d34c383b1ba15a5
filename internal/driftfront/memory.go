package driftfront

import (
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// MaxOnceDeadline is the longest deadline of a request that is not
// idempotent. A caller may send copies of such a request within it, and no
// later.
const MaxOnceDeadline = 10 * time.Second

// memoryLimit is how many request ids are remembered at a time.
const memoryLimit = 1 << 16

// memory remembers the ids of requests that are not idempotent while they
// run and for MaxOnceDeadline after. It is safe for concurrent use.
type memory struct {
	mu   sync.Mutex
	rows map[string]remembered
}

// remembered is what is known of a request. Expires is zero while it runs.
type remembered struct {
	ran     driftapi.Ran
	expires time.Time
}

func newMemory() *memory {
	return &memory{rows: make(map[string]remembered)}
}

// admitted is what the memory says of a request.
type admitted int

const (
	fresh admitted = iota
	duplicate
	crowded
)

// begin remembers that a request runs, unless it is a copy of one that runs
// or has run, or the memory is full.
func (m *memory) begin(request string, now time.Time) (a admitted, ran driftapi.Ran) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, found := m.rows[request]; found && (r.expires.IsZero() || now.Before(r.expires)) {
		return duplicate, r.ran
	}
	if len(m.rows) >= memoryLimit {
		return crowded, driftapi.RanNo
	}
	m.rows[request] = remembered{ran: driftapi.RanUnknown}
	return fresh, driftapi.RanNo
}

// end remembers how a request ended. One that did not run is forgotten.
func (m *memory) end(request string, ran driftapi.Ran, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ran == driftapi.RanNo {
		delete(m.rows, request)
		return
	}
	m.rows[request] = remembered{ran: ran, expires: now.Add(MaxOnceDeadline)}
}

func (m *memory) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for request, r := range m.rows {
		if !r.expires.IsZero() && !now.Before(r.expires) {
			delete(m.rows, request)
		}
	}
}
