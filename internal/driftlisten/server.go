// Package driftlisten runs HTTP servers that stop without cutting off a request.
//
// The standard server counts a connection as idle until the request on it is
// parsed, so that its Shutdown may close a connection from which a request has
// just been read. A Server ends idle connections by a deadline for their next
// read instead: a request that was read before is served. Connections of HTTP/2 end
// by a message of that protocol, as with the standard server.
//
// With an Intake, the servers of a VM hold no more connections and bytes of requests
// than driftintake allows (docs/design/intake.md).
//
// # Usage
//
//	server := driftlisten.New(&http.Server{Handler: handler}, driftlisten.WithIntake(intake, driftintake.Callers))
//	go server.Serve(listener)
//	err := server.Drain(ctx)
package driftlisten

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftintake"
)

const (
	// drainPeriod is the time between two looks for idle connections while the
	// server drains.
	drainPeriod = 5 * time.Millisecond
	// firstRequestTime is how long a new connection may take to send its first
	// request while the server drains.
	firstRequestTime = time.Second
)

// Server is an HTTP server that drains. Its methods are safe for concurrent use.
type Server struct {
	http   *http.Server
	intake *Intake
	class  driftintake.Class

	mu        sync.Mutex
	listeners []*connListener
	draining  bool
	conns     map[*conn]http.ConnState
}

// Option configures a Server.
type Option func(*Server)

// WithIntake bounds what the server reads by the share of the class. By default it has
// no bound.
func WithIntake(intake *Intake, class driftintake.Class) Option {
	return func(s *Server) { s.intake, s.class = intake, class }
}

// New returns a Server that runs the given one, whose ConnState must not be set.
func New(server *http.Server, opts ...Option) *Server {
	s := &Server{http: server, conns: make(map[*conn]http.ConnState)}
	server.ConnState = s.track
	for _, opt := range opts {
		opt(s)
	}
	if s.intake != nil {
		server.Handler = counted(server.Handler)
		inner := server.ConnContext
		server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
			if inner != nil {
				ctx = inner(ctx, connection)
			}
			return context.WithValue(ctx, connKey{}, connection)
		}
	}
	return s
}

// Serve accepts connections until Drain or Close, after which it returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	wrapped := &connListener{Listener: listener, intake: s.intake, class: s.class}
	if s.intake != nil {
		boundReceive(listener)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, wrapped)
	s.mu.Unlock()
	err := s.http.Serve(wrapped)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return http.ErrServerClosed
	}
	return err
}

// Drain stops accepting connections, and returns once all connections have ended:
// idle ones at once, others after their request. It returns the context's error
// if that ends first; the connections left are then still open.
func (s *Server) Drain(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "draining connections")
	s.mu.Lock()
	s.draining = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for s.endIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes all listeners and connections.
func (s *Server) Close() error { return s.http.Close() }

// track records the state of a connection. It implements http.Server.ConnState.
func (s *Server) track(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateHijacked:
		// Its owner closes it.
		delete(s.conns, c)
	case http.StateClosed:
		delete(s.conns, c)
	case http.StateIdle:
		c.expectRequest()
		if c.intake != nil {
			c.intake.account.Idle(c.held, time.Now())
		}
		s.conns[c] = state
	default:
		s.conns[c] = state
	}
}

// endIdle ends the connections that wait for a request, and returns how many are
// open, without those of HTTP/2.
func (s *Server) endIdle(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if c.isHTTP2() {
			continue
		}
		open++
		if state == http.StateIdle || (state == http.StateNew && now.Sub(c.opened) > firstRequestTime) {
			c.endIfUnread(now)
		}
	}
	return open
}

// connListener wraps the connections of a listener. It can be closed twice: by
// Drain, and by the standard server.
type connListener struct {
	net.Listener
	intake *Intake
	class  driftintake.Class
	once   sync.Once
	err    error
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: connection, opened: time.Now()}
		if l.intake == nil || l.intake.open(c, l.class) {
			return c, nil
		}
	}
}

// conn is a connection that knows whether anything of the next request was read.
type conn struct {
	net.Conn
	opened time.Time
	// intake is nil if the connection is not bounded, and held what it is in the
	// account.
	intake *Intake
	held   *driftintake.Conn
	// head is that of the head that is being read.
	head headScan

	mu sync.Mutex
	// heading is set while a head is awaited or read.
	heading bool
	// started is set once a part of the next request was read, and ahead if that was
	// while the previous one was being served.
	started, ahead bool
	// begin holds the first bytes that were read, as many as tell HTTP/2 apart.
	begin string
}

// http2Begin is how each connection of HTTP/2, and none of HTTP/1, begins.
const http2Begin = "PRI * HTTP/2.0"

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if n > 0 {
		c.mu.Lock()
		c.begin += string(buffer[:min(n, len(http2Begin)-len(c.begin))])
		c.started = true
		// While a handler runs, the standard server reads one byte ahead.
		c.ahead = len(buffer) == 1
		counts := c.intake != nil && c.heading && c.begin != http2Begin
		c.mu.Unlock()
		if counts {
			if err := c.countHead(buffer[:n]); err != nil {
				return 0, err
			}
		}
	}
	return n, err
}

// endHead records that the head was read.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heading, c.head = false, headScan{}
}

func (c *conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begin == http2Begin
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.intake != nil {
		c.intake.forget(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as the server does before it closes a
// connection from which it has not read all.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// expectRequest records that the next request is awaited.
func (c *conn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.ahead, c.heading = c.ahead, false, true
}

// endIfUnread makes the next read fail, unless a part of a request was read. The
// server sets a deadline of its own after each read that returns.
func (c *conn) endIfUnread(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		_ = c.SetReadDeadline(now)
	}
}
