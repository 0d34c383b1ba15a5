package driftpeer

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// Server answers the requests of other VMs. It implements pb.Peer.
type Server struct {
	handler driftshard.Handler
	events  *driftevent.Log
	vm      string
	boot    uint64
}

// NewServer returns a Server for the VM of the given name and incarnation.
func NewServer(vm string, boot uint64, handler driftshard.Handler, events *driftevent.Log) *Server {
	return &Server{vm: vm, boot: boot, handler: handler, events: events}
}

// Shard implements pb.Peer.
func (s *Server) Shard(ctx context.Context, w *pb.ShardRequest) (*pb.ShardReply, error) {
	return resultToWire(w.GetAttempt(), s.handler.Handle(ctx, requestFromWire(w))), nil
}

// Timeline implements pb.Peer.
func (s *Server) Timeline(_ context.Context, w *pb.TimelineRequest) (*pb.TimelineReply, error) {
	reply := &pb.TimelineReply{Vm: s.vm, Boot: s.boot}
	for _, e := range s.events.Events() {
		if w.GetRequest() != "" && w.GetRequest() != e.Request {
			continue
		}
		if e.Time.UnixMicro() < w.GetSince() {
			continue
		}
		reply.Events = append(reply.Events, eventToWire(e))
	}
	return reply, nil
}

func eventToWire(e driftevent.Event) *pb.Event {
	return &pb.Event{
		Vm: e.VM, Boot: e.Boot, Sequence: e.Sequence, Time: e.Time.UnixMicro(),
		Code: int32(e.Code), Request: e.Request, Subject: e.Subject, Detail: e.Detail,
	}
}

// Probe implements pb.Peer.
func (s *Server) Probe(context.Context, *pb.ProbeRequest) (*pb.ProbeReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "probe")
}

// Relay implements pb.Peer.
func (s *Server) Relay(context.Context, *pb.RelayRequest) (*pb.ProbeReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "relay")
}

// Documents implements pb.Peer.
func (s *Server) Documents(context.Context, *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "documents")
}

// Handover implements pb.Peer.
func (s *Server) Handover(context.Context, *pb.HandoverRequest) (*pb.HandoverReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "handover")
}

// Status implements pb.Peer.
func (s *Server) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "status")
}
