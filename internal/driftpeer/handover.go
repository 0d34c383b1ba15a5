package driftpeer

import (
	"context"
	"time"

	"github.com/juju/errors"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Handover implements pb.Peer.
func (s *Server) Handover(_ context.Context, w *pb.HandoverRequest) (*pb.HandoverReply, error) {
	s.receiver.ReceiveHandover(driftshard.Handover{
		Upstream: w.GetUpstream(), From: w.GetFrom(), InFlight: int(w.GetFlight()),
		Limit: int(w.GetLimit()), Cold: w.GetCold(), Incarnation: w.GetBoot(),
		Baselines: baselinesFromWire(w.GetNorms()), IDs: w.GetIds(),
	})
	return &pb.HandoverReply{}, nil
}

// HandoverClient sends the state of an upstream to its next owner. It
// implements driftshard.HandoverSender.
type HandoverClient struct {
	views     *drifttable.ViewHolder
	transport Transport
}

// NewHandoverClient returns a HandoverClient that reads addresses from views.
func NewHandoverClient(views *drifttable.ViewHolder, transport Transport) *HandoverClient {
	return &HandoverClient{views: views, transport: transport}
}

// SendHandover implements driftshard.HandoverSender.
func (c *HandoverClient) SendHandover(ctx context.Context, vm string, h driftshard.Handover) (err error) {
	defer errors.DeferredAnnotatef(&err, "handover of %q to %q", h.Upstream, vm)
	target, found := c.views.Load().VMs.Get(vm)
	if !found {
		return errors.NotFoundf("VM %q", vm)
	}
	_, err = c.transport.Peer(target.Peers).Handover(ctx, &pb.HandoverRequest{
		Upstream: h.Upstream, From: h.From, Flight: int64(h.InFlight), Limit: int64(h.Limit),
		Cold: h.Cold, Boot: h.Incarnation, Norms: baselinesToWire(h.Baselines), Ids: h.IDs,
	})
	return err
}

func baselinesToWire(baselines []driftshard.Baseline) []*pb.Norm {
	wire := make([]*pb.Norm, 0, len(baselines))
	for _, n := range baselines {
		wire = append(wire, &pb.Norm{
			Class: n.Class, Base: n.Mean.Microseconds(), Spread: n.Deviation.Microseconds(),
		})
	}
	return wire
}

func baselinesFromWire(wire []*pb.Norm) []driftshard.Baseline {
	baselines := make([]driftshard.Baseline, 0, len(wire))
	for _, w := range wire {
		baselines = append(baselines, driftshard.Baseline{
			Class:     w.GetClass(),
			Mean:      time.Duration(w.GetBase()) * time.Microsecond,
			Deviation: time.Duration(w.GetSpread()) * time.Microsecond,
		})
	}
	return baselines
}
