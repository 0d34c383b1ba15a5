package driftlisten

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
)

// slowReads is a listener whose connections return what they have read only after
// a delay, as on a VM whose process is not scheduled. It signals each read.
type slowReads struct {
	net.Listener
	delay *atomic.Int64
	read  chan struct{}
}

// Accept implements net.Listener.
func (l slowReads) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return slowConn{Conn: connection, from: l}, err
}

type slowConn struct {
	net.Conn
	from slowReads
}

// Read implements net.Conn.
func (c slowConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if delay := time.Duration(c.from.delay.Load()); n > 0 && delay > 0 {
		select {
		case c.from.read <- struct{}{}:
		default:
		}
		time.Sleep(delay)
	}
	return n, err
}

// TestStopCutOffRequestJustRead guards against closing a connection from which a
// request was just read when the server stops.
func TestStopCutOffRequestJustRead(t *testing.T) {
	const readDelay = 50 * time.Millisecond
	// answered reports whether a request that is read as the server stops is answered.
	answered := func(t *testing.T, serve func(net.Listener) (stop func(context.Context) error)) bool {
		t.Helper()
		inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		listener := slowReads{Listener: inner, delay: new(atomic.Int64), read: make(chan struct{}, 1)}
		stop := serve(listener)
		client := &http.Client{Transport: &http.Transport{}}
		send := func() (*http.Response, error) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+inner.Addr().String(), http.NoBody)
			if err != nil {
				return nil, err
			}
			return client.Do(request)
		}
		first, err := send()
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, first.Body)
		_ = first.Body.Close()
		time.Sleep(readDelay)
		listener.delay.Store(int64(readDelay))
		results := make(chan bool, 1)
		go func() {
			response, err := send()
			if err == nil {
				_ = response.Body.Close()
			}
			results <- err == nil
		}()
		<-listener.read
		assert.NoError(t, stop(t.Context()))
		return <-results
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	t.Run("drained", func(t *testing.T) {
		assert.True(t, answered(t, func(l net.Listener) func(context.Context) error {
			server := New(&http.Server{Handler: handler, ReadHeaderTimeout: time.Second})
			go func() { _ = server.Serve(l) }()
			return server.Drain
		}))
	})
	t.Run("the standard server alone", func(t *testing.T) {
		assert.False(t, answered(t, func(l net.Listener) func(context.Context) error {
			server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(l) }()
			return server.Shutdown
		}), "the test must notice")
	})
}

// slowClose is a listener whose Accept returns late after it was closed.
type slowClose struct{ net.Listener }

// Accept implements net.Listener.
func (l slowClose) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return connection, err
}

// TestDrainFailedOnClosedListener guards against reporting a listener that was closed
// already while the server has not noticed it yet.
func TestDrainFailedOnClosedListener(t *testing.T) {
	server := New(&http.Server{ReadHeaderTimeout: time.Second})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(slowClose{listener}) }()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, server.Drain(t.Context()))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// TestDrainHTTP2 drains a server while a client holds an idle connection of HTTP/2.
func TestDrainHTTP2(t *testing.T) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := New(&http.Server{ReadHeaderTimeout: time.Second, Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, 2, r.ProtoMajor)
		w.WriteHeader(http.StatusNoContent)
	})})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, server.Drain(ctx))
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

func TestDrain(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	results := make(chan error, 1)
	go func() {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
		if err != nil {
			results <- err
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		results <- err
	}()
	<-arrived
	t.Run("a request in flight is waited for", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, server.Drain(ctx), context.DeadlineExceeded)
	})
	t.Run("new connections are refused", func(t *testing.T) {
		_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", listener.Addr().String())
		require.Error(t, err)
	})
	close(release)
	require.NoError(t, <-results)
	assert.NoError(t, server.Drain(t.Context()))
}

// TestStopClosedConnectionWithNextRequest guards against closing an idle connection
// of whose next request a part arrived while the previous one was being served.
func TestStopClosedConnectionWithNextRequest(t *testing.T) {
	answered, release := make(chan struct{}, 2), make(chan struct{}, 2)
	server := New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		answered <- struct{}{}
		<-release
	})})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	<-answered
	_, err = io.WriteString(conn, request[:1])
	require.NoError(t, err)
	// The server reads this byte while it serves the first request.
	time.Sleep(50 * time.Millisecond)
	release <- struct{}{}
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, request[1:])
	require.NoError(t, err)
	release <- struct{}{}
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	require.NoError(t, <-drained)
}

// TestStopCutOffRequestAfterSplitMethod guards against taking a connection for HTTP/2
// when the first byte of a POST arrives alone.
func TestStopCutOffRequestAfterSplitMethod(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := slowReads{Listener: inner, delay: new(atomic.Int64), read: make(chan struct{}, 1)}
	server := New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	go func() { _ = server.Serve(listener) }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	send := func(parts ...string) {
		for _, part := range parts {
			_, err := io.WriteString(client, part)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
		}
	}
	assertAnswered := func() {
		t.Helper()
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	const rest = "OST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
	send("P", rest)
	assertAnswered()
	listener.delay.Store(int64(100 * time.Millisecond))
	send("P" + rest)
	<-listener.read
	require.NoError(t, server.Drain(t.Context()))
	assertAnswered()
}
