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

// answering is a VM that answers every shard request.
type answering struct {
	pb.Peer
}

func (answering) Shard(_ context.Context, r *pb.ShardRequest) (*pb.ShardReply, error) {
	return &pb.ShardReply{Attempt: r.GetAttempt(), Result: &pb.ShardReply_Done{Done: &pb.Done{}}}, nil
}

// failures counts the VMs that were reported as failed.
type failures struct{ number int }

func (f *failures) Observe(o driftshard.Observation) {
	if _, failed := o.(driftshard.PeerFailed); failed {
		f.number++
	}
}

// TestRouterSilence makes the connections between two VMs silent. A call
// that a faster replica ends early says nothing of the VM; after 100 ms
// without any answer the connections are replaced.
func TestRouterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := driftfake.NewNetwork(func(_, _ string) time.Duration { return time.Millisecond })
		network.Join("vm-2", answering{})
		views := drifttable.NewViewHolder(drifttable.View{Self: "vm-1", VMs: drifttable.NewTable(
			drifttable.VM{Name: "vm-1", Peers: "vm-1"}, drifttable.VM{Name: "vm-2", Peers: "vm-2"},
		)})
		observed := &failures{}
		router := driftpeer.NewRouter(views, nil, network.Transport("vm-1"), observed)
		send := func() driftshard.Result {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stop := time.AfterFunc(30*time.Millisecond, cancel)
			defer stop.Stop()
			return router.Send(ctx, "vm-2", driftshard.Request{Attempt: "a", Deadline: time.Now().Add(time.Second)})
		}
		assert.IsType(t, driftshard.Done{}, send())
		network.Silence("vm-1", "vm-2", true)
		for range 3 {
			assert.Equal(t, driftshard.Unknown{Reason: driftshard.ReasonCanceled}, send())
		}
		assert.Zero(t, observed.number)
		assert.Equal(t, driftshard.Unknown{Reason: driftshard.ReasonSilent}, send())
		assert.Equal(t, 1, observed.number)
		assert.IsType(t, driftshard.Done{}, send())
	})
}
