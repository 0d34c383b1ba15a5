// Package driftpeer carries requests between the VMs of the system: Twirp
// over HTTP/2 without encryption.
//
// Router sends shard requests to the VM that owns the upstream, or straight
// to the local owner when this VM is the one. Server answers the requests of
// other VMs.
//
// # Usage
//
//	router := driftpeer.NewRouter(views, owner)
//	result := router.Send(ctx, "vm-2", request)
package driftpeer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Router implements driftshard.Sender.
type Router struct {
	views *drifttable.Holder
	local driftshard.Handler

	mu    sync.Mutex
	peers map[string]pb.Peer
}

// NewRouter returns a Router that reads addresses from views and serves
// requests to this VM by the local handler.
func NewRouter(views *drifttable.Holder, local driftshard.Handler) *Router {
	return &Router{views: views, local: local, peers: make(map[string]pb.Peer)}
}

// Send implements driftshard.Sender.
func (r *Router) Send(ctx context.Context, vm string, request driftshard.Request) driftshard.Result {
	v := r.views.Load()
	if vm == v.Self {
		return r.local.Handle(ctx, request)
	}
	target, found := v.VMs.Get(vm)
	if !found {
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	}
	trace := &writeTrace{}
	reply, err := r.peer(target.Peers).Shard(trace.attach(ctx), requestToWire(request))
	if err != nil {
		return trace.failure(ctx)
	}
	return resultFromWire(request.Attempt, reply)
}

// peer returns the client for an address, made at its first use.
func (r *Router) peer(address string) pb.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, found := r.peers[address]
	if !found {
		p = pb.NewPeerProtobufClient("http://"+address, NewHTTPClient())
		r.peers[address] = p
	}
	return p
}

// NewHTTPClient returns a client for HTTP/2 without encryption.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &onceTransport{
		base: &http.Transport{Protocols: &protocols, DisableCompression: true},
	}}
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

// writeTrace notes whether a connection was had for a request, before which
// the request surely did not leave this VM.
type writeTrace struct {
	connected atomic.Bool
}

func (t *writeTrace) failure(ctx context.Context) driftshard.Result {
	if !t.connected.Load() {
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	}
	if ctx.Err() != nil {
		return driftshard.Unknown{Reason: driftshard.ReasonSilent}
	}
	return driftshard.Unknown{Reason: driftshard.ReasonUnreachable}
}
