package driftpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// ErrNotSent is the error type of a call that certainly did not leave this VM.
// After any other error the call may have run.
const ErrNotSent = errors.ConstError("call not sent to the VM")

// Transport returns clients for other VMs by the addresses at which they listen
// for peers. Tests use a Transport without a network.
type Transport interface {
	// Peer returns a client whose calls may share connections.
	Peer(address string) pb.Peer
	// UnpooledPeer returns a client that opens a new connection for each call,
	// so that a stalled connection is not mistaken for a dead VM.
	UnpooledPeer(address string) pb.Peer
	// ReplaceConnections makes later calls of the clients from Peer use new
	// connections. Calls on the existing connections may still complete.
	ReplaceConnections(address string)
}

// HTTPTransport is a Transport that uses Twirp over HTTP for control and
// reports. Shard requests use separate net/rpc connections, since those need far
// less processor time.
type HTTPTransport struct {
	mu        sync.Mutex
	peers     map[string]*httpPeer
	lastSweep time.Time
}

// peerIdleTimeout is the time without use after which the connections to an
// address are closed and removed.
const peerIdleTimeout = time.Minute

// NewHTTPTransport returns an HTTPTransport. It opens connections when they are
// needed.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{peers: make(map[string]*httpPeer), lastSweep: time.Now()}
}

// Close closes all connections. Pending calls fail.
func (t *HTTPTransport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.close()
	}
}

// Peer implements Transport.
func (t *HTTPTransport) Peer(address string) pb.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(time.Now())
	p, found := t.peers[address]
	if !found {
		p = newHTTPPeer(address, false)
		t.peers[address] = p
	}
	return p
}

// sweep removes addresses that are no longer used, such as those of VMs that
// were replaced. The caller holds the lock.
func (t *HTTPTransport) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < peerIdleTimeout {
		return
	}
	t.lastSweep = now
	for address, p := range t.peers {
		if p.links.idle(now, peerIdleTimeout) {
			p.close()
			delete(t.peers, address)
		}
	}
}

// UnpooledPeer implements Transport. The client sends shard requests over Twirp
// too, so that no connection outlives a call.
func (t *HTTPTransport) UnpooledPeer(address string) pb.Peer {
	return newHTTPPeer(address, true).Peer
}

// ReplaceConnections implements Transport.
func (t *HTTPTransport) ReplaceConnections(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, found := t.peers[address]; found {
		p.links.retire()
		p.base.CloseIdleConnections()
	}
}

func newHTTPPeer(address string, unpooled bool) *httpPeer {
	base := &http.Transport{DisableCompression: true, DisableKeepAlives: unpooled}
	client := &http.Client{Transport: &noReplayTransport{base: base}}
	return &httpPeer{
		Peer: pb.NewPeerProtobufClient("http://"+address, client), links: newLinkPool(address), base: base,
	}
}

// noReplayTransport clears the GetBody function of requests. Without it
// net/http cannot replay a request on another connection, where it might run a
// second time.
type noReplayTransport struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *noReplayTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.GetBody = nil
	return t.base.RoundTrip(req)
}

// httpPeer is the client of another VM. Its shard requests use net/rpc, all
// other calls Twirp.
type httpPeer struct {
	pb.Peer
	links *linkPool
	base  *http.Transport
}

func (p *httpPeer) close() {
	p.links.close()
	p.base.CloseIdleConnections()
}

// Shard implements pb.Peer.
func (p *httpPeer) Shard(ctx context.Context, r *pb.ShardRequest) (*pb.ShardReply, error) {
	return p.links.Shard(ctx, r)
}
