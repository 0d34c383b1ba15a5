package driftpeer

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// scripted counts runs and answers as a function says.
type scripted struct {
	runs   atomic.Int64
	answer func(ctx context.Context, r driftshard.Request) driftshard.Result
}

func (s *scripted) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	s.runs.Add(1)
	return s.answer(ctx, r)
}

func echo(ctx context.Context, r driftshard.Request) driftshard.Result {
	return instant{}.Handle(ctx, r)
}

// listen serves the handler and returns its address.
func listen(t *testing.T, handler driftshard.Handler) string {
	t.Helper()
	server := NewServer("vm-2", 1, nil, handler, nil, nil, nil)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	t.Cleanup(server.Close)
	return listener.Listener.Addr().String()
}

func dial(t *testing.T, address string) *httpPeer {
	t.Helper()
	p := newHTTPPeer(address, false)
	t.Cleanup(p.close)
	return p
}

func shardRequest(attempt string) driftshard.Request {
	return driftshard.Request{
		Query: "q", Attempt: attempt, Depots: []string{"depot-1"}, Deadline: time.Now().Add(time.Minute),
	}
}

func TestLink(t *testing.T) {
	t.Run("each of many calls at a time gets its own reply", func(t *testing.T) {
		p := dial(t, listen(t, instant{}))
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() { assertOwnReply(t, p, "q/"+strconv.Itoa(i)) })
		}
		group.Wait()
	})
	t.Run("a VM that does not listen was surely not reached", func(t *testing.T) {
		p := dial(t, "127.0.0.1:1")
		_, err := p.Shard(t.Context(), requestToWire(shardRequest("q/1")))
		assert.ErrorIs(t, err, ErrNotSent)
	})
	t.Run("ending the call ends the request at the other VM", func(t *testing.T) {
		started, ended := make(chan struct{}), make(chan struct{})
		handler := &scripted{answer: func(ctx context.Context, _ driftshard.Request) driftshard.Result {
			close(started)
			<-ctx.Done()
			close(ended)
			return driftshard.Unknown{Reason: driftshard.ReasonCanceled}
		}}
		p := dial(t, listen(t, handler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			cancel()
		}()
		_, err := p.Shard(ctx, requestToWire(shardRequest("q/1")))
		require.ErrorIs(t, err, context.Canceled)
		<-ended
	})
}

func assertOwnReply(t *testing.T, p *httpPeer, attempt string) {
	t.Helper()
	reply, err := p.Shard(t.Context(), requestToWire(shardRequest(attempt)))
	if assert.NoError(t, err) {
		assert.Equal(t, attempt, reply.GetAttempt())
	}
}

func TestLinkLost(t *testing.T) {
	t.Run("a connection lost during a call leaves open whether it ran, and nothing is sent again", func(t *testing.T) {
		relay := newRelay(t)
		handler := &scripted{}
		handler.answer = func(ctx context.Context, r driftshard.Request) driftshard.Result {
			relay.breakAll()
			return echo(ctx, r)
		}
		p := dial(t, relay.start(listen(t, handler)))
		_, err := p.Shard(t.Context(), requestToWire(shardRequest("q/1")))
		require.Error(t, err)
		require.NotErrorIs(t, err, ErrNotSent)
		assert.EqualValues(t, 1, handler.runs.Load())
	})
	t.Run("after a call without an answer the next takes a new connection", func(t *testing.T) {
		relay := newRelay(t)
		p := dial(t, relay.start(listen(t, instant{})))
		assertOwnReply(t, p, "q/1")
		relay.freezeAll()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := p.Shard(ctx, requestToWire(shardRequest("q/2")))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assertOwnReply(t, p, "q/3")
	})
}

// relay passes connections on and can break them or let them go silent.
type relay struct {
	t      *testing.T
	mu     sync.Mutex
	conns  []net.Conn
	frozen []*atomic.Bool
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	return &relay{t: t}
}

// start returns the address at which the relay takes connections to target.
func (r *relay) start(target string) string {
	var config net.ListenConfig
	l, err := config.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close() })
	r.t.Cleanup(r.breakAll)
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			var dialer net.Dialer
			far, err := dialer.DialContext(r.t.Context(), "tcp", target)
			if err != nil {
				_ = near.Close()
				return
			}
			r.join(near, far)
		}
	}()
	return l.Addr().String()
}

func (r *relay) join(near, far net.Conn) {
	frozen := &atomic.Bool{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, near, far)
	r.frozen = append(r.frozen, frozen)
	go pass(near, far, frozen)
	go pass(far, near, frozen)
}

// pass copies bytes until the end, and drops them while frozen.
func pass(from io.Reader, to io.WriteCloser, frozen *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if frozen.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) breakAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) freezeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frozen {
		f.Store(true)
	}
}
