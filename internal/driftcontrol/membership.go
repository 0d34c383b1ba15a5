package driftcontrol

import (
	"context"

	"github.com/twitchtv/twirp"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Probe answers a VM that asks whether this one lives.
func (c *Control) Probe(context.Context, *pb.ProbeRequest) (*pb.ProbeReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "probe")
}

// Relay probes a third VM on behalf of another.
func (c *Control) Relay(context.Context, *pb.RelayRequest) (*pb.ProbeReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "relay")
}

// Documents exchanges configuration documents with another VM.
func (c *Control) Documents(context.Context, *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "documents")
}
