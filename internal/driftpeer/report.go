package driftpeer

import (
	"context"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Timeline implements pb.Peer.
func (s *Server) Timeline(_ context.Context, w *pb.TimelineRequest) (*pb.TimelineReply, error) {
	reply := &pb.TimelineReply{Vm: s.vm, Boot: s.incarnation}
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
		Vm: e.VM, Boot: e.Incarnation, Sequence: e.Sequence, Time: e.Time.UnixMicro(),
		Code: int32(e.Code), Request: e.Request, Subject: e.Subject, Detail: e.Detail,
	}
}

// Status implements pb.Peer.
func (s *Server) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return &pb.StatusReply{Report: s.reporter.Report()}, nil
}
