package driftpeer

import (
	"context"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Membership answers the calls that spread the membership and the
// configuration among the VMs. The control plane implements it.
type Membership interface {
	Probe(ctx context.Context, w *pb.ProbeRequest) (*pb.ProbeReply, error)
	Relay(ctx context.Context, w *pb.RelayRequest) (*pb.ProbeReply, error)
	Documents(ctx context.Context, w *pb.DocumentsRequest) (*pb.DocumentsReply, error)
}

// Reporter returns the status report of this VM as JSON.
type Reporter interface {
	Report() []byte
}

// Server answers the requests of other VMs. It implements pb.Peer.
type Server struct {
	Membership
	vm          string
	incarnation uint64
	handler     driftshard.Handler
	receiver    driftshard.HandoverReceiver
	events      *driftevent.Log
	reporter    Reporter
	openLinks   codecSet
}

// NewServer returns a Server for the VM with the given name and incarnation.
func NewServer(
	vm string, incarnation uint64, membership Membership, handler driftshard.Handler,
	receiver driftshard.HandoverReceiver, events *driftevent.Log, reporter Reporter,
) *Server {
	return &Server{
		Membership: membership, vm: vm, incarnation: incarnation, handler: handler,
		receiver: receiver, events: events, reporter: reporter,
	}
}

// Shard implements pb.Peer.
func (s *Server) Shard(ctx context.Context, w *pb.ShardRequest) (*pb.ShardReply, error) {
	reply := &pb.ShardReply{}
	resultToWire(reply, w.GetAttempt(), s.handler.Handle(ctx, requestFromWire(w)))
	return reply, nil
}
