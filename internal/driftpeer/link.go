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

// Times and numbers of the connections to one VM.
const (
	// dialLimit bounds the opening of a connection.
	dialLimit = time.Second
	// idleLimit is the silence after which a connection takes no new calls,
	// since something on the way may have lost track of it.
	idleLimit = 10 * time.Second
	// crowded is the number of calls on a connection above which another is
	// opened, up to maxLinks.
	crowded  = 32
	maxLinks = 4
)

// pathShard is the resource at which a connection for shard requests starts.
const pathShard = "/shard"

// linkPool holds the connections for shard requests to one VM.
type linkPool struct {
	address string

	mu    sync.Mutex
	links []*link
	used  time.Time
	dials chan struct{}
}

func newLinkPool(address string) *linkPool {
	return &linkPool{address: address, used: time.Now(), dials: make(chan struct{}, 1)}
}

// link is one connection that carries many calls at a time.
type link struct {
	client  *rpc.Client
	codec   *codec
	pending atomic.Int64
	retired atomic.Bool
}

// Shard sends a shard request. The error has the cause ErrUnreached when the
// request surely did not leave this VM.
func (p *linkPool) Shard(ctx context.Context, r *pb.ShardRequest) (reply *pb.ShardReply, err error) {
	defer errors.DeferredAnnotatef(&err, "shard request to %s", p.address)
	l, err := p.take(ctx)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	defer p.give(l)
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
		return nil, l.failure(call.Error)
	}
	reply, ok := call.Reply.(*pb.ShardReply)
	if !ok {
		return nil, errNotMessage
	}
	return reply, nil
}

// failure tells whether a call that failed may have left this VM. Links are
// closed only once no call is pending, so that ErrShutdown always comes from
// a connection that was broken before the call was written.
func (l *link) failure(err error) error {
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.WithType(err, ErrNotSent)
	}
	return err
}

func (l *link) call(method string, request, reply any) *rpc.Call {
	l.codec.waiting.Add(1)
	return l.client.Go("Peer."+method, request, reply, make(chan *rpc.Call, 1))
}

// abandon gives up a call. After a time-out without a single message on the
// connection, the connection takes no new calls.
func (l *link) abandon(ctx context.Context, attempt string, sent time.Time) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.codec.heard.Load() < sent.UnixNano() {
		l.retired.Store(true)
		return
	}
	l.call("Cancel", &pb.CancelRequest{Attempt: attempt}, &pb.CancelReply{})
}

// usable reports whether the link takes new calls.
func (l *link) usable(now time.Time) bool {
	heard := time.Unix(0, l.codec.heard.Load())
	return !l.retired.Load() && now.Sub(heard) < idleLimit
}

// take returns the least used link, opening one when there is none or when
// all are crowded.
func (p *linkPool) take(ctx context.Context) (*link, error) {
	if l := p.least(); l != nil {
		return l, nil
	}
	select {
	case p.dials <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.dials }()
	if l := p.least(); l != nil {
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

// least returns the link with the fewest calls, counted up, or nil when
// another should be opened.
func (p *linkPool) least() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = time.Now()
	p.sweep(p.used)
	var best *link
	for _, l := range p.links {
		if !l.retired.Load() && (best == nil || l.pending.Load() < best.pending.Load()) {
			best = l
		}
	}
	if best == nil || (best.pending.Load() >= crowded && len(p.links) < maxLinks) {
		return nil
	}
	best.pending.Add(1)
	return best
}

// sweep retires idle links and closes those that are retired and done. The
// caller holds the lock.
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

// retire lets later calls use new links.
func (p *linkPool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.retired.Store(true)
	}
}

// close closes every link. Calls that are pending fail.
func (p *linkPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.retired.Store(true)
		_ = l.codec.Close()
	}
}

// idle reports whether the pool has not been used for the given time.
func (p *linkPool) idle(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.used) > limit
}

func (p *linkPool) give(l *link) {
	l.pending.Add(-1)
}

// dialLink opens a connection and starts the shard protocol on it.
func dialLink(ctx context.Context, address string) (l *link, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
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

// startProtocol asks the peer to speak the shard protocol on the connection.
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
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return reader, nil
}
