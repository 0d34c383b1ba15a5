package driftcontrol

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// leaseDuration is how long votes in the reply to a probe bind the VM that sent
// them, counted from the moment at which the probe was sent.
const leaseDuration = 1200 * time.Millisecond

// grantState is the state of this VM's vote on another VM.
type grantState int

const (
	// absent: the VM may not own upstreams; others may take over its upstreams.
	absent grantState = iota
	// joining: the VM may not own upstreams yet; others may no longer take them
	// over.
	joining
	// granted: the VM may own upstreams.
	granted
	// retiring: the VM gets no new lease; its last one may still run.
	retiring
	// renewing: the VM has a new incarnation while the lease of the earlier
	// one may still run.
	renewing
)

// leaseGrant is this VM's vote on another VM. Between absent and granted at
// least one leaseDuration passes, so that no two VMs hold contradictory votes
// from this one.
type leaseGrant struct {
	state grantState
	// since is when joining or renewing began; in the granted and retiring states
	// it is when the last lease was granted.
	since time.Time
}

// step moves the grant towards granted if that is wanted, otherwise towards
// absent.
func (s *leaseGrant) step(wanted bool, now time.Time) {
	if now.Sub(s.since) > leaseDuration {
		s.completeTransition(wanted, now)
	}
	switch {
	case s.state == absent && wanted:
		s.state, s.since = joining, now
	case s.state == joining && !wanted:
		s.state = absent
	case s.state == granted && !wanted:
		s.state = retiring
	case s.state == retiring && wanted:
		s.state = granted
	}
}

// completeTransition ends a transition that has lasted for leaseDuration.
func (s *leaseGrant) completeTransition(wanted bool, now time.Time) {
	switch s.state {
	case joining, renewing, retiring:
		s.state = absent
		if wanted {
			s.state, s.since = granted, now
		}
	case absent, granted:
	}
}

// restart withdraws the grant for one leaseDuration, because the VM has a new
// incarnation.
func (s *leaseGrant) restart(now time.Time) {
	switch s.state {
	case absent:
	case joining:
		s.since = now
	default:
		s.state, s.since = renewing, now
	}
}

// recordLease records that the VM is granted a lease.
func (s *leaseGrant) recordLease(now time.Time) {
	if s.state == granted {
		s.since = now
	}
}

// stepGrants updates the grants of all VMs, except while this VM has not run for
// leaseDuration (see domainVotes).
func (c *Control) stepGrants(now time.Time) {
	if now.Sub(c.started) < leaseDuration {
		return
	}
	for _, m := range c.members.rows {
		if m.leaving() && m.departedIncarnation != 0 {
			m.grant.state = absent
			continue
		}
		m.grant.step(c.eligible(m, now), now)
	}
}

// eligible reports whether this VM wants to grant another a lease.
func (c *Control) eligible(m *member, now time.Time) bool {
	if !m.contacted || m.vm.Out || now.Before(m.eligibleAt) {
		return false
	}
	return m.vm.Health == drifttable.Alive || m.vm.Health == drifttable.Suspect
}

// domainVotes returns this VM's votes on the VMs of a domain. It returns nil
// while this VM has not run for leaseDuration, since an earlier incarnation may
// have given contradictory votes that still bind.
func (c *Control) domainVotes(domain string, now time.Time) *pb.Roster {
	if now.Sub(c.started) < leaseDuration {
		return nil
	}
	r := &pb.Roster{}
	for _, name := range c.members.names {
		m := c.members.rows[name]
		if m.grant.state == absent || m.vm.Domain != domain || !c.votesOn(name, domain) {
			continue
		}
		r.Seats = append(r.Seats, &pb.Seat{Name: name, Boot: m.vm.Incarnation, Granted: m.grant.state == granted})
	}
	r.Digest = votesDigest(r.GetSeats())
	return r
}

// votesOn reports whether this VM votes on the subject. In a domain larger than
// smallDomain only the subject and its successors in the ring of names do.
func (c *Control) votesOn(subject, domain string) bool {
	if domain != c.self.Domain {
		return true
	}
	ownDomain := c.domainVMs(domain)
	return len(ownDomain) <= smallDomain || slices.Contains(ringSuccessors(ownDomain, subject, ringVoters), c.self.Name)
}

func votesDigest(grants []*pb.Seat) uint64 {
	d := xxhash.New()
	for _, s := range grants {
		state := s.GetBoot() << 1
		if s.GetGranted() {
			state++
		}
		_, _ = d.WriteString(s.GetName())
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, state))
	}
	return d.Sum64()
}
