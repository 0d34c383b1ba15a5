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

// Handler returns the handler for the requests of other VMs: Twirp for control
// and reports, and long-lived connections for shard requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", pb.NewPeerServer(s))
	return &connectHandler{server: s, fallback: mux}
}

// noDeadline clears the deadlines that the HTTP server has set on a connection.
var noDeadline time.Time

// connectHandler hijacks the connections for shard requests from the HTTP
// server and passes all other requests to fallback.
type connectHandler struct {
	server   *Server
	fallback http.Handler
}

// ServeHTTP implements http.Handler.
func (h *connectHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect || r.RequestURI != pathShard {
		h.fallback.ServeHTTP(w, r)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// A connection that uses HTTP/2 cannot be hijacked.
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

// serveLink serves one connection until it ends, and then cancels the requests
// that arrived over it.
func (s *Server) serveLink(c *codec) {
	_ = c.conn.SetDeadline(noDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.onReadError = cancel
	s.openLinks.add(c)
	defer s.openLinks.remove(c)
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
	s.openLinks.close()
}

// codecSet holds the codecs of the open connections of a server.
type codecSet struct {
	mu     sync.Mutex
	codecs map[*codec]bool
	closed bool
}

func (t *codecSet) add(c *codec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return
	}
	if t.codecs == nil {
		t.codecs = make(map[*codec]bool)
	}
	t.codecs[c] = true
}

func (t *codecSet) remove(c *codec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.codecs, c)
}

func (t *codecSet) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.codecs {
		_ = c.Close()
	}
}

// linkService serves the calls of one connection. Its exported methods have
// the form that net/rpc requires.
type linkService struct {
	ctx    context.Context //nolint:containedctx // ends with the connection
	server *Server

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// Shard serves one shard request.
func (l *linkService) Shard(w *pb.ShardRequest, reply *pb.ShardReply) error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	l.registerCancel(w.GetAttempt(), cancel)
	defer l.cancelAttempt(w.GetAttempt())
	resultToWire(reply, w.GetAttempt(), l.server.handler.Handle(ctx, requestFromWire(w)))
	return nil
}

// Cancel cancels a shard request that the client has abandoned.
func (l *linkService) Cancel(w *pb.CancelRequest, _ *pb.CancelReply) error {
	l.cancelAttempt(w.GetAttempt())
	return nil
}

func (l *linkService) registerCancel(attempt string, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[attempt] = cancel
}

// cancelAttempt cancels the context of an attempt and removes it.
func (l *linkService) cancelAttempt(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, found := l.cancels[attempt]; found {
		cancel()
		delete(l.cancels, attempt)
	}
}
