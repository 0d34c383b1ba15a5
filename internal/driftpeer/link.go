package driftpeer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Limits of the connections to one VM.
const (
	// dialTimeout bounds opening a connection and starting the protocol on it.
	dialTimeout = time.Second
	// linkIdleTimeout is the time without a received message after which a
	// connection takes no new calls, since a device on the network path may have
	// dropped its state.
	linkIdleTimeout = 10 * time.Second
	// busyLinkCalls is the number of pending calls at which a connection counts
	// as busy. When all are busy, another is opened, up to maxLinks.
	busyLinkCalls = 32
	maxLinks      = 4
)

// pathShard is the target of the CONNECT request that starts a connection for
// shard requests.
const pathShard = "/shard"

// linkPool holds the connections for shard requests to one VM.
type linkPool struct {
	address string

	mu       sync.Mutex
	links    []*link
	lastUse  time.Time
	dialSlot chan struct{} // allows one dial at a time
}

func newLinkPool(address string) *linkPool {
	return &linkPool{address: address, lastUse: time.Now(), dialSlot: make(chan struct{}, 1)}
}

// link is one connection that carries many concurrent calls. A retired link
// takes no new calls, and is closed when none is pending.
type link struct {
	client  *rpc.Client
	codec   *codec
	pending atomic.Int64
	retired atomic.Bool
}

// Shard sends a shard request. The error has the type ErrNotSent if the
// request certainly did not leave this VM.
func (p *linkPool) Shard(ctx context.Context, r *pb.ShardRequest) (reply *pb.ShardReply, err error) {
	defer errors.DeferredAnnotatef(&err, "shard request to %s", p.address)
	l, err := p.acquire(ctx)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	defer p.release(l)
	return l.shard(ctx, r)
}

// shard makes one call and waits for its reply until ctx ends.
func (l *link) shard(ctx context.Context, r *pb.ShardRequest) (*pb.ShardReply, error) {
	sent := time.Now()
	call := l.call("Shard", r, &pb.ShardReply{})
	select {
	case <-call.Done:
	case <-ctx.Done():
		l.abandon(ctx, r.GetAttempt(), sent)
		return nil, ctx.Err()
	}
	if call.Error != nil {
		l.retired.Store(true)
		return nil, l.classifyError(call.Error)
	}
	reply, ok := call.Reply.(*pb.ShardReply)
	if !ok {
		return nil, errNotProtobuf
	}
	return reply, nil
}

// classifyError adds ErrNotSent to the error of a call that did not leave this
// VM. Links are closed only when no call is pending, so ErrShutdown always
// means that the connection was broken before the call was written.
func (l *link) classifyError(err error) error {
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.WithType(err, ErrNotSent)
	}
	return err
}

func (l *link) call(method string, request, reply any) *rpc.Call {
	l.codec.pendingWrites.Add(1)
	return l.client.Go("Peer."+method, request, reply, make(chan *rpc.Call, 1))
}

// abandon cancels a call at the other VM. If the call timed out and no message
// has arrived since it was sent, the link is retired instead.
func (l *link) abandon(ctx context.Context, attempt string, sent time.Time) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.codec.lastReceived.Load() < sent.UnixNano() {
		l.retired.Store(true)
		return
	}
	l.call("Cancel", &pb.CancelRequest{Attempt: attempt}, &pb.CancelReply{})
}

// usable reports whether the link may take new calls.
func (l *link) usable(now time.Time) bool {
	lastReceived := time.Unix(0, l.codec.lastReceived.Load())
	return !l.retired.Load() && now.Sub(lastReceived) < linkIdleTimeout
}

// acquire returns the link with the fewest pending calls, and opens one when
// there is none or all are busy.
func (p *linkPool) acquire(ctx context.Context) (*link, error) {
	if l := p.acquireLeastBusy(); l != nil {
		return l, nil
	}
	select {
	case p.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.dialSlot }()
	if l := p.acquireLeastBusy(); l != nil {
		return l, nil
	}
	l, err := dialLink(ctx, p.address)
	if err != nil {
		return nil, err
	}
	l.pending.Add(1)
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	return l, nil
}

// acquireLeastBusy counts a pending call on the link that has the fewest and
// returns the link, or nil if another one should be opened.
func (p *linkPool) acquireLeastBusy() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUse = time.Now()
	p.sweep(p.lastUse)
	var best *link
	for _, l := range p.links {
		if !l.retired.Load() && (best == nil || l.pending.Load() < best.pending.Load()) {
			best = l
		}
	}
	if best == nil || (best.pending.Load() >= busyLinkCalls && len(p.links) < maxLinks) {
		return nil
	}
	best.pending.Add(1)
	return best
}

// sweep retires idle links and closes the retired ones without pending calls.
// The caller holds the lock.
func (p *linkPool) sweep(now time.Time) {
	kept := p.links[:0]
	for _, l := range p.links {
		if !l.usable(now) {
			l.retired.Store(true)
		}
		if l.retired.Load() && l.pending.Load() == 0 {
			_ = l.client.Close()
			continue
		}
		kept = append(kept, l)
	}
	clear(p.links[len(kept):])
	p.links = kept
}

// retire retires every link, so that later calls use new ones.
func (p *linkPool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.retired.Store(true)
	}
}

// close closes every link. Pending calls fail.
func (p *linkPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.retired.Store(true)
		_ = l.codec.Close()
	}
}

// idle reports whether the pool has been unused for longer than the limit.
func (p *linkPool) idle(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastUse) > limit
}

func (p *linkPool) release(l *link) {
	l.pending.Add(-1)
}

// dialLink opens a connection and starts the shard protocol on it.
func dialLink(ctx context.Context, address string) (l *link, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	reader, err := startProtocol(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := newCodec(conn, reader)
	return &link{client: rpc.NewClientWithCodec(c), codec: c}, nil
}

// startProtocol switches the connection from HTTP to the shard protocol.
func startProtocol(ctx context.Context, conn net.Conn) (*bufio.Reader, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: peer\r\n\r\n", pathShard); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, bufferBytes)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("CONNECT answered with status %d", resp.StatusCode)
	}
	return reader, nil
}
