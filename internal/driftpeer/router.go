// Package driftpeer carries requests between the VMs of the system: Twirp
// over HTTP for control and reports, and for shard requests net/rpc with
// protobuf messages over connections that many calls share.
//
// Router sends shard requests to the VM that owns the upstream, or straight
// to the local owner when this VM is the one. Server answers the requests of
// other VMs. Transport is the interface below both, so that tests need no
// network.
//
// # Usage
//
//	router := driftpeer.NewRouter(views, owner, driftpeer.NewHTTPTransport(), control)
//	result := router.Send(ctx, "vm-2", request)
package driftpeer

import (
	"context"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Router implements driftshard.Sender.
type Router struct {
	views     *drifttable.Holder
	local     driftshard.Handler
	transport Transport
	observer  driftshard.Observer
}

// NewRouter returns a Router that reads addresses from views, serves
// requests to this VM by the local handler, and tells the observer which VMs
// answer.
func NewRouter(
	views *drifttable.Holder, local driftshard.Handler, transport Transport, observer driftshard.Observer,
) *Router {
	return &Router{views: views, local: local, transport: transport, observer: observer}
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
	reply, err := r.transport.Peer(target.Peers).Shard(ctx, requestToWire(request))
	if err != nil {
		return r.failure(ctx, vm, err)
	}
	r.observer.Observe(driftshard.PeerAnswered{VM: vm})
	return resultFromWire(request.Attempt, reply)
}

// failure tells whether a call that failed may have run.
func (r *Router) failure(ctx context.Context, vm string, err error) driftshard.Result {
	if errors.Is(err, ErrUnreached) {
		r.observer.Observe(driftshard.PeerFailed{VM: vm})
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return driftshard.Unknown{Reason: driftshard.ReasonCanceled}
	}
	r.observer.Observe(driftshard.PeerFailed{VM: vm})
	if ctx.Err() != nil {
		return driftshard.Unknown{Reason: driftshard.ReasonSilent}
	}
	return driftshard.Unknown{Reason: driftshard.ReasonUnreachable}
}
