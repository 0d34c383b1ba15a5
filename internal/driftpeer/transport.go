package driftpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// ErrNotSent is the cause of an error of a call that surely did not leave
// this VM. Any other error leaves open whether the call ran.
const ErrNotSent = errors.ConstError("VM not reached")

// Transport reaches other VMs by the addresses at which they listen for
// peers. Tests put a Transport without a network in its place.
type Transport interface {
	// Peer returns a client whose calls may share connections.
	Peer(address string) pb.Peer
	// UnpooledPeer returns a client that makes a new connection for each call, so
	// that a connection gone silent does not pass for a dead VM.
	UnpooledPeer(address string) pb.Peer
	// ReplaceConnections lets later calls of Peer's clients use new connections. Calls on
	// the connections before may still end.
	ReplaceConnections(address string)
}

// HTTPTransport is Twirp over HTTP for control and reports. Shard requests
// go over connections of their own, which cost far less processor time.
type HTTPTransport struct {
	mu    sync.Mutex
	peers map[string]*httpPeer
	swept time.Time
}

// forgetAfter is the time without use after which the connections to an
// address are closed and forgotten.
const forgetAfter = time.Minute

// NewHTTPTransport returns a Transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{peers: make(map[string]*httpPeer), swept: time.Now()}
}

// Close closes all connections. Calls that are pending fail.
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

// sweep forgets addresses that are no longer used, such as those of VMs that
// were replaced. The caller holds the lock.
func (t *HTTPTransport) sweep(now time.Time) {
	if now.Sub(t.swept) < forgetAfter {
		return
	}
	t.swept = now
	for address, p := range t.peers {
		if p.links.idle(now, forgetAfter) {
			p.close()
			delete(t.peers, address)
		}
	}
}

// UnpooledPeer implements Transport. Its shard requests go over Twirp too, so that
// no connection outlives a call.
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

func newHTTPPeer(address string, fresh bool) *httpPeer {
	base := &http.Transport{DisableCompression: true, DisableKeepAlives: fresh}
	client := &http.Client{Transport: &onceTransport{base: base}}
	return &httpPeer{
		Peer: pb.NewPeerProtobufClient("http://"+address, client), links: newLinkPool(address), base: base,
	}
}

// onceTransport takes away GetBody, without which the library cannot replay
// a request on another connection.
type onceTransport struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *onceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.GetBody = nil
	return t.base.RoundTrip(req)
}

// httpPeer is another VM. Its shard requests do not go over Twirp.
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
