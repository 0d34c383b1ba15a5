package driftfront

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// TestHomeAgrees asserts that what one VM alone has seen of an upstream does
// not move the home replica of requests that are not idempotent.
func TestHomeAgrees(t *testing.T) {
	upstreams := []string{"a", "b", "c"}
	service := drifttable.Service{Name: "s", Versions: []drifttable.Version{{
		Number: 1, Shards: drifttable.NewTable(drifttable.Shard{Name: "x", Depots: []string{"d"}, Upstreams: upstreams}),
	}}}
	home := func(change func(*drifttable.Upstream), request string) string {
		var rows []drifttable.Upstream
		for _, name := range upstreams {
			u := drifttable.Upstream{Name: name}
			if name == "a" {
				change(&u)
			}
			rows = append(rows, u)
		}
		v := &drifttable.View{Upstreams: drifttable.NewTable(rows...)}
		home, _ := newEpochTable(0).affinityReplica(v, service, []string{"d"}, request, time.Unix(1, 0))
		return home
	}
	plain := func(*drifttable.Upstream) {}
	parted := func(u *drifttable.Upstream) { u.Leaving, u.Parted = true, true }
	published := func(u *drifttable.Upstream) { u.Leaving = true }
	for i := range 50 {
		request := "q-" + strconv.Itoa(i)
		assert.Equal(t, home(plain, request), home(parted, request))
		assert.NotEqual(t, "a", home(published, request))
	}
}
