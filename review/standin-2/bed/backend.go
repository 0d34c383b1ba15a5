package bed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Backend is a stand-in for a sound backend of one service.
type Backend struct {
	ID, Service, Address, Zone string

	bed   *Bed
	slots chan struct{}
	born  time.Time
	// Work is how long a request takes, Body the body of the answers.
	work time.Duration
	body func(r *http.Request) []byte

	mu  sync.Mutex
	seq int64
	// ran counts the runs by the id of the request, and ranAt is when the latest began.
	ran   map[string]int
	total int
}

// BackendSpec is what differs between backends.
type BackendSpec struct {
	Service string
	Slots   int
	Work    time.Duration
	// Body returns the body of the answer to a request.
	Body func(r *http.Request) []byte
}

// beatPeriod is the time between two status reports of a backend.
const beatPeriod = 1200 * time.Millisecond

// StartBackend starts a backend and registers it in the store.
func (b *Bed) StartBackend(spec BackendSpec, zone string) (*Backend, error) {
	b.backendCount++
	address := fmt.Sprintf("%s.%d:8080", b.network, 100+b.backendCount)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &Backend{
		ID: fmt.Sprintf("i-%04x%04x", b.backendCount, time.Now().UnixMilli()&0xffff), Service: spec.Service, Address: address, Zone: zone,
		bed: b, slots: make(chan struct{}, spec.Slots), born: time.Now(), work: spec.Work, body: spec.Body, ran: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(listener) }()
	e.report()
	go func() {
		for range time.Tick(beatPeriod) {
			e.report()
		}
	}()
	return e, nil
}

// report writes the status report.
func (e *Backend) report() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.bed.Store.Put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "1", "slots": cap(e.slots),
		"state": "ready", "coldLeftMs": 0, "seq": seq, "born": e.born.UnixMilli(),
	})
}

func (e *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", e.ID)
	w.Header().Set("X-Server-Load", e.load())
}

func (e *Backend) load() string { return fmt.Sprintf("%d,0,%d", len(e.slots), cap(e.slots)) }

// serve runs a request, unless it is for another backend or there is no slot.
func (e *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", e.load())
	expect := r.Header.Get("X-Expect-Instance")
	switch {
	case id == "":
		e.refuse(w, http.StatusBadRequest)
		return
	case expect != "" && expect != e.ID:
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-time.After(100 * time.Millisecond):
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.ran[id]++
	e.total++
	e.mu.Unlock()
	e.bed.noteRun(id, e, r, len(body))
	if e.work > 0 {
		time.Sleep(e.work)
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", e.ID, id))
	_, _ = w.Write(e.body(r))
}

func (e *Backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// Runs returns how many requests the backend ran.
func (e *Backend) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}
