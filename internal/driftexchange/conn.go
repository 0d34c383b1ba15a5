package driftexchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Buffer sizes and limits of a connection.
const (
	// readBufferSize fits the usual reply of a shard; longer ones take several
	// reads.
	readBufferSize = 2048
	// maxReplyBody is the largest accepted body of a reply, in bytes.
	maxReplyBody = 4 << 20
	// maxReplyHead is the largest accepted head of a reply, in bytes, including
	// informational replies before it.
	maxReplyHead = 64 << 10
	// maxFraming is how many bytes more than its content a body may take.
	maxFraming = 1 << 20
	// maxSkippedReplies is how many replies to other requests are skipped before
	// the connection is closed.
	maxSkippedReplies = 4
	// largeBodySize is the size above which a body is written concurrently with
	// reading the reply, since an upstream may reply before it has read the body.
	largeBodySize = 16 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// announces no timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the upstream
	// announces, in case its timer fires early.
	idleTimeoutMargin = 500 * time.Millisecond
)

// Conn is one connection to an upstream. Send may be called again after the
// result of the last Send has been delivered and Usable reports true.
type Conn struct {
	net     net.Conn
	limit   *limitedConn
	reader  *bufio.Reader
	headers Headers
	memory  *Memory
	closed  chan struct{}

	mu           sync.Mutex
	pending      *pending
	broken       bool
	idleDeadline time.Time
	lastUsed     time.Time
}

// pending is the request whose reply the connection waits for.
type pending struct {
	exchange *Exchange
	request  *http.Request
	id       string
	unsigned bool
	deliver  func(Result)
	written  bool
}

// limitedConn reads at most a number of bytes from a connection.
type limitedConn struct {
	conn net.Conn
	left int
}

// Read implements io.Reader.
func (l *limitedConn) Read(buffer []byte) (n int, err error) {
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err = l.conn.Read(buffer[:min(len(buffer), l.left)])
	l.left -= n
	return n, err
}

// Dialer opens the network connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer that is used in production.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Option configures a Conn.
type Option func(*Conn)

// WithMemory bounds the bodies of replies. Whoever gets a Done releases the bytes
// of its body once they are no longer used.
func WithMemory(m *Memory) Option {
	return func(c *Conn) { c.memory = m }
}

// Dial opens a connection to the upstream at the address.
func Dial(ctx context.Context, dial Dialer, address string, h Headers, opts ...Option) (c *Conn, err error) {
	defer errors.DeferredAnnotatef(&err, "connect to upstream at %s", address)
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	limit := &limitedConn{conn: conn}
	c = &Conn{
		net: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), headers: h,
		closed: make(chan struct{}), idleDeadline: time.Now().Add(defaultIdleTimeout), lastUsed: time.Now(),
	}
	for _, opt := range opts {
		opt(c)
	}
	go c.readLoop()
	return c, nil
}

// Usable reports whether the connection can carry a request now.
func (c *Conn) Usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && c.pending == nil && now.Before(c.idleDeadline)
}

// IdleTime returns the time since the last exchange on the connection ended.
func (c *Conn) IdleTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastUsed)
}

// Closed returns a channel that is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Close closes the connection. The result of a pending request is still
// delivered.
func (c *Conn) Close() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
	_ = c.net.Close()
}

// Exchange is one request on a connection, which may carry others after it. It is
// safe for concurrent use.
type Exchange struct {
	conn *Conn
	// aborted is set by Abort. It is guarded by the connection's lock.
	aborted bool
}

// NewExchange returns an exchange that has not begun.
func (c *Conn) NewExchange() *Exchange { return &Exchange{conn: c} }

// Send is Conn.Send for the request of this exchange. It is called at most once.
func (x *Exchange) Send(r *Request, expect string, deadline time.Time, deliver func(Result)) {
	x.conn.send(x, r, expect, deadline, deliver)
}

// Abort ends the exchange at once: a request that was sent by closing the
// connection, one that was not by not sending it. It has no effect after the result.
func (x *Exchange) Abort() {
	x.conn.mu.Lock()
	x.aborted = true
	pending := x.isPending()
	x.conn.broken = x.conn.broken || pending
	x.conn.mu.Unlock()
	if pending {
		x.conn.Close()
	}
}

// Expire ends the exchange at the given time if it has not ended by then. It has no
// effect before Send.
func (x *Exchange) Expire(at time.Time) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.isPending() {
		_ = x.conn.net.SetReadDeadline(at)
	}
}

// isPending reports whether the connection waits for the reply of this exchange. The
// caller holds the connection's lock.
func (x *Exchange) isPending() bool {
	return x.conn.pending != nil && x.conn.pending.exchange == x
}

// Send writes the request and delivers its result once, from another goroutine
// or before Send returns. The upstream is told how much time is left until the
// deadline.
func (c *Conn) Send(r *Request, expect string, deadline time.Time, deliver func(Result)) {
	c.NewExchange().Send(r, expect, deadline, deliver)
}

func (c *Conn) send(x *Exchange, r *Request, expect string, deadline time.Time, deliver func(Result)) {
	now := time.Now()
	head, err := r.encode(c.headers, expect, deadline.Sub(now))
	if err != nil {
		deliver(NotRun{Err: err})
		return
	}
	p := &pending{
		exchange: x, request: &http.Request{Method: r.Method}, id: r.ID, unsigned: r.Unsigned, deliver: deliver,
		written: len(r.Body) <= largeBodySize,
	}
	c.mu.Lock()
	if c.broken || c.pending != nil || x.aborted {
		err := ErrClosed
		if x.aborted {
			err = ErrAborted
		}
		c.mu.Unlock()
		deliver(NotRun{Err: err})
		return
	}
	c.pending = p
	_ = c.net.SetDeadline(deadline)
	c.mu.Unlock()
	if len(r.Body) > largeBodySize {
		go c.writeLarge(p, head, r.Body)
		return
	}
	if _, err := c.net.Write(append(head, r.Body...)); err != nil {
		c.Close()
	}
}

// writeLarge writes the request concurrently with reading the reply. If the
// reply arrives before the body is written, the connection is not reused.
func (c *Conn) writeLarge(p *pending, head, body []byte) {
	_, err := c.net.Write(head)
	if err == nil {
		_, err = c.net.Write(body)
	}
	c.mu.Lock()
	p.written = true
	early := c.pending != p
	c.mu.Unlock()
	if err != nil || early {
		c.Close()
	}
}

// takePending clears the pending exchange and its deadline, and returns it.
func (c *Conn) takePending() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending = nil
	_ = c.net.SetDeadline(time.Time{})
	c.lastUsed = time.Now()
	return p
}

// readLoop reads replies until the connection ends.
func (c *Conn) readLoop() {
	err := c.readReplies()
	c.Close()
	close(c.closed)
	if p := c.takePending(); p != nil {
		p.deliver(Unknown{Err: err})
	}
}

// readReplies reads and delivers replies one after the other. Bytes that arrive
// while no request is pending end the connection.
func (c *Conn) readReplies() error {
	skipped := 0
	for {
		c.limit.left = maxReplyHead
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		c.mu.Lock()
		p := c.pending
		c.mu.Unlock()
		if p == nil {
			return ErrClosed
		}
		reply, keep, err := c.readFinalReply(p)
		if err != nil {
			return err
		}
		if id := reply.Header.Get(c.headers.Request); id != "" && id != p.id {
			c.memory.Release(len(reply.Body))
			if skipped++; skipped > maxSkippedReplies || !keep {
				return errors.Annotatef(ErrClosed, "reply to request %q", id)
			}
			continue
		}
		if !c.deliverReply(p, reply, keep && skipped == 0) {
			return ErrClosed
		}
	}
}

// readFinalReply reads one reply and the informational ones before it.
func (c *Conn) readFinalReply(p *pending) (reply Reply, keep bool, err error) {
	for err == nil && reply.Status < http.StatusOK {
		reply, keep, err = c.readReply(p)
	}
	return reply, keep, err
}

// readReply reads one reply. Keep reports whether the connection can be reused
// after it.
func (c *Conn) readReply(p *pending) (reply Reply, keep bool, err error) {
	response, err := readHead(c.reader, p.request)
	if err != nil {
		return reply, false, err
	}
	if response.StatusCode < http.StatusOK {
		return Reply{Status: response.StatusCode}, false, nil
	}
	c.limit.left = maxReplyBody + maxFraming
	reader := &bodyReader{body: io.LimitReader(response.Body, maxReplyBody+1), memory: c.memory}
	body, err := io.ReadAll(reader)
	if err == nil && len(body) > maxReplyBody {
		err = ErrTooLong
	}
	if err != nil {
		c.memory.Release(reader.held)
		// Closing the body would read the rest of it.
		c.Close()
		return reply, false, err
	}
	_ = response.Body.Close()
	framed := response.ProtoAtLeast(1, 1) && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	reply = Reply{Status: response.StatusCode, Header: response.Header, Body: body, ContentLength: response.ContentLength}
	c.updateIdleDeadline(response.Header.Get("Keep-Alive"))
	return reply, framed && !response.Close, nil
}

// deliverReply delivers the reply and reports whether the connection stays
// open.
func (c *Conn) deliverReply(p *pending, reply Reply, keep bool) bool {
	c.mu.Lock()
	keep = keep && p.written && c.reader.Buffered() == 0 && !c.broken
	c.broken = c.broken || !keep
	c.mu.Unlock()
	result := classifyReply(reply, c.headers, p.unsigned)
	taken := c.takePending()
	if _, done := result.(Done); !done || taken == nil {
		c.memory.Release(len(reply.Body))
	}
	if taken != nil {
		taken.deliver(result)
	}
	return keep
}

// updateIdleDeadline applies the idle timeout that the upstream announces.
func (c *Conn) updateIdleDeadline(header string) {
	idle := defaultIdleTimeout
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleDeadline = time.Now().Add(idle)
}
