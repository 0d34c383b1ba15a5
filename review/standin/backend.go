package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backendConfig describes one backend.
type backendConfig struct {
	ID, Service, Address, Zone string
	Slots, Queue               int
	// Work is how long a request takes.
	Work time.Duration
	// ColdFor is how long the backend is cold after a start.
	ColdFor time.Duration
	// CrashAt, if set, is the number of requests in one second at which a cold
	// backend crashes; it starts again a second later.
	CrashAt int
	// Reply, if set, changes the answer to a request that has run: it returns its
	// status.
	Reply func(id string) int
}

// run is one request that reached a backend.
type run struct {
	id        string
	body      string
	arrived   time.Time
	cold      bool
	started   bool
	ended     time.Time
	status    int
	cancelled bool
}

// backend is a stand-in for a backend. It reports its state to the store, runs a
// bounded number of requests, and drops a request whose connection closes.
type backend struct {
	backendConfig
	store *store
	rec   *record

	mu        sync.Mutex
	server    *http.Server
	born      time.Time
	seq       int64
	state     string
	coldUntil time.Time
	boot      *boot
	runs      []*run
	lastEntry string
	stopBeats chan struct{}
	// lost counts the requests that were at work when the backend crashed.
	lost int
}

// boot is the work of one boot of a backend.
type boot struct {
	running, waiting int
	slot             chan struct{}
	crashed          bool
}

// beatInterval is the time between two status reports.
const beatInterval = 1200 * time.Millisecond

func newBackend(c backendConfig, s *store, rec *record) *backend {
	return &backend{backendConfig: c, store: s, rec: rec, state: "ready"}
}

// start listens and reports to the store. Each start is a new boot; a later one
// keeps the id and the address.
func (b *backend) start() error {
	listener, err := net.Listen("tcp4", b.Address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.born, b.seq, b.lastEntry = time.Now(), 0, ""
	b.coldUntil = b.born.Add(b.ColdFor)
	b.boot = &boot{slot: make(chan struct{}, b.Slots)}
	b.server = &http.Server{Handler: b, IdleTimeout: 15 * time.Second}
	b.stopBeats = make(chan struct{})
	server, stop := b.server, b.stopBeats
	b.mu.Unlock()
	b.rec.printf("backend %s: starts, cold for %s", b.ID, b.ColdFor)
	b.beat()
	go func() { _ = server.Serve(listener) }()
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				b.beat()
			}
		}
	}()
	return nil
}

// crash closes the listener and all connections, and says nothing to the store.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	close(b.stopBeats)
	b.boot.crashed = true
	b.lost += b.boot.running
	b.rec.printf("backend %s: crashes with %d requests at work", b.ID, b.boot.running)
	b.mu.Unlock()
	_ = server.Close()
}

// beat writes the status report. The entry changes if the store holds another one
// but for the sequence number.
func (b *backend) beat() {
	b.mu.Lock()
	b.seq++
	coldLeft := max(0, time.Until(b.coldUntil).Milliseconds())
	body := fmt.Sprintf("%s %d %d", b.state, coldLeft, b.born.UnixMilli())
	seq, state, born := b.seq, b.state, b.born.UnixMilli()
	unchanged := body == b.lastEntry && b.store.writer("servers/"+b.ID) == b.ID
	b.mu.Unlock()
	if unchanged {
		return
	}
	written := b.store.putBy(b.ID, "servers/"+b.ID, map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": state, "coldLeftMs": coldLeft, "seq": seq, "born": born,
	})
	if written {
		b.mu.Lock()
		b.lastEntry = body
		b.mu.Unlock()
	}
}

func (b *backend) load(t *boot) string {
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, b.Slots)
}

// arrive records a request. It reports whether the backend falls over by it.
func (b *backend) arrive(entry *run) (t *boot, full, falls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t = b.boot
	entry.cold = entry.arrived.Before(b.coldUntil)
	b.runs = append(b.runs, entry)
	lately := 0
	for _, r := range b.runs {
		if r.cold && entry.arrived.Sub(r.arrived) < time.Second && !r.arrived.Before(b.born) {
			lately++
		}
	}
	if entry.cold && b.CrashAt > 0 && lately >= b.CrashAt && !t.crashed {
		t.crashed = true
		return t, false, true
	}
	full = t.waiting >= b.Queue
	if !full {
		t.waiting++
	}
	return t, full, false
}

// fall crashes the backend, and starts it again a second later.
func (b *backend) fall() {
	b.rec.printf("backend %s: falls over", b.ID)
	b.crash()
	time.Sleep(time.Second)
	if err := b.start(); err != nil {
		b.rec.printf("backend %s: %v", b.ID, err)
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", b.ID)
	header.Set("Keep-Alive", "timeout=15")
	if r.URL.Path == "/health" {
		b.mu.Lock()
		header.Set("X-Server-Load", b.load(b.boot))
		header.Set("X-Cold-Ms", strconv.FormatInt(max(0, time.Until(b.coldUntil).Milliseconds()), 10))
		b.mu.Unlock()
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	arrived := time.Now()
	request, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	entry := &run{id: id, body: string(request[:min(len(request), 64)]), arrived: arrived}
	t, full, falls := b.arrive(entry)
	if falls {
		go b.fall()
		<-r.Context().Done()
		return
	}
	if full {
		b.end(t, entry, header, http.StatusServiceUnavailable)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	budget := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		budget = time.Duration(ms) * time.Millisecond
	}
	over := time.After(budget)
	select {
	case t.slot <- struct{}{}:
	case <-r.Context().Done():
		b.cancel(t, entry, false)
		return
	case <-over:
		b.mu.Lock()
		t.waiting--
		b.mu.Unlock()
		b.end(t, entry, header, http.StatusServiceUnavailable)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slot }()
	b.mu.Lock()
	t.waiting--
	t.running++
	entry.started = true
	b.mu.Unlock()
	b.rec.printf("backend %s: runs %s (%s %s, %d bytes)", b.ID, id, r.Method, r.URL.Path, len(request))
	status := http.StatusOK
	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		b.cancel(t, entry, true)
		return
	case <-over:
		status = http.StatusGatewayTimeout
	}
	if b.Reply != nil && status == http.StatusOK {
		status = b.Reply(id)
	}
	body := []byte("done " + id)
	sum := fnv.New32a()
	_, _ = sum.Write(body)
	header.Set("X-Server-Stamp", fmt.Sprintf("%s.%s.%08x", b.ID, id, sum.Sum32()))
	header.Set("Content-Type", "application/octet-stream")
	b.mu.Lock()
	t.running--
	b.mu.Unlock()
	b.end(t, entry, header, status)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (b *backend) end(t *boot, entry *run, header http.Header, status int) {
	b.mu.Lock()
	entry.ended, entry.status = time.Now(), status
	header.Set("X-Server-Load", b.load(t))
	b.mu.Unlock()
	b.rec.printf("backend %s: answers %s with %d", b.ID, entry.id, status)
}

// cancel records that the connection of a request has closed.
func (b *backend) cancel(t *boot, entry *run, running bool) {
	b.mu.Lock()
	entry.cancelled, entry.ended = true, time.Now()
	if running {
		t.running--
	} else {
		t.waiting--
	}
	b.mu.Unlock()
	b.rec.printf("backend %s: connection of %s has closed", b.ID, entry.id)
}

// runsOf returns copies of the requests that reached the backend.
func (b *backend) runsOf() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	copies := make([]run, len(b.runs))
	for i, r := range b.runs {
		copies[i] = *r
	}
	return copies
}
