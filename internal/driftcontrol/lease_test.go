package driftcontrol

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sentVote is a vote that a VM sent: granted for a lease, not granted for an
// omission from its votes.
type sentVote struct {
	at      time.Time
	granted bool
}

// TestLeaseGrantNeverContradicts asserts that between a lease and an omission,
// in either order, at least one lease passes, so that no two VMs can hold both
// at a time.
func TestLeaseGrantNeverContradicts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var (
			s    leaseGrant
			last = []sentVote{}
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
			last = append(last, sentVote{at: now, granted: s.state == granted})
			assertLeaseBetween(r, last)
		}
	})
}

// assertLeaseBetween compares the newest vote with all contrary ones.
func assertLeaseBetween(r *rapid.T, answers []sentVote) {
	newest := answers[len(answers)-1]
	for _, a := range answers {
		if a.granted != newest.granted && newest.at.Sub(a.at) < leaseDuration {
			r.Fatalf("granted %t at %s and %t at %s", a.granted, a.at, newest.granted, newest.at)
		}
	}
}
