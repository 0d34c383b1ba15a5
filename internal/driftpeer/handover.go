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
		Upstream: w.GetUpstream(), From: w.GetFrom(), Flight: int(w.GetFlight()),
		Limit: int(w.GetLimit()), Cold: w.GetCold(), Boot: w.GetBoot(),
		Service: time.Duration(w.GetService()) * time.Microsecond, IDs: w.GetIds(),
	})
	return &pb.HandoverReply{}, nil
}

// HandoverClient implements driftshard.HandoverSender.
type HandoverClient struct {
	views     *drifttable.Holder
	transport Transport
}

// NewHandoverClient returns a sender that reads addresses from views.
func NewHandoverClient(views *drifttable.Holder, transport Transport) *HandoverClient {
	return &HandoverClient{views: views, transport: transport}
}

// SendHandover implements driftshard.HandoverSender.
func (c *HandoverClient) SendHandover(ctx context.Context, vm string, h driftshard.Handover) (err error) {
	defer errors.DeferredAnnotatef(&err, "handing %q over to %q", h.Upstream, vm)
	target, found := c.views.Load().VMs.Get(vm)
	if !found {
		return errors.NotFoundf("VM %q", vm)
	}
	_, err = c.transport.Peer(target.Peers).Handover(ctx, &pb.HandoverRequest{
		Upstream: h.Upstream, From: h.From, Flight: int64(h.Flight), Limit: int64(h.Limit),
		Cold: h.Cold, Boot: h.Boot, Service: h.Service.Microseconds(), Ids: h.IDs,
	})
	return err
}
