package driftdemo

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// anyPort lets the operating system choose a port on loopback.
const anyPort = "127.0.0.1:0"

// Limits of the fake servers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// listener serves HTTP on a loopback address, which it keeps when it is closed
// and opened again.
type listener struct {
	handler   http.Handler
	connState func(net.Conn, http.ConnState)
	address   string

	mu     sync.Mutex
	server *http.Server
}

// open starts to listen, at the previous address if there was one.
func (l *listener) open(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "stand-in at %q", l.address)
	address := l.address
	if address == "" {
		address = anyPort
	}
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: l.handler, ConnState: l.connState, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	l.mu.Lock()
	l.address, l.server = socket.Addr().String(), server
	l.mu.Unlock()
	go func() { _ = server.Serve(socket) }()
	return nil
}

// close closes all connections and refuses new ones, like a process that
// crashes.
func (l *listener) close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return nil
	}
	return l.server.Close()
}

// fakeUpstream is a fake upstream on loopback, with the entry that the platform
// publishes for it.
type fakeUpstream struct {
	listener
	upstream  *driftfake.Upstream
	published driftdocument.Upstream
}

// newFakeUpstreams returns the upstreams of the given size. The ledger records
// their requests.
func newFakeUpstreams(size driftfake.ServiceSpec, seed uint64, l *ledger) []*fakeUpstream {
	documents := size.UpstreamsDocument(func(string) string { return "" }).Upstreams
	upstreams := size.Upstreams(seed)
	stands := make([]*fakeUpstream, 0, len(upstreams))
	for i, u := range upstreams {
		s := &fakeUpstream{upstream: u, published: documents[i]}
		s.handler = l.middleware(documents[i].Domain, u)
		s.connState = u.ConnState
		stands = append(stands, s)
	}
	return stands
}

// restartDowntime is how long a restarting upstream refuses connections.
const restartDowntime = 100 * time.Millisecond

// restart stops the upstream and starts it again, cold, like a new process.
func (s *fakeUpstream) restart(ctx context.Context) error {
	if err := s.close(); err != nil {
		return err
	}
	s.upstream.Restart()
	if err := sleep(ctx, restartDowntime); err != nil {
		return err
	}
	return s.open(ctx)
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
