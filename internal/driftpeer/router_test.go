package driftpeer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// respondingPeer answers every shard request.
type respondingPeer struct {
	pb.Peer
}

func (respondingPeer) Shard(_ context.Context, r *pb.ShardRequest) (*pb.ShardReply, error) {
	return &pb.ShardReply{Attempt: r.GetAttempt(), Result: &pb.ShardReply_Done{Done: &pb.Done{}}}, nil
}

// failureCounter counts the observations that a VM has failed.
type failureCounter struct{ count int }

func (f *failureCounter) Observe(o driftshard.Observation) {
	if _, failed := o.(driftshard.PeerFailed); failed {
		f.count++
	}
}

// TestRouterSilence drops all bytes between two VMs while every call is
// canceled early, as happens when a faster replica answers. A canceled call
// does not show that the VM has failed, but after 100 ms without any answer the
// VM must be reported as failed and its connections replaced.
func TestRouterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := driftfake.NewNetwork(func(_, _ string) time.Duration { return time.Millisecond })
		network.Join("vm-2", respondingPeer{})
		views := drifttable.NewViewHolder(drifttable.View{Self: "vm-1", VMs: drifttable.NewTable(
			drifttable.VM{Name: "vm-1", Peers: "vm-1"}, drifttable.VM{Name: "vm-2", Peers: "vm-2"},
		)})
		observed := &failureCounter{}
		router := driftpeer.NewRouter(views, nil, network.Transport("vm-1"), observed)
		send := func() driftshard.Result {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stop := time.AfterFunc(30*time.Millisecond, cancel)
			defer stop.Stop()
			return router.Send(ctx, "vm-2", driftshard.Request{Attempt: "a", Deadline: time.Now().Add(time.Second)})
		}
		assert.IsType(t, driftshard.Done{}, send())
		network.SetSilent("vm-1", "vm-2", true)
		for range 3 {
			assert.Equal(t, driftshard.Unknown{Reason: driftshard.ReasonCanceled}, send())
		}
		assert.Zero(t, observed.count)
		assert.Equal(t, driftshard.Unknown{Reason: driftshard.ReasonSilent}, send())
		assert.Equal(t, 1, observed.count)
		assert.IsType(t, driftshard.Done{}, send())
	})
}
