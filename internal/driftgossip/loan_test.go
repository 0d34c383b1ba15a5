package driftgossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// ledgerLoans lends from a ledger without spending.
type ledgerLoans struct{ *driftshare.Ledger }

func (l ledgerLoans) Lend(r driftshare.Request) (driftshare.Loan, bool) { return l.Ledger.Lend(r, 0) }

// TestLoans has one VM of a fleet ask all others, some of which are cut off.
func TestLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, cut = 20, 5
		start := time.Now()
		clock := driftshare.WithClock(func() time.Duration { return time.Since(start) })
		l := newLAN()
		ledgers := make([]*driftshare.Ledger, vms)
		nodes := startFleet(t, l, vms, func(i int) Option {
			ledgers[i] = driftshare.NewLedger(fmt.Sprint(i), 10*time.Second, clock)
			return WithLoans(ledgerLoans{ledgers[i]})
		})
		time.Sleep(20 * time.Second)
		for i, n := range nodes {
			assert.Equal(t, vms, n.fleet.KnownVMs(), n.address)
			ledgers[i].SetVMs(n.fleet.KnownVMs())
		}
		l.mu.Lock()
		for _, n := range nodes[vms-cut:] {
			l.cut[n.address] = true
		}
		l.mu.Unlock()
		for _, m := range nodes[0].fleet.Alive() {
			nodes[0].fleet.AskLoan(m, ledgers[0].Ask(m.Name))
		}
		synctest.Wait()
		assert.InDelta(t, float64(vms-cut)/vms, ledgers[0].Part(), 1e-9)
		sum := 0.0
		for _, ledger := range ledgers {
			sum += ledger.Part()
		}
		assert.InDelta(t, 1, sum, 1e-9, "nothing is lost or doubled")

		t.Log("VMs that are no longer reached still count")
		time.Sleep(time.Minute)
		assert.Equal(t, vms, nodes[0].fleet.KnownVMs())
		stopFleet(nodes)
	})
}
