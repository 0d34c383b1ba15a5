package driftnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Delays of a shutdown.
const (
	// entryListSlack is how much longer than EntryListTTL a leaving VM accepts
	// queries. It covers the network delay of the last list that is sent to a
	// caller.
	entryListSlack = 500 * time.Millisecond
	// intakeShare is the largest share of the time until the context's deadline in
	// which a leaving VM accepts queries. The rest is left to those in flight.
	intakeShare = 0.5
	// drainPollInterval is the time between two checks of what is in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Leave shuts the VM down gracefully. It releases its upstreams and notifies the other VMs
// at once. For as long as callers may keep its address, or half of the time until the
// deadline of ctx if that is shorter, it accepts queries whose own deadlines are before
// that of ctx. It refuses others, and then all, as not run, and returns when nothing is in
// flight. If ctx ends earlier, the error contains the number of requests that are
// interrupted. The caller stops Run afterwards.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "VM %q is leaving", n.Self.Name)
	if deadline, ok := ctx.Deadline(); ok {
		n.Front.StopBy(deadline)
	}
	n.Control.Leave(ctx)
	sleep(ctx, n.intakeTime(ctx))
	n.Control.Close(ctx)
	// After this delay every query that the earlier view admitted is counted.
	sleep(ctx, drainPollInterval)
	for n.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	inFlight := n.InFlight()
	n.Checker.DrainedAtShutdown(inFlight)
	if inFlight > 0 {
		return errors.Annotatef(ctx.Err(), "%d requests in flight", inFlight)
	}
	return nil
}

// intakeTime returns for how long a leaving VM accepts queries.
func (n *Node) intakeTime(ctx context.Context) time.Duration {
	intake := n.EntryListTTL + entryListSlack
	if deadline, ok := ctx.Deadline(); ok {
		intake = min(intake, time.Duration(intakeShare*float64(time.Until(deadline))))
	}
	return intake
}

// InFlight returns the number of callers' queries and of other VMs' shard
// requests that are running at this VM.
func (n *Node) InFlight() int {
	return n.Front.InFlight() + int(n.peerRequests.inFlight.Load())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countedHandler counts the shard requests of other VMs that are in flight.
type countedHandler struct {
	next     driftshard.Handler
	inFlight atomic.Int64
}

// Handle implements driftshard.Handler.
func (h *countedHandler) Handle(ctx context.Context, r driftshard.Request) driftshard.Result {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	return h.next.Handle(ctx, r)
}
