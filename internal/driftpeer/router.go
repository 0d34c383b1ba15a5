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
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Router implements driftshard.Sender.
type Router struct {
	views     *drifttable.ViewHolder
	local     driftshard.Handler
	transport Transport
	observer  driftshard.Observer

	mu      sync.Mutex
	waiting map[string]time.Time
}

// silentAfter is how long a VM may leave all calls without an answer before
// its connections are taken to be silent.
const silentAfter = 100 * time.Millisecond

// NewRouter returns a Router that reads addresses from views, serves
// requests to this VM by the local handler, and tells the observer which VMs
// answer.
func NewRouter(
	views *drifttable.ViewHolder, local driftshard.Handler, transport Transport, observer driftshard.Observer,
) *Router {
	return &Router{
		views: views, local: local, transport: transport, observer: observer,
		waiting: make(map[string]time.Time),
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
	r.sent(vm, time.Now())
	reply, err := r.transport.Peer(target.Peers).Shard(ctx, requestToWire(request))
	if err != nil {
		return r.failure(ctx, target, err)
	}
	r.answered(vm)
	r.observer.Observe(driftshard.PeerAnswered{VM: vm})
	return resultFromWire(request.Attempt, reply)
}

// sent notes a call to a VM from which nothing is awaited yet.
func (r *Router) sent(vm string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.waiting[vm]; !found {
		r.waiting[vm] = now
	}
}

// answered notes that a VM has answered.
func (r *Router) answered(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, vm)
}

// silent reports whether a VM has answered no call for silentAfter, and
// begins to count anew if so.
func (r *Router) silent(vm string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, found := r.waiting[vm]
	if !found || now.Sub(since) < silentAfter {
		return false
	}
	delete(r.waiting, vm)
	return true
}

// failure tells whether a call that failed may have run. The connections of
// a VM that has gone silent are replaced, so that the VM is judged by new
// ones.
func (r *Router) failure(ctx context.Context, vm drifttable.VM, err error) driftshard.Result {
	silent := r.silent(vm.Name, time.Now())
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if silent {
		r.transport.Renew(vm.Peers)
	}
	switch {
	case errors.Is(err, ErrUnreached) && canceled && !silent:
		return driftshard.NotRun{Reason: driftshard.ReasonCanceled}
	case errors.Is(err, ErrUnreached):
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
