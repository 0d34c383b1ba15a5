package bed

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a stand-in for a sound backend of one service.
type Backend struct {
	ID, Service, Address, Zone string

	bed   *Bed
	slots chan struct{}
	born  time.Time
	// work is how long a request takes, wait how long one waits for a slot before it is
	// refused, and body returns the body of its answer.
	work, wait time.Duration
	body       func(r *http.Request) []byte
	// strays is the share of the answers that are sent a second time, without their id.
	strays atomic.Pointer[strays]

	mu  sync.Mutex
	seq int64
	// total counts the runs.
	total int
}

// strays says which answers are sent a second time.
type strays struct {
	share float64
	delay time.Duration
}

// BackendSpec is what differs between backends.
type BackendSpec struct {
	Service string
	Slots   int
	Work    time.Duration
	// Wait is how long a request waits for a slot before it is refused.
	Wait time.Duration
	// Body returns the body of the answer to a request.
	Body func(r *http.Request) []byte
}

// beatPeriod is the time between two status reports of a backend.
const beatPeriod = 1200 * time.Millisecond

// StartBackend starts a backend and registers it in the store.
func (b *Bed) StartBackend(spec BackendSpec, zone string) error {
	b.backendCount++
	address := fmt.Sprintf("%s.%d:8080", b.network, 100+b.backendCount)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e := &Backend{
		ID: fmt.Sprintf("i-%04x%04x", b.backendCount, time.Now().UnixMilli()&0xffff), Service: spec.Service, Address: address, Zone: zone,
		bed: b, slots: make(chan struct{}, spec.Slots), born: time.Now(), work: spec.Work, wait: spec.Wait, body: spec.Body,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(&strayListener{Listener: listener, backend: e}) }()
	e.report()
	go func() {
		for range time.Tick(beatPeriod) {
			e.report()
		}
	}()
	b.Backends = append(b.Backends, e)
	return nil
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
	case <-time.After(e.wait):
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
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

// SetStrays makes the backend send a share of its answers a second time, as bytes that
// belong to no request: a copy without the header X-Request-Id, the delay after the answer.
// A share of 0 ends it.
func (e *Backend) SetStrays(share float64, delay time.Duration) {
	e.strays.Store(&strays{share: share, delay: delay})
}

type strayListener struct {
	net.Listener
	backend *Backend
}

// Accept implements net.Listener.
func (l *strayListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strayConn{Conn: c, backend: l.backend}, nil
}

// strayConn is a connection on which some answers are sent twice. Answers are short, so
// that the server writes each at once.
type strayConn struct {
	net.Conn
	backend *Backend
	mu      sync.Mutex
}

// Write implements net.Conn.
func (c *strayConn) Write(answer []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(answer)
	s := c.backend.strays.Load()
	if err == nil && s != nil && rand.Float64() < s.share {
		if stray, ok := withoutID(answer); ok {
			time.AfterFunc(s.delay, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if _, err := c.Conn.Write(stray); err == nil {
					c.backend.bed.Record.Log("stray: %s sent %d more bytes after a complete answer: %.60q", c.backend.ID, len(stray), stray)
				}
			})
		}
	}
	return n, err
}

// withoutID returns a copy of an answer without its header X-Request-Id.
func withoutID(answer []byte) (stray []byte, ok bool) {
	const name = "X-Request-Id: "
	start := bytes.Index(answer, []byte(name))
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 ")) || start < 0 {
		return nil, false
	}
	end := start + bytes.IndexByte(answer[start:], '\n') + 1
	return append(bytes.Clone(answer[:start]), answer[end:]...), true
}
