package driftdemo

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// maxSearchBytes is the size of the largest request to a stand-in.
const maxSearchBytes = 1 << 20

// ledger notes what arrives at all stand-ins, request by request. The
// product knows nothing of it. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	keeps    bool
	requests map[string]*account
	out      map[string]time.Time
	afterOut uint64
}

// account is what the stand-ins have seen of one request id.
type account struct {
	// arrived counts the arrivals for each shard.
	arrived map[string]int
	// ran holds the index versions in which each depot was read.
	ran map[string][]uint64
	// runs counts the executions that were answered.
	runs int
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*account), out: make(map[string]time.Time)}
}

// keep begins or ends the keeping of accounts, so that a fleet that goes on
// serving does not grow.
func (l *ledger) keep(accounts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeps = accounts
}

// mark notes since when a failure domain is out; the zero time means in.
func (l *ledger) mark(domain string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[domain] = since
}

// watch keeps account of what the next handler, an upstream of the failure
// domain, is asked and answers.
func (l *ledger) watch(domain string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSearchBytes))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		var s driftupstream.SearchRequest
		if err := json.Unmarshal(body, &s); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.arrive(domain, s)
		next.ServeHTTP(&watchedWriter{ResponseWriter: w, ledger: l, search: s}, r)
	})
}

func (l *ledger) arrive(domain string, s driftupstream.SearchRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keeps {
		return
	}
	a, found := l.requests[s.Request]
	if !found {
		a = &account{arrived: make(map[string]int), ran: make(map[string][]uint64)}
		l.requests[s.Request] = a
	}
	a.arrived[s.Shard]++
	if since := l.out[domain]; !since.IsZero() && time.Since(since) > driftcheck.OutGrace {
		l.afterOut++
	}
}

func (l *ledger) run(s driftupstream.SearchRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[s.Request]
	if !found {
		return
	}
	a.runs++
	for _, d := range s.Depots {
		a.ran[d] = append(a.ran[d], s.Version)
	}
}

// versions returns the index versions in which a request has read a depot.
func (l *ledger) versions(request, depot string) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return nil
	}
	return a.ran[depot]
}

// runs returns how often a request was executed and answered.
func (l *ledger) runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return 0
	}
	return a.runs
}

// load returns the first arrivals of a request at its shards, and the
// arrivals beyond those.
func (l *ledger) load(request string) (first, extra int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return 0, 0
	}
	for _, n := range a.arrived {
		first++
		extra += n - 1
	}
	return first, extra
}

// late returns the arrivals in failure domains that were out for longer than
// the grace.
func (l *ledger) late() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.afterOut
}

// watchedWriter notes an execution before its answer can reach anybody.
type watchedWriter struct {
	http.ResponseWriter
	ledger *ledger
	search driftupstream.SearchRequest
}

// WriteHeader implements http.ResponseWriter.
func (w *watchedWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.ledger.run(w.search)
	}
	w.ResponseWriter.WriteHeader(status)
}
