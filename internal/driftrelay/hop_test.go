package driftrelay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// hopVM takes requests over from other VMs, in virtual time.
type hopVM struct {
	relay *Relay
	// dark leaves new connections hanging, lose closes them after a request
	// has run.
	dark, lose bool
	taken      atomic.Int64
	left       atomic.Int64
}

// hopWorld is a world with VMs that take requests over, by address.
type hopWorld struct {
	*world
	vms map[string]*hopVM
}

func (w *hopWorld) dial(ctx context.Context, address string) (net.Conn, error) {
	vm, ok := w.vms[address]
	if !ok {
		return w.world.dial(ctx, address)
	}
	if vm.dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go vm.serve(far)
	return near, nil
}

func (vm *hopVM) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { _ = conn.Close() }()
	requests := make(chan *http.Request)
	go func() {
		defer close(requests)
		defer cancel()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			request.Body = io.NopCloser(bytes.NewReader(nil))
			requests <- request
		}
	}()
	for request := range requests {
		vm.taken.Add(1)
		wait, _ := strconv.Atoi(request.Header.Get(testHeaders.Deadline))
		a := vm.relay.ServeForwarded(ctx, &driftexchange.Request{
			ID: request.Header.Get(testHeaders.Request), Method: request.Method, Target: request.RequestURI, Host: request.Host,
		}, request.RequestURI, ForwardSentAt(time.Now(), 0), time.Duration(wait)*time.Millisecond)
		if a.Cause == CauseCallerLeft {
			vm.left.Add(1)
		}
		if vm.lose {
			return
		}
		response := &http.Response{
			StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header,
			ContentLength: int64(len(a.Body)), Body: io.NopCloser(bytes.NewReader(a.Body)),
		}
		if response.Header == nil {
			response.Header = make(http.Header)
		}
		response.Header.Set(ForwardHeader, "1")
		_ = response.Write(conn)
	}
}

// newHopWorld returns a world of ten shards and the relay of a VM without
// connections, beside two VMs that callers are sent to.
func newHopWorld(route driftroute.Route, opts ...Option) (*hopWorld, *Relay) {
	w := &hopWorld{world: newWorld(10, 4, rushWork, route), vms: make(map[string]*hopVM)}
	entries := []VM{
		{Name: "entry-0", Domain: "domain-0", Entry: true, Address: "10.0.9.0:1"},
		{Name: "entry-1", Domain: "domain-0", Entry: true, Address: "10.0.9.1:1"},
	}
	for i, vm := range entries {
		r := New(VM{Name: vm.Name, Domain: vm.Domain}, testHeaders, WithDialer(w.dial))
		r.SetVMs(true, []VM{entries[1-i], {Name: "vm-0", Domain: "domain-0"}})
		r.UpdateView(w.view)
		w.vms[vm.Address] = &hopVM{relay: r}
	}
	r := New(VM{Name: "vm-0", Domain: "domain-0"}, testHeaders, append([]Option{WithDialer(w.dial)}, opts...)...)
	r.SetVMs(false, entries)
	r.UpdateView(w.view)
	return w, r
}

func (w *hopWorld) taken() (total int64) {
	for _, vm := range w.vms {
		total += vm.taken.Load()
	}
	return total
}

func (w *hopWorld) closeAll(r *Relay) {
	r.SetVMs(false, nil)
	for _, vm := range w.vms {
		closeAll(vm.relay)
	}
	closeAll(r)
}

func ask(ctx context.Context, r *Relay, route driftroute.Route) Answer {
	return r.Serve(ctx, &driftexchange.Request{ID: "q", Method: http.MethodGet, Target: route.Prefix, Host: route.Host},
		route.Prefix, time.Now(), 0)
}

// TestHop replays requests that reach a VM of a large fleet that callers are
// no longer sent to: on the grown sites it had no connection to most upstreams
// and refused them.
func TestHop(t *testing.T) {
	t.Run("served whole and in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, r := newHopWorld(rush())
			assertInAim(t, drive(r, rush(), 100, 40*time.Millisecond), 0.97)
			assert.EqualValues(t, 100, w.taken())
			a := ask(t.Context(), r, rush())
			assert.NotEmpty(t, a.Header.Get(testHeaders.PartSignatures))
			assert.Empty(t, a.Header.Get(ForwardHeader), "it goes to no caller")
			w.closeAll(r)
		})
	})
	t.Run("one VM does not take connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, r := newHopWorld(rush())
			w.vms["10.0.9.0:1"].dark = true
			assertInAim(t, drive(r, rush(), 100, 40*time.Millisecond), 0.90)
			w.closeAll(r)
		})
	})
	t.Run("a failure is told as one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, r := newHopWorld(rush())
			w.each(func(_ int, s *standIn) { s.dark = true })
			a := ask(t.Context(), r, rush())
			assert.GreaterOrEqual(t, a.Status, http.StatusInternalServerError)
			assert.Equal(t, CausePassed, a.Cause)
			w.closeAll(r)
		})
	})
	t.Run("no VM to turn to", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, r := newHopWorld(rush())
			r.SetVMs(false, nil)
			assert.Equal(t, http.StatusOK, ask(t.Context(), r, rush()).Status, "it serves them itself")
			assert.Zero(t, w.taken())
			w.closeAll(r)
		})
	})
}

// TestHopOnce holds that a request that may run once only runs once, and that
// nobody is told that it did not run, when the VM that took it over is lost.
func TestHopOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := driftevent.NewLog("vm-0", 1)
		checker := driftcheck.NewChecker(events)
		w, r := newHopWorld(once(), WithChecks(events, checker))
		for _, vm := range w.vms {
			vm.lose = true
		}
		for range 5 {
			a := ask(t.Context(), r, once())
			assert.Equal(t, http.StatusBadGateway, a.Status)
			assertOnce(t, w.world, a)
		}
		assert.Zero(t, checker.Total())
		w.closeAll(r)
	})
}

// TestHopLeft frees the upstreams behind the other VM when a caller leaves.
func TestHopLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, r := newHopWorld(rush())
		w.each(func(_ int, s *standIn) { s.speed = 30 })
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		assert.Equal(t, CauseCallerLeft, ask(ctx, r, rush()).Cause)
		time.Sleep(500 * time.Millisecond)
		left := int64(0)
		for _, vm := range w.vms {
			left += vm.left.Load()
		}
		assert.EqualValues(t, 1, left)
		w.each(func(_ int, s *standIn) {
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Zero(t, s.conns, s.name)
		})
		w.closeAll(r)
	})
}
