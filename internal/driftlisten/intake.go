package driftlisten

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftintake"
)

const (
	// sweepPeriod is how often connections that took too long are looked for.
	sweepPeriod = 250 * time.Millisecond
	// headSlack is how many bytes more than a head may have are read of it, since what
	// follows a head is read with it. It is that of the standard server.
	headSlack = 4096
	// receiveBuffer bounds what the system holds of one connection before it is read,
	// in bytes.
	receiveBuffer = 32 << 10
	// lingerTime and lingerBytes bound what is read of a client whose head was refused.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
	// fieldBytes is about what a field of a head takes beyond its text, which is held
	// twice.
	fieldBytes = 256
)

// Errors of bodies. After them the connection has to be closed.
const (
	// ErrNoRoom means that the VM holds too much for other requests.
	ErrNoRoom = errors.ConstError("no room for the body")
	// ErrTooLong means that the body is longer than allowed.
	ErrTooLong = errors.ConstError("body too long")
)

// errEnded ends the reading of a connection. The standard server does not answer after
// a timeout.
var errEnded = os.ErrDeadlineExceeded

// Limits are the limits on callers of all servers of a VM.
type Limits struct {
	// HeadBytes is the length of the longest head.
	HeadBytes int
	// Times are how long the callers of each class may take.
	Times driftintake.ClassTimes
}

// Intake closes the connections and refuses the requests for which a VM has no room. It
// is shared by the servers of the VM. It is safe for concurrent use.
type Intake struct {
	account *driftintake.Account
	limits  atomic.Pointer[Limits]
	closed  func(driftintake.Cause)

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*driftintake.Conn]*conn
	// late holds those that had taken too long at the last look.
	late map[*driftintake.Conn]bool
}

// NewIntake returns an Intake with the given account and first limits. Closed is called
// for each connection that is closed and each request that is refused.
func NewIntake(account *driftintake.Account, limits Limits, closed func(driftintake.Cause)) *Intake {
	in := &Intake{account: account, closed: closed, conns: make(map[*driftintake.Conn]*conn), late: make(map[*driftintake.Conn]bool)}
	in.SetLimits(limits)
	return in
}

// SetLimits changes the limits.
func (in *Intake) SetLimits(limits Limits) { in.limits.Store(&limits) }

// Account returns the account.
func (in *Intake) Account() *driftintake.Account { return in.account }

// Run closes connections that take too long, until the context ends.
func (in *Intake) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// After a pause of the process all callers seem late.
			in.sweep(now, now.Sub(last) < 2*sweepPeriod)
			last = now
		}
	}
}

// sweep closes the connections that take too long, now and at the last look.
func (in *Intake) sweep(now time.Time, steady bool) {
	late := make(map[*driftintake.Conn]bool)
	for _, o := range in.account.Overdue(in.limits.Load().Times, now) {
		in.mu.Lock()
		again := in.late[o.Conn]
		in.mu.Unlock()
		if !again || !steady {
			late[o.Conn] = steady
			continue
		}
		if in.account.End(o.Conn) {
			in.end(o.Conn, o.Cause)
		}
	}
	in.mu.Lock()
	in.late = late
	in.mu.Unlock()
}

// open adds a connection. It returns false, and closes the connection, if there is no
// room.
func (in *Intake) open(c *conn, class driftintake.Class) bool {
	held, closing := in.account.Open(class, c.opened)
	c.intake, c.held, c.heading = in, held, true
	if closing == held {
		_ = c.Close()
		in.closed(driftintake.CauseCrowd)
		return false
	}
	in.mu.Lock()
	in.conns[held] = c
	in.mu.Unlock()
	if closing != nil {
		in.end(closing, driftintake.CauseCrowd)
	}
	return true
}

// end closes a connection that the account has given up.
func (in *Intake) end(held *driftintake.Conn, cause driftintake.Cause) {
	in.mu.Lock()
	c, ok := in.conns[held]
	delete(in.conns, held)
	in.mu.Unlock()
	if ok {
		_ = c.Close()
		in.closed(cause)
	}
}

func (in *Intake) endAll(closing []*driftintake.Conn) {
	for _, held := range closing {
		in.end(held, driftintake.CauseSlow)
	}
}

// forget removes a connection that has ended.
func (in *Intake) forget(c *conn) {
	in.account.Close(c.held)
	in.mu.Lock()
	delete(in.conns, c.held)
	in.mu.Unlock()
}

// headScan finds the end of a head in the parts in which it is read.
type headScan struct {
	// bytes are those that were read, and line those of the last line that are not of
	// its end.
	bytes, line int
	// began is set after the first line that is not empty, ended after the empty line
	// that ends the head.
	began, ended bool
}

// add takes the next part, and returns how many bytes and lines of it belong to the head.
func (h *headScan) add(part []byte) (length, lines int) {
	h.bytes += len(part)
	for !h.ended && length < len(part) {
		end := bytes.IndexByte(part[length:], '\n')
		if end < 0 {
			h.line += len(bytes.TrimRight(part[length:], "\r"))
			return len(part), lines
		}
		h.line += len(bytes.TrimRight(part[length:length+end], "\r"))
		length += end + 1
		lines++
		h.ended = h.began && h.line == 0
		h.began = h.began || h.line > 0
		h.line = 0
	}
	return length, lines
}

// countHead counts a part of a head that was read.
func (c *conn) countHead(part []byte) error {
	in := c.intake
	length, lines := c.head.add(part)
	if limit := in.limits.Load().HeadBytes; limit > 0 && c.head.bytes > limit+headSlack {
		in.closed(driftintake.CauseLong)
		c.refuseHead()
		return errEnded
	}
	closing, ok := in.account.Head(c.held, int64(2*length+fieldBytes*lines), time.Now())
	in.endAll(closing)
	if !ok {
		in.end(c.held, driftintake.CauseFull)
		return errEnded
	}
	return nil
}

// refuseHead answers a head that is too long as the standard server does, which closes
// the connection after the next error. What the client still sends is read for a short
// time, since it would not get the answer otherwise.
func (c *conn) refuseHead() {
	const answer = "431 Request Header Fields Too Large"
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+answer+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+answer)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// request counts what is held for one request.
type request struct {
	conn *conn
	held int64
}

// grow counts more bytes for a body, of which some have just arrived.
func (r *request) grow(bytes, arrived int64) error {
	if r == nil {
		return nil
	}
	in := r.conn.intake
	closing, ok := in.account.Body(r.conn.held, bytes, arrived, time.Now())
	in.endAll(closing)
	if !ok {
		in.closed(driftintake.CauseFull)
		return ErrNoRoom
	}
	r.held += bytes
	return nil
}

// release gives back bytes of the body.
func (r *request) release(bytes int64) {
	if r != nil {
		r.conn.intake.account.Release(r.conn.held, bytes)
		r.held -= bytes
	}
}

// complete records that the body is whole.
func (r *request) complete() error {
	if r != nil && !r.conn.intake.account.Complete(r.conn.held) {
		return ErrNoRoom
	}
	return nil
}

// countedBody is the body of a request that is counted.
type countedBody struct {
	io.ReadCloser
	request *request
}

// Read implements io.Reader. It counts twice what it reads: whoever reads it keeps it in
// a buffer that grows.
func (b *countedBody) Read(buffer []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(buffer)
	if n > 0 {
		if err := b.request.grow(2*int64(n), int64(n)); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		if err := b.request.complete(); err != nil {
			return n, err
		}
	}
	return n, err
}

// counted returns the handler with the bodies of its requests counted.
func counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.endHead()
		c.intake.account.Begin(c.held, time.Now())
		current := &request{conn: c}
		// A connection of HTTP/2 carries other requests, so it is not closed for one.
		if r.ContentLength == 0 || r.ProtoMajor > 1 {
			if err := current.complete(); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if r.ContentLength != 0 {
			// The server looks at the body of its own request.
			copied := *r
			copied.Body = &countedBody{ReadCloser: r.Body, request: current}
			r = &copied
		}
		defer func() { current.release(current.held) }()
		handler.ServeHTTP(w, r)
	})
}

// firstBody is the size of the buffer that a body is first read into.
const firstBody = 4 << 10

// ReadBody reads the body of a request. Its buffer grows with what has arrived, and not
// with what is announced. It returns ErrTooLong if the body has more bytes than the
// limit, and ErrNoRoom if the VM has no room for it, with what was read; the connection
// has to be closed then. If it returns no error, the connection stays open until the
// answer.
func ReadBody(r *http.Request, limit int64) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := io.Reader(r.Body)
	var current *request
	if b, ok := r.Body.(*countedBody); ok {
		reader, current = b.ReadCloser, b.request
	}
	longest := limit
	if r.ContentLength > 0 {
		longest = min(limit, r.ContentLength)
	}
	// One byte more shows the end of the body, and that it is too long.
	longest++
	for {
		if len(body) == cap(body) {
			grown, err := grow(body, longest, current)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body[:limit], ErrTooLong
		case err == io.EOF:
			return body, current.complete()
		case err != nil:
			return body, err
		}
		if err := current.grow(0, int64(n)); err != nil {
			return body, err
		}
	}
}

// grow returns a buffer of twice the size, or of the longest, with the same content.
func grow(body []byte, longest int64, current *request) ([]byte, error) {
	size := min(max(firstBody, 2*int64(cap(body))), longest)
	if err := current.grow(size, 0); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	current.release(int64(cap(body)))
	return grown, nil
}

// ReadMessage reads a message of the given length from a connection that was hijacked
// from a server, of which the reader reads. Its buffer grows as that of ReadBody. Done
// gives back what is counted for it. Other connections have no bound.
func ReadMessage(connection net.Conn, reader io.Reader, length int64) (message []byte, done func(), err error) {
	var current *request
	if c, ok := connection.(*conn); ok && c.intake != nil {
		current = &request{conn: c}
	}
	done = func() { current.release(int64(cap(message))) }
	for int64(len(message)) < length {
		if len(message) == cap(message) {
			grown, err := grow(message, length, current)
			if err != nil {
				return message, done, err
			}
			message = grown
		}
		n, err := reader.Read(message[len(message):cap(message)])
		message = message[:len(message)+n]
		if err != nil && int64(len(message)) < length {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return message, done, err
		}
	}
	return message, done, nil
}

// boundReceive bounds what the system holds of each connection of a listener before it
// is read. A listener that is no socket is left as it is.
func boundReceive(listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}
