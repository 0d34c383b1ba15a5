package driftpeer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// ErrUnreached is the cause of an error of a call that surely did not leave
// this VM. Any other error leaves open whether the call ran.
const ErrUnreached = errors.ConstError("VM not reached")

// Transport reaches other VMs by the addresses at which they listen for
// peers. Tests put a Transport without a network in its place.
type Transport interface {
	// Peer returns a client whose calls may share connections.
	Peer(address string) pb.Peer
	// Fresh returns a client that makes a new connection for each call, so
	// that a connection gone silent does not pass for a dead VM.
	Fresh(address string) pb.Peer
}

// HTTPTransport is Twirp over HTTP/2 without encryption.
type HTTPTransport struct {
	mu    sync.Mutex
	peers map[string]pb.Peer
}

// NewHTTPTransport returns a Transport without connections.
func NewHTTPTransport() *HTTPTransport {
	return &HTTPTransport{peers: make(map[string]pb.Peer)}
}

// Peer implements Transport.
func (t *HTTPTransport) Peer(address string) pb.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, found := t.peers[address]
	if !found {
		p = newHTTPPeer(address, false)
		t.peers[address] = p
	}
	return p
}

// Fresh implements Transport.
func (t *HTTPTransport) Fresh(address string) pb.Peer {
	return newHTTPPeer(address, true)
}

func newHTTPPeer(address string, fresh bool) pb.Peer {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(!fresh)
	protocols.SetHTTP1(fresh)
	base := &http.Transport{
		Protocols: &protocols, DisableCompression: true, DisableKeepAlives: fresh,
	}
	client := &http.Client{Transport: &onceTransport{base: base}}
	return &httpPeer{Peer: pb.NewPeerProtobufClient("http://"+address, client)}
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

// httpPeer tells whether a failed shard request may have left this VM.
type httpPeer struct {
	pb.Peer
}

// Shard implements pb.Peer.
func (p *httpPeer) Shard(ctx context.Context, r *pb.ShardRequest) (*pb.ShardReply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := p.Peer.Shard(ctx, r)
	if err != nil && !connected.Load() {
		return nil, errors.WithType(err, ErrUnreached)
	}
	return reply, err
}
