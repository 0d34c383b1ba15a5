package driftnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Times of a shutdown.
const (
	// lifeSlack is how much longer than its life a caller's list is served:
	// the way of the last list to the caller.
	lifeSlack = 500 * time.Millisecond
	// drainPoll is the time between two looks at what is in flight.
	drainPoll = 20 * time.Millisecond
)

// Leave shuts the VM down in order: it gives up its upstreams and tells other
// VMs at once, goes on to take queries for as long as callers may keep its
// address, then refuses new ones as not run, and returns once nothing is in
// flight. When ctx ends before, the error names what is cut off. The caller
// ends Run afterwards.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "VM %q leaves", n.Self.Name)
	n.Control.Leave(ctx)
	wait(ctx, n.Life+lifeSlack)
	n.Control.Close(ctx)
	// Queries that were admitted by the view before are counted by now.
	wait(ctx, drainPoll)
	for n.Flight() > 0 && ctx.Err() == nil {
		wait(ctx, drainPoll)
	}
	flight := n.Flight()
	n.Checker.NothingCutOff(flight)
	if flight > 0 {
		return errors.Annotatef(ctx.Err(), "%d requests in flight", flight)
	}
	return nil
}

// Flight returns the number of queries of callers and of shard requests of
// other VMs that run at this VM.
func (n *Node) Flight() int {
	return n.Front.InFlight() + int(n.served.flight.Load())
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countedHandler counts the shard requests of other VMs.
type countedHandler struct {
	next   driftshard.Handler
	flight atomic.Int64
}

// Handle implements driftshard.Handler.
func (h *countedHandler) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	h.flight.Add(1)
	defer h.flight.Add(-1)
	return h.next.Handle(ctx, r)
}
