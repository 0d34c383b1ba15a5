package driftfront

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// TestAffinityReplicaAgrees asserts that what a single VM has observed about
// an upstream does not change the affinity replica of requests that are not
// idempotent.
func TestAffinityReplicaAgrees(t *testing.T) {
	upstreams := []string{"a", "b", "c"}
	service := drifttable.Service{Name: "s", Versions: []drifttable.Version{{
		Number: 1, Shards: drifttable.NewTable(drifttable.Shard{Name: "x", Depots: []string{"d"}, Upstreams: upstreams}),
	}}}
	replica := func(change func(*drifttable.Upstream), request string) string {
		var rows []drifttable.Upstream
		for _, name := range upstreams {
			u := drifttable.Upstream{Name: name}
			if name == "a" {
				change(&u)
			}
			rows = append(rows, u)
		}
		v := &drifttable.View{Upstreams: drifttable.NewTable(rows...)}
		chosen, _ := newEpochTable(0).affinityReplica(v, service, []string{"d"}, request, time.Unix(1, 0))
		return chosen
	}
	noChange := func(*drifttable.Upstream) {}
	leavingObserved := func(u *drifttable.Upstream) { u.Leaving, u.LeavingObserved = true, true }
	leavingPublished := func(u *drifttable.Upstream) { u.Leaving = true }
	for i := range 50 {
		request := "q-" + strconv.Itoa(i)
		assert.Equal(t, replica(noChange, request), replica(leavingObserved, request))
		assert.NotEqual(t, "a", replica(leavingPublished, request))
	}
}
