package driftpeer

import (
	"bufio"
	"context"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Handler returns the handler of the peers' listener: Twirp for control and
// reports, and long-lived connections for shard requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", pb.NewPeerServer(s))
	return &connectHandler{server: s, rest: mux}
}

// noDeadline takes away the deadlines that the HTTP server has set.
var noDeadline time.Time

// connectHandler takes the connections for shard requests out of HTTP.
type connectHandler struct {
	server *Server
	rest   http.Handler
}

// ServeHTTP implements http.Handler.
func (h *connectHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect || r.RequestURI != pathShard {
		h.rest.ServeHTTP(w, r)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusHTTPVersionNotSupported)
		return
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 Connected\r\n\r\n")); err != nil {
		_ = conn.Close()
		return
	}
	reader := bufio.NewReaderSize(buffered.Reader, bufferBytes)
	h.server.serveLink(newCodec(conn, reader))
}

// serveLink serves one connection until its end, which ends the context of
// the requests that came over it.
func (s *Server) serveLink(c *codec) {
	_ = c.conn.SetDeadline(noDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ended = cancel
	s.accepted.add(c)
	defer s.accepted.remove(c)
	server := rpc.NewServer()
	service := &linkService{ctx: ctx, server: s, cancels: make(map[string]context.CancelFunc)}
	if err := server.RegisterName("Peer", service); err != nil {
		_ = c.Close()
		return
	}
	server.ServeCodec(c)
}

// Close closes the connections for shard requests. Call it once no request
// is in flight.
func (s *Server) Close() {
	s.accepted.close()
}

// codecTable holds the open connections of a server.
type codecTable struct {
	mu     sync.Mutex
	rows   map[*codec]bool
	closed bool
}

func (t *codecTable) add(c *codec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return
	}
	if t.rows == nil {
		t.rows = make(map[*codec]bool)
	}
	t.rows[c] = true
}

func (t *codecTable) remove(c *codec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, c)
}

func (t *codecTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.rows {
		_ = c.Close()
	}
}

// linkService serves the calls of one connection. Its exported methods have
// the form that net/rpc asks for.
type linkService struct {
	ctx    context.Context //nolint:containedctx // the life of the connection
	server *Server

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// Shard serves one shard request.
func (l *linkService) Shard(w *pb.ShardRequest, reply *pb.ShardReply) error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	l.hold(w.GetAttempt(), cancel)
	defer l.drop(w.GetAttempt())
	resultToWire(reply, w.GetAttempt(), l.server.handler.Handle(ctx, requestFromWire(w)))
	return nil
}

// Cancel ends a shard request that the caller has given up.
func (l *linkService) Cancel(w *pb.CancelRequest, _ *pb.CancelReply) error {
	l.drop(w.GetAttempt())
	return nil
}

func (l *linkService) hold(attempt string, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[attempt] = cancel
}

// drop ends the context of an attempt and forgets it.
func (l *linkService) drop(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, found := l.cancels[attempt]; found {
		cancel()
		delete(l.cancels, attempt)
	}
}
