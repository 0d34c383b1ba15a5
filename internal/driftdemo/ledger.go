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

// maxSearchBytes limits the body of a request to a fake upstream.
const maxSearchBytes = 1 << 20

// ledger records which requests arrive and run at all fake upstreams. The
// system under test has no access to it. It is safe for concurrent use.
type ledger struct {
	mu               sync.Mutex
	recording        bool
	requests         map[string]*requestRecord
	outSince         map[string]time.Time
	arrivalsAfterOut uint64
}

// requestRecord is what the fake upstreams have seen of one request ID.
type requestRecord struct {
	// arrivals counts the arrivals for each shard.
	arrivals map[string]int
	// versionsRead holds the index versions in which each depot was read, by depot.
	versionsRead map[string][]uint64
	// executions counts the executions with an answer.
	executions int
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*requestRecord), outSince: make(map[string]time.Time)}
}

// setRecording starts or stops recording. It stops after a run, so that the
// memory of a fleet that keeps serving does not grow.
func (l *ledger) setRecording(accounts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recording = accounts
}

// setOutSince sets since when a failure domain is out; the zero time means in.
func (l *ledger) setOutSince(domain string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outSince[domain] = since
}

// middleware wraps the handler of an upstream in the given failure domain and
// records the requests that it gets and answers.
func (l *ledger) middleware(domain string, next http.Handler) http.Handler {
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
		l.recordArrival(domain, s)
		next.ServeHTTP(&recordingWriter{ResponseWriter: w, ledger: l, search: s}, r)
	})
}

func (l *ledger) recordArrival(domain string, s driftupstream.SearchRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.recording {
		return
	}
	a, found := l.requests[s.Request]
	if !found {
		a = &requestRecord{arrivals: make(map[string]int), versionsRead: make(map[string][]uint64)}
		l.requests[s.Request] = a
	}
	a.arrivals[s.Shard]++
	if since := l.outSince[domain]; !since.IsZero() && time.Since(since) > driftcheck.NewWorkGrace {
		l.arrivalsAfterOut++
	}
}

func (l *ledger) recordExecution(s driftupstream.SearchRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[s.Request]
	if !found {
		return
	}
	a.executions++
	for _, d := range s.Depots {
		a.versionsRead[d] = append(a.versionsRead[d], s.Version)
	}
}

// versionsRead returns the index versions in which a request read a depot.
func (l *ledger) versionsRead(request, depot string) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return nil
	}
	return a.versionsRead[depot]
}

// executions returns how many executions of a request were answered.
func (l *ledger) executions(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return 0
	}
	return a.executions
}

// arrivals returns the number of shards that a request arrived at, and the
// number of its arrivals beyond one for each shard.
func (l *ledger) arrivals(request string) (first, extra int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.requests[request]
	if !found {
		return 0, 0
	}
	for _, n := range a.arrivals {
		first++
		extra += n - 1
	}
	return first, extra
}

// lateArrivals returns the number of arrivals in failure domains that were out
// for longer than the grace period.
func (l *ledger) lateArrivals() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivalsAfterOut
}

// recordingWriter records an execution before its answer is sent, so that no
// caller can see an answer that the ledger does not know yet.
type recordingWriter struct {
	http.ResponseWriter
	ledger *ledger
	search driftupstream.SearchRequest
}

// WriteHeader implements http.ResponseWriter.
func (w *recordingWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.ledger.recordExecution(w.search)
	}
	w.ResponseWriter.WriteHeader(status)
}
