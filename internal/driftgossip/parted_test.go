package driftgossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestPartedVMsStayedApart guards against two sides of a partition that lasts longer than
// dead VMs are kept, and whose seeds are all stale, never finding each other again.
func TestPartedVMsStayedApart(t *testing.T) {
	for _, vms := range []int{6, 24} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLAN()
				nodes := startFleet(t, l, vms)
				time.Sleep(5 * time.Second)
				parted := true
				side := func(address string) bool { return addressDomain(address) == "0" }
				l.mu.Lock()
				l.lose = func(from, to string) bool { return parted && side(from) != side(to) }
				l.mu.Unlock()
				for _, n := range nodes {
					n.fleet.SetSeeds([]string{"10.9.9.8:7740", "10.9.9.9:7740"})
				}
				for range 70 {
					time.Sleep(time.Second)
					for _, n := range nodes {
						n.fleet.KnownVMs()
					}
				}
				assert.Less(t, len(nodes[0].fleet.Alive()), vms-1)
				l.mu.Lock()
				parted = false
				l.mu.Unlock()
				time.Sleep(time.Minute)
				for _, n := range nodes {
					assert.Len(t, n.fleet.Alive(), vms-1, n.address)
				}
				stopFleet(nodes)
			})
		})
	}
}
