package driftcontrol

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sentVote is a vote that a VM sent on another: granted if it grants a lease, not
// granted if it omits the other VM.
type sentVote struct {
	at      time.Time
	granted bool
}

// TestLeaseGrantNeverContradicts asserts that between a lease and an omission,
// in either order, at least one leaseDuration passes, so that no two VMs hold
// contradictory votes at the same time.
func TestLeaseGrantNeverContradicts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var (
			s    leaseGrant
			sent = []sentVote{}
			now  = time.Unix(0, 0)
		)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(r, "gap")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"step", "step", "restart"}).Draw(r, "kind") {
			case "restart":
				s.restart(now)
			default:
				s.step(rapid.Bool().Draw(r, "wanted"), now)
			}
			if s.state != absent && s.state != granted {
				continue
			}
			s.recordLease(now)
			sent = append(sent, sentVote{at: now, granted: s.state == granted})
			assertLeaseBetween(r, sent)
		}
	})
}

// assertLeaseBetween asserts that leaseDuration separates the newest vote from
// all contradictory ones.
func assertLeaseBetween(r *rapid.T, votes []sentVote) {
	newest := votes[len(votes)-1]
	for _, a := range votes {
		if a.granted != newest.granted && newest.at.Sub(a.at) < leaseDuration {
			r.Fatalf("granted %t at %s and %t at %s", a.granted, a.at, newest.granted, newest.at)
		}
	}
}
