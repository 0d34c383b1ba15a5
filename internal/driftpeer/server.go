package driftpeer

import (
	"context"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Membership answers the calls by which VMs learn of one another and of the
// configuration. The control plane implements it.
type Membership interface {
	Probe(ctx context.Context, w *pb.ProbeRequest) (*pb.ProbeReply, error)
	Relay(ctx context.Context, w *pb.RelayRequest) (*pb.ProbeReply, error)
	Documents(ctx context.Context, w *pb.DocumentsRequest) (*pb.DocumentsReply, error)
}

// Reporter returns what this VM sees, as JSON.
type Reporter interface {
	Report() []byte
}

// Server answers the requests of other VMs. It implements pb.Peer.
type Server struct {
	Membership
	vm       string
	boot     uint64
	handler  driftshard.Handler
	receiver driftshard.HandoverReceiver
	events   *driftevent.Log
	reporter Reporter
	accepted codecTable
}

// NewServer returns a Server for the VM of the given name and incarnation.
func NewServer(
	vm string, boot uint64, membership Membership, handler driftshard.Handler,
	receiver driftshard.HandoverReceiver, events *driftevent.Log, reporter Reporter,
) *Server {
	return &Server{
		Membership: membership, vm: vm, boot: boot, handler: handler,
		receiver: receiver, events: events, reporter: reporter,
	}
}

// Shard implements pb.Peer.
func (s *Server) Shard(ctx context.Context, w *pb.ShardRequest) (*pb.ShardReply, error) {
	reply := &pb.ShardReply{}
	resultToWire(reply, w.GetAttempt(), s.handler.Handle(ctx, requestFromWire(w)))
	return reply, nil
}
