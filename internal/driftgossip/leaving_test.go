package driftgossip

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// leavingBound is the published time after which a leaving upstream may get nothing.
const leavingBound = 3 * time.Second

// TestLeavingReachesAllVMs checks that a sign that one VM reports reaches all others,
// that none passes it on twice, and that the traffic ends.
func TestLeavingReachesAllVMs(t *testing.T) {
	for _, c := range []struct {
		vms  int
		loss float64
	}{{8, 0}, {8, 0.1}, {60, 0}, {60, 0.05}} {
		t.Run(fmt.Sprintf("%d VMs, loss %.2f", c.vms, c.loss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed, signs = 1, 40
				t.Log("seed", seed)
				rng := rand.New(rand.NewPCG(seed, seed))
				l := newLAN()
				l.lose = func(string, string) bool { return rng.Float64() < c.loss }
				var mu sync.Mutex
				known := make([]map[LeavingUpstream]bool, c.vms)
				nodes := startFleet(t, l, c.vms, func(i int) Option {
					known[i] = make(map[LeavingUpstream]bool)
					return WithLeavingHandler(func(u LeavingUpstream) bool {
						mu.Lock()
						defer mu.Unlock()
						isNew := !known[i][u]
						known[i][u] = true
						return isNew
					})
				})
				time.Sleep(10 * time.Second)
				for n := range signs {
					u := LeavingUpstream{Upstream: fmt.Sprintf("u-%d", n), Incarnation: int64(n)}
					mu.Lock()
					known[0][u] = true
					mu.Unlock()
					nodes[0].fleet.ReportLeaving(u)
				}
				time.Sleep(leavingBound)
				mu.Lock()
				for i := range known {
					assert.Len(t, known[i], signs, "vm %d", i)
				}
				mu.Unlock()
				time.Sleep(leavingBound)
				for _, n := range nodes {
					n.fleet.mu.Lock()
					assert.Empty(t, n.fleet.leavings)
					n.fleet.mu.Unlock()
				}
				stopFleet(nodes)
			})
		})
	}
}
