// Package driftpeer carries requests between the VMs of the system. Control
// messages and reports use Twirp over HTTP. Shard requests use net/rpc with
// protobuf messages over multiplexed connections.
//
// Router sends shard requests to the VM that owns the upstream, or directly
// to the local owner when that is this VM. Server answers the requests of
// other VMs. Transport is the client side of the network; tests replace it, so
// that they need no network.
//
// # Usage
//
//	router := driftpeer.NewRouter(views, owner, driftpeer.NewHTTPTransport(), control)
//	result := router.Send(ctx, "vm-2", request)
package driftpeer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Router sends shard requests to the VMs that own the upstreams. It implements
// driftshard.Sender.
type Router struct {
	views     *drifttable.ViewHolder
	local     driftshard.Handler
	transport Transport
	observer  driftshard.Observer

	mu              sync.Mutex
	unansweredSince map[string]time.Time
}

// silenceTimeout is how long a VM may leave all calls to it unanswered before
// its connections are replaced.
const silenceTimeout = 100 * time.Millisecond

// NewRouter returns a Router that reads addresses from views, passes requests
// to this VM to the local handler, and reports to the observer which VMs
// answer and which fail.
func NewRouter(
	views *drifttable.ViewHolder, local driftshard.Handler, transport Transport, observer driftshard.Observer,
) *Router {
	return &Router{
		views: views, local: local, transport: transport, observer: observer,
		unansweredSince: make(map[string]time.Time),
	}
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
	r.recordCall(vm, time.Now())
	reply, err := r.transport.Peer(target.Peers).Shard(ctx, requestToWire(request))
	if err != nil {
		return r.classifyFailure(ctx, target, err)
	}
	r.recordAnswer(vm)
	r.observer.Observe(driftshard.PeerAnswered{VM: vm})
	return resultFromWire(request.Attempt, reply)
}

// recordCall records since when a VM has not answered, unless an earlier
// unanswered call has done so.
func (r *Router) recordCall(vm string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.unansweredSince[vm]; !found {
		r.unansweredSince[vm] = now
	}
}

// recordAnswer records that a VM has answered.
func (r *Router) recordAnswer(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unansweredSince, vm)
}

// resetIfSilent reports whether a VM has answered no call for silenceTimeout.
// If so, the time is measured anew from the next call.
func (r *Router) resetIfSilent(vm string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, found := r.unansweredSince[vm]
	if !found || now.Sub(since) < silenceTimeout {
		return false
	}
	delete(r.unansweredSince, vm)
	return true
}

// classifyFailure returns the result of a failed call: NotRun if the request
// did not leave this VM, otherwise Unknown, since it may have run. The
// connections of a silent VM are replaced, so that the next calls show whether
// the VM or only its connections have failed.
func (r *Router) classifyFailure(ctx context.Context, vm drifttable.VM, err error) driftshard.Result {
	silent := r.resetIfSilent(vm.Name, time.Now())
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if silent {
		r.transport.ReplaceConnections(vm.Peers)
	}
	switch {
	case errors.Is(err, ErrNotSent) && canceled && !silent:
		return driftshard.NotRun{Reason: driftshard.ReasonCanceled}
	case errors.Is(err, ErrNotSent):
		r.observer.Observe(driftshard.PeerFailed{VM: vm.Name})
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	case canceled && !silent:
		return driftshard.Unknown{Reason: driftshard.ReasonCanceled}
	}
	r.observer.Observe(driftshard.PeerFailed{VM: vm.Name})
	if ctx.Err() != nil {
		return driftshard.Unknown{Reason: driftshard.ReasonSilent}
	}
	return driftshard.Unknown{Reason: driftshard.ReasonUnreachable}
}
