package driftcontrol

import (
	"slices"
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// MaxOwnerViewAge is the age of a view up to which its owners may be used. A
// view names this VM as an owner only if its leases last at least that long.
const MaxOwnerViewAge = 400 * time.Millisecond

// smallDomain is the number of VMs up to which all VMs of a domain vote on
// one another.
const smallDomain = 9

// ringVoters is the number of VMs that vote on one VM of a larger domain,
// itself included.
const ringVoters = 5

// maxTieVoters is how many VMs of other domains break ties.
const maxTieVoters = 6

// receivedVotes are the latest votes that another VM has sent to this one.
type receivedVotes struct {
	digest     uint64
	grants     map[string]*pb.Seat
	validUntil time.Time
	// absentVoteUntil holds, by VM, when the earlier votes that omitted it
	// expire.
	absentVoteUntil map[string]time.Time
}

// apply updates the votes from the reply to a probe sent at the given moment.
func (s *receivedVotes) apply(r *pb.Roster, sent time.Time) {
	if r == nil {
		return
	}
	if len(r.GetSeats()) > 0 || r.GetDigest() != s.digest {
		s.replace(r.GetSeats())
		s.digest = votesDigest(r.GetSeats())
	}
	if s.digest == r.GetDigest() {
		s.validUntil = sent.Add(leaseDuration)
	}
}

// replace sets new grants. Earlier votes that omitted a VM still exclude it until
// they expire, since their sender may grant it no lease before then.
func (s *receivedVotes) replace(grants []*pb.Seat) {
	before, until := s.grants, s.validUntil
	s.grants = make(map[string]*pb.Seat, len(grants))
	for _, grant := range grants {
		s.grants[grant.GetName()] = grant
		if _, found := before[grant.GetName()]; !found && before != nil {
			s.absentVoteUntil[grant.GetName()] = until
		}
	}
	if s.absentVoteUntil == nil {
		s.absentVoteUntil = make(map[string]time.Time)
	}
}

// valid reports whether the votes still bind their sender for MaxOwnerViewAge.
func (s *receivedVotes) valid(now time.Time) bool {
	return !s.validUntil.Before(now.Add(MaxOwnerViewAge))
}

// electorate holds the VMs that vote on a VM: weights by name, and their sum.
type electorate struct {
	weights map[string]int
	total   int
}

func (e *electorate) add(name string, weight int) {
	e.weights[name] = weight
	e.total += weight
}

// isMajority reports whether the weight is more than half.
func (e *electorate) isMajority(weight int) bool {
	return 2*weight > e.total
}

// electorate returns the voters on a VM of this VM's domain. In a small domain
// all its listed VMs vote. When their number is even, VMs of other domains,
// and after them the first VM by name, break a tie. In a larger domain the
// subject and its successors in the ring of names vote.
func (c *Control) electorate(subject string) electorate {
	e := electorate{weights: make(map[string]int)}
	own := c.domainVMs(c.self.Domain)
	if len(own) > smallDomain {
		for _, name := range ringSuccessors(own, subject, ringVoters) {
			e.add(name, 1)
		}
		return e
	}
	var ties []string
	if len(own)%2 == 0 {
		ties = c.tieVoters()
	}
	for i, name := range own {
		weight := 2 * (len(ties) + 1)
		if i == 0 {
			weight++
		}
		e.add(name, weight)
	}
	for _, name := range ties {
		e.add(name, 2)
	}
	return e
}

// domainVMs returns the names of the listed VMs of a domain in order, or of all
// known ones while none is listed.
func (c *Control) domainVMs(domain string) []string {
	if domain != c.self.Domain {
		return c.findVMs(domain)
	}
	if c.ownDomainGeneration != c.members.generation || c.ownDomainVMs == nil {
		c.ownDomainVMs, c.ownDomainGeneration = c.findVMs(domain), c.members.generation
	}
	return c.ownDomainVMs
}

func (c *Control) findVMs(domain string) []string {
	var listed, known []string
	for _, name := range c.members.names {
		m := c.members.rows[name]
		if m.vm.Domain != domain {
			continue
		}
		known = append(known, name)
		if m.vm.Listed {
			listed = append(listed, name)
		}
	}
	if len(listed) == 0 {
		return known
	}
	return listed
}

// tieVoters returns the VMs of other domains that break ties in this VM's domain.
func (c *Control) tieVoters() []string {
	var others []string
	for _, name := range c.members.listed {
		if c.members.rows[name].vm.Domain != c.self.Domain {
			others = append(others, name)
		}
	}
	ranked := drifttable.Rank("tie/"+c.self.Domain, others)
	return ranked[:min(len(ranked), maxTieVoters)]
}

// ringSuccessors returns the subject and the names that follow it in the ring of
// sorted names, count names in all.
func ringSuccessors(names []string, subject string, count int) []string {
	start, found := slices.BinarySearch(names, subject)
	if !found && start > 0 {
		start--
	}
	voters := make([]string, 0, count)
	for i := range min(count, len(names)) {
		voters = append(voters, names[(start+i)%len(names)])
	}
	return voters
}

// holdsLease reports whether a majority of voters lets this VM own upstreams for
// at least MaxOwnerViewAge.
func (c *Control) holdsLease(now time.Time) bool {
	if c.leaving {
		return false
	}
	e := c.electorate(c.self.Name)
	weight := 0
	for name, w := range e.weights {
		if c.grantsLease(name, now) {
			weight += w
		}
	}
	return e.isMajority(weight)
}

func (c *Control) grantsLease(voter string, now time.Time) bool {
	m := c.members.rows[voter]
	if voter == c.self.Name {
		return m.grant.state == granted
	}
	grant, found := m.votes.grants[c.self.Name]
	return m.votes.valid(now) && found && grant.GetGranted() && grant.GetBoot() == c.self.Incarnation
}

// excluded reports whether a majority of voters is bound not to let the subject
// own upstreams for at least MaxOwnerViewAge.
func (c *Control) excluded(subject string, now time.Time) bool {
	e := c.electorate(subject)
	weight := 0
	for name, w := range e.weights {
		if c.votesToExclude(name, subject, now) {
			weight += w
		}
	}
	return e.isMajority(weight)
}

func (c *Control) votesToExclude(voter, subject string, now time.Time) bool {
	m, departed := c.members.rows[voter], c.members.rows[subject].departedIncarnation
	if voter == c.self.Name {
		s := c.members.rows[subject].grant
		binds := s.state == absent || (s.state == joining && now.Add(MaxOwnerViewAge).Sub(s.since) <= leaseDuration)
		return binds && now.Sub(c.started) >= leaseDuration
	}
	if !m.votes.valid(now) {
		return false
	}
	grant, found := m.votes.grants[subject]
	if found && !m.votes.absentVoteUntil[subject].Before(now.Add(MaxOwnerViewAge)) {
		return true
	}
	return !found || (departed != 0 && grant.GetBoot() <= departed)
}
