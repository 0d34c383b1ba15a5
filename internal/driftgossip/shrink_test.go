package driftgossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLostDomainWasNamedAgain guards against VMs of a lost failure domain that count
// as alive again, in a fleet that is a small one without them.
func TestLostDomainWasNamedAgain(t *testing.T) {
	const (
		// forgottenAfter is how long after a loss the directory may name a VM: the
		// published contactMs and 3 s.
		forgottenAfter = 7 * time.Second
		watched        = 90 * time.Second
	)
	for _, c := range []struct{ vms, domains int }{{13, 2}, {15, 3}, {16, 3}, {16, 4}, {20, 2}, {22, 2}} {
		t.Run(fmt.Sprintf("%d VMs in %d domains", c.vms, c.domains), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLAN()
				nodes := startDomains(t, l, c.vms, c.domains)
				assertAllAlive(t, nodes, 8*time.Second)
				lost := make(map[string]bool)
				var rest []*node
				for _, n := range nodes {
					if addressDomain(n.address) == "1" {
						lost[n.address] = true
						n.cancel()
						l.setCut(true, n)
						continue
					}
					rest = append(rest, n)
				}
				for start := time.Now(); time.Since(start) < watched; time.Sleep(100 * time.Millisecond) {
					for _, n := range rest {
						alive := 0
						for _, m := range n.fleet.Alive() {
							if !lost[m.Address] {
								alive++
								continue
							}
							if since := time.Since(start); since > forgottenAfter && !assert.Fail(t, "named again", "%s at %s after %s", m.Name, n.address, since) {
								stopFleet(rest)
								return
							}
						}
						assert.Equal(t, len(rest)-1, alive, "VMs that run")
					}
				}
				stopFleet(rest)
			})
		})
	}
}
