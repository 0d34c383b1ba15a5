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

// countingHandler counts the requests and answers them with a function.
type countingHandler struct {
	runs   atomic.Int64
	answer func(ctx context.Context, r driftshard.Request) driftshard.Result
}

func (s *countingHandler) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	s.runs.Add(1)
	return s.answer(ctx, r)
}

func echo(ctx context.Context, r driftshard.Request) driftshard.Result {
	return immediateHandler{}.Handle(ctx, r)
}

// listen starts a server with the handler and returns its address.
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
	t.Run("each of many concurrent calls gets its own reply", func(t *testing.T) {
		p := dial(t, listen(t, immediateHandler{}))
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() { assertOwnReply(t, p, "q/"+strconv.Itoa(i)) })
		}
		group.Wait()
	})
	t.Run("the error of a call to a VM that does not listen is ErrNotSent", func(t *testing.T) {
		p := dial(t, "127.0.0.1:1")
		_, err := p.Shard(t.Context(), requestToWire(shardRequest("q/1")))
		assert.ErrorIs(t, err, ErrNotSent)
	})
	t.Run("canceling a call cancels the request at the other VM", func(t *testing.T) {
		started, ended := make(chan struct{}), make(chan struct{})
		handler := &countingHandler{answer: func(ctx context.Context, _ driftshard.Request) driftshard.Result {
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
	t.Run("a call whose connection is lost may have run, and is not sent again", func(t *testing.T) {
		proxy := newTCPProxy(t)
		handler := &countingHandler{}
		handler.answer = func(ctx context.Context, r driftshard.Request) driftshard.Result {
			proxy.closeAll()
			return echo(ctx, r)
		}
		p := dial(t, proxy.start(listen(t, handler)))
		_, err := p.Shard(t.Context(), requestToWire(shardRequest("q/1")))
		require.Error(t, err)
		require.NotErrorIs(t, err, ErrNotSent)
		assert.EqualValues(t, 1, handler.runs.Load())
	})
	t.Run("after a call without an answer the next call uses a new connection", func(t *testing.T) {
		proxy := newTCPProxy(t)
		p := dial(t, proxy.start(listen(t, immediateHandler{})))
		assertOwnReply(t, p, "q/1")
		proxy.freezeAll()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := p.Shard(ctx, requestToWire(shardRequest("q/2")))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assertOwnReply(t, p, "q/3")
	})
}

// tcpProxy forwards connections. It can close them, or keep them open and drop
// all bytes.
type tcpProxy struct {
	t      *testing.T
	mu     sync.Mutex
	conns  []net.Conn
	frozen []*atomic.Bool
}

func newTCPProxy(t *testing.T) *tcpProxy {
	t.Helper()
	return &tcpProxy{t: t}
}

// start returns the address at which the proxy accepts connections to target.
func (r *tcpProxy) start(target string) string {
	var config net.ListenConfig
	l, err := config.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close() })
	r.t.Cleanup(r.closeAll)
	go func() {
		for {
			inbound, err := l.Accept()
			if err != nil {
				return
			}
			var dialer net.Dialer
			outbound, err := dialer.DialContext(r.t.Context(), "tcp", target)
			if err != nil {
				_ = inbound.Close()
				return
			}
			r.connect(inbound, outbound)
		}
	}()
	return l.Addr().String()
}

func (r *tcpProxy) connect(inbound, outbound net.Conn) {
	frozen := &atomic.Bool{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, inbound, outbound)
	r.frozen = append(r.frozen, frozen)
	go copyUnlessFrozen(inbound, outbound, frozen)
	go copyUnlessFrozen(outbound, inbound, frozen)
}

// copyUnlessFrozen copies bytes until the connection ends, and drops them while
// it is frozen.
func copyUnlessFrozen(from io.Reader, to io.WriteCloser, frozen *atomic.Bool) {
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

func (r *tcpProxy) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *tcpProxy) freezeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frozen {
		f.Store(true)
	}
}
