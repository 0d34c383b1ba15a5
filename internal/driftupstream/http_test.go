package driftupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// server counts every request that it has read completely as a run. Its answer
// function replies to one request and may close the connection.
type server struct {
	address string
	runs    atomic.Int64
}

func newServer(t *testing.T, answer func(conn net.Conn)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the cleanup
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn, answer func(conn net.Conn)) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.runs.Add(1)
		answer(conn)
	}
}

const completeReply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"attempt\":\"a\"}"

func request() driftshard.Request {
	return driftshard.Request{
		Query: "q", Attempt: "a", NonIdempotent: true, Deadline: time.Now().Add(10 * time.Second),
	}
}

func dial(t *testing.T, address string) Conn {
	t.Helper()
	conn, err := NewHTTPDialer().Dial(t.Context(), drifttable.Upstream{Name: "u", Address: address})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func assertFailure(t *testing.T, sent bool, r Reply) {
	t.Helper()
	f, ok := r.(Failure)
	require.True(t, ok, "%+v", r)
	assert.Equal(t, sent, f.Sent, "%v", f.Err)
}

// TestNoReplay guards against net/http retrying a request whose connection was
// closed or reset: the request would run twice.
func TestNoReplay(t *testing.T) {
	t.Run("closed after reading", func(t *testing.T) {
		s := newServer(t, func(conn net.Conn) { _ = conn.Close() })
		assertFailure(t, true, dial(t, s.address).Do(t.Context(), request()))
		assert.EqualValues(t, 1, s.runs.Load())
	})
	t.Run("reset after reading", func(t *testing.T) {
		s := newServer(t, func(conn net.Conn) {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		})
		assertFailure(t, true, dial(t, s.address).Do(t.Context(), request()))
		assert.EqualValues(t, 1, s.runs.Load())
	})
	t.Run("closed after reading on a connection that was used before", func(t *testing.T) {
		var answered atomic.Bool
		s := newServer(t, func(conn net.Conn) {
			if answered.Swap(true) {
				_ = conn.Close()
				return
			}
			_, _ = io.WriteString(conn, completeReply)
		})
		conn := dial(t, s.address)
		require.IsType(t, Answer{}, conn.Do(t.Context(), request()))
		assertFailure(t, true, conn.Do(t.Context(), request()))
		assert.EqualValues(t, 2, s.runs.Load())
	})
	t.Run("closed while idle", func(t *testing.T) {
		s := newServer(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, completeReply)
			_ = conn.Close()
		})
		conn := dial(t, s.address)
		require.IsType(t, Answer{}, conn.Do(t.Context(), request()))
		client := conn.(*httpConn).client //nolint:forcetypeassert // the dialer makes no other
		require.Eventually(t, func() bool { return client.Err() != nil }, 10*time.Second, time.Millisecond)
		assertFailure(t, false, conn.Do(t.Context(), request()))
		assert.EqualValues(t, 1, s.runs.Load())
	})
	t.Run("silent until the context ends", func(t *testing.T) {
		s := newServer(t, func(net.Conn) {})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		r := dial(t, s.address).Do(ctx, request())
		assertFailure(t, true, r)
		assert.Equal(t, driftshard.ReasonSilent, r.(Failure).Reason) //nolint:forcetypeassert // asserted above
	})
	t.Run("deadline already passed", func(t *testing.T) {
		s := newServer(t, func(net.Conn) {})
		r := request()
		r.Deadline = time.Now()
		assertFailure(t, false, dial(t, s.address).Do(t.Context(), r))
		assert.Zero(t, s.runs.Load())
	})
	t.Run("connection refused", func(t *testing.T) {
		_, err := NewHTTPDialer().Dial(t.Context(), drifttable.Upstream{Name: "u", Address: "127.0.0.1:1"})
		assert.Error(t, err)
	})
}
