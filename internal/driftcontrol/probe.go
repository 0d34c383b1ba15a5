package driftcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times of probes.
const (
	// voterInterval is the time between two probes of a VM that votes on this
	// one, watchInterval that of any other monitored VM.
	voterInterval = 250 * time.Millisecond
	// joinInterval replaces voterInterval while this VM is fenced.
	joinInterval    = 100 * time.Millisecond
	monitorInterval = 500 * time.Millisecond
	// relayInterval is the time between two relayed probes of a silent VM.
	relayInterval = 300 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// maxRelays is how many VMs are asked to relay at a time.
	maxRelays = 3
	// pauseLimit is the gap between two steps of the control goroutine from
	// which the process counts as paused.
	pauseLimit = time.Second
)

// probeState is the state of the probes of one VM.
type probeState struct {
	due, relayDue time.Time
	interval      time.Duration
	pending       bool
	// introduced is set once the VM knows this one by its full description.
	introduced bool
	// voter is set for a VM whose votes this VM asks for, failed when the last
	// probe had no reply.
	voter, failed bool
}

type (
	// probeReceived is a probe by another VM. The reply goes to answer.
	probeReceived struct {
		request *pb.ProbeRequest
		answer  chan<- *pb.ProbeReply
	}
	// probeResult is the result of a probe that this VM sent; reply is nil when
	// it failed.
	probeResult struct {
		vm    string
		sent  time.Time
		reply *pb.ProbeReply
	}
	// relayResult is the reply of a silent VM that a relay has reached.
	relayResult struct {
		vm    string
		reply *pb.ProbeReply
	}
)

func (probeReceived) message() {}
func (probeResult) message()   {}
func (relayResult) message()   {}

// runProbes starts the probes that are due.
func (c *Control) runProbes(ctx context.Context, now time.Time) {
	for _, name := range c.members.names {
		m := c.members.rows[name]
		if name == c.self.Name || !m.monitored || m.vm.Peers == "" {
			continue
		}
		if !m.probe.pending && !now.Before(m.probe.due) {
			c.launchProbe(ctx, m, now)
		}
		if m.probe.failed && now.Sub(m.lastContact()) > suspectAfter && !now.Before(m.probe.relayDue) {
			m.probe.relayDue = now.Add(relayInterval)
			c.launchRelays(ctx, m)
		}
	}
}

func (c *Control) launchProbe(ctx context.Context, m *member, now time.Time) {
	m.probe.pending = true
	m.probe.due = now.Add(m.probe.interval)
	name, address, request := m.vm.Name, m.vm.Peers, c.probeRequest(m, now)
	c.spawn(func() {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		reply, err := c.peers.UnpooledPeer(address).Probe(limited, request)
		if err != nil {
			reply = nil
		}
		c.sendMessage(ctx, probeResult{vm: name, sent: now, reply: reply})
	})
}

// launchRelays asks a few healthy VMs to probe one that does not answer.
func (c *Control) launchRelays(ctx context.Context, m *member) {
	request := &pb.RelayRequest{Target: m.vm.Name, Address: m.vm.Peers, Self: c.selfMember(true)}
	for _, relay := range c.relays(m.vm.Name) {
		c.spawn(func() {
			limited, cancel := context.WithTimeout(ctx, 2*probeTimeout)
			defer cancel()
			reply, err := c.peers.UnpooledPeer(relay).Relay(limited, request)
			if err == nil {
				c.sendMessage(ctx, relayResult{vm: request.GetTarget(), reply: reply})
			}
		})
	}
}

// relays returns the addresses of a random choice of VMs that may reach the
// target.
func (c *Control) relays(target string) []string {
	var addresses []string
	for _, name := range c.members.names {
		m := c.members.rows[name]
		if name == c.self.Name || name == target || m.vm.Peers == "" {
			continue
		}
		if m.monitored && m.vm.Health == drifttable.Alive {
			addresses = append(addresses, m.vm.Peers)
		}
	}
	c.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), maxRelays)]
}

// probeRequest builds the probe of one VM.
func (c *Control) probeRequest(m *member, now time.Time) *pb.ProbeRequest {
	return &pb.ProbeRequest{
		Self: c.selfMember(!m.probe.introduced), Roster: m.votes.digest, Vote: m.probe.voter,
		Held: c.documents.digest, Partings: c.departures.recent(now), Members: c.deathReports(now),
	}
}

// selfMember describes this VM, with its addresses if full is set.
func (c *Control) selfMember(full bool) *pb.Member {
	w := &pb.Member{Name: c.self.Name, Boot: c.self.Incarnation, Fenced: c.fenced}
	if c.leaving {
		w.Health = int32(drifttable.Leaving)
	}
	if full {
		w.Domain, w.Callers, w.Peers = c.self.Domain, c.self.Callers, c.self.Peers
	}
	return w
}

// Probe answers a probe by another VM.
func (c *Control) Probe(ctx context.Context, w *pb.ProbeRequest) (*pb.ProbeReply, error) {
	answer := make(chan *pb.ProbeReply, 1)
	c.sendMessage(ctx, probeReceived{request: w, answer: answer})
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Relay probes a third VM on behalf of another.
func (c *Control) Relay(ctx context.Context, w *pb.RelayRequest) (*pb.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.peers.UnpooledPeer(w.GetAddress()).Probe(ctx, &pb.ProbeRequest{Self: w.GetSelf()})
}

// answerProbe replies to a probe by another VM.
func (c *Control) answerProbe(m probeReceived, now time.Time) {
	w := m.request
	reply := &pb.ProbeReply{Self: c.selfMember(false), Held: c.documents.digest, Members: c.deathReports(now)}
	sender, current := c.updateMember(w.GetSelf(), now)
	if sender == nil {
		reply.Introduce = true
		m.answer <- reply
		return
	}
	if current {
		sender.recordContact(now)
		c.departures.merge(w.GetPartings(), now)
		c.applyDeathReports(w.GetMembers(), now)
		c.addRevisions(w, reply, now)
	}
	if current && w.GetVote() {
		reply.Roster = c.votesFor(sender, w.GetRoster(), now)
	}
	m.answer <- reply
}

// votesFor returns the votes on the domain of a VM that asks for them, and
// records the lease that they grant it. It leaves out the list if the VM already
// has it, as its digest shows.
func (c *Control) votesFor(m *member, digest uint64, now time.Time) *pb.Roster {
	r := c.domainVotes(m.vm.Domain, now)
	if r == nil {
		return nil
	}
	m.grant.recordLease(now)
	if r.GetDigest() == digest {
		r.Seats = nil
	}
	return r
}

// handleProbeResult applies the reply of a probed VM.
func (c *Control) handleProbeResult(ctx context.Context, e probeResult, now time.Time) {
	m, found := c.members.rows[e.vm]
	if !found {
		return
	}
	m.probe.pending = false
	m.probe.failed = e.reply == nil
	if e.reply == nil {
		return
	}
	m.probe.introduced = !e.reply.GetIntroduce()
	if _, current := c.updateMember(e.reply.GetSelf(), now); !current || e.reply.GetSelf().GetName() != e.vm {
		return
	}
	m.recordContact(now)
	m.votes.apply(e.reply.GetRoster(), e.sent)
	for name, grant := range m.votes.grants {
		if _, known := c.members.rows[name]; !known {
			c.members.add(drifttable.VM{Name: name, Domain: c.self.Domain, Incarnation: grant.GetBoot()}, now)
		}
	}
	c.departures.merge(e.reply.GetPartings(), now)
	c.applyDeathReports(e.reply.GetMembers(), now)
	c.pullIfBehind(ctx, m, e.reply, now)
}

// handleRelayResult records that a relay has reached a silent VM.
func (c *Control) handleRelayResult(e relayResult, now time.Time) {
	m, found := c.members.rows[e.vm]
	if !found || e.reply.GetSelf().GetName() != e.vm {
		return
	}
	if _, current := c.updateMember(e.reply.GetSelf(), now); current {
		m.contacted, m.lastRelayed = true, now
	}
}

// updateMember applies the description that a VM sends of itself. It returns a
// nil member for an unknown VM whose description is not full, and whether the
// description is of the newest incarnation.
func (c *Control) updateMember(w *pb.Member, now time.Time) (m *member, current bool) {
	m, found := c.members.rows[w.GetName()]
	if !found {
		if w.GetPeers() == "" || w.GetDomain() == "" {
			return nil, false
		}
		m = c.members.add(drifttable.VM{Name: w.GetName()}, now)
	}
	if w.GetBoot() < m.vm.Incarnation || w.GetName() == c.self.Name {
		return m, false
	}
	if w.GetPeers() != "" && !m.vm.Listed {
		m.vm.Domain, m.vm.Callers, m.vm.Peers = w.GetDomain(), w.GetCallers(), w.GetPeers()
	}
	if w.GetBoot() > m.vm.Incarnation {
		m.vm.Incarnation = w.GetBoot()
		m.grant.restart(now)
		m.votes = receivedVotes{}
		m.probe.introduced = false
		c.members.generation++
	}
	if drifttable.Health(w.GetHealth()) == drifttable.Leaving && m.departedIncarnation < w.GetBoot() {
		m.departedIncarnation = w.GetBoot()
		c.members.generation++
		c.events.Record(driftevent.VMLeaving, "", m.vm.Name, "announced")
	}
	if m.fenced != w.GetFenced() {
		m.fenced = w.GetFenced()
		c.members.generation++
	}
	return m, true
}

// chooseMonitored chooses the VMs that this one probes: all of a small fleet, a
// bounded number of a larger one.
func (c *Control) chooseMonitored(now time.Time) {
	if c.monitoredGeneration == c.members.generation && now.Before(c.monitorDue) {
		return
	}
	c.monitoredGeneration, c.monitorDue = c.members.generation, now.Add(time.Second)
	ownDomain := c.domainVMs(c.self.Domain)
	voters := c.voters(ownDomain)
	all := len(c.members.names) <= smallFleet
	randomTargets := c.chooseRandomTargets(now)
	for name, m := range c.members.rows {
		_, votes := voters[name]
		m.probe.interval, m.probe.voter = monitorInterval, votes
		if votes {
			m.probe.interval = voterInterval
		}
		if votes && c.fenced {
			m.probe.interval = joinInterval
		}
		nearby := len(ownDomain) <= smallDomain && m.vm.Domain == c.self.Domain
		monitored := all || votes || nearby || !m.suspectedSince.IsZero() || slices.Contains(randomTargets, name)
		if monitored && !m.monitored {
			m.lastDirect = now
		}
		m.monitored = monitored
	}
}

// voters returns the VMs that vote on this one, or on a VM out of service whose
// upstreams this one would take over.
func (c *Control) voters(ownDomain []string) map[string]int {
	voters := c.electorate(c.self.Name).weights
	for subject := range c.owners.unexcluded {
		if len(ownDomain) <= smallDomain {
			break
		}
		for _, name := range ringSuccessors(ownDomain, subject, ringVoters) {
			voters[name] = 1
		}
	}
	return voters
}

// chooseRandomTargets returns a few random VMs to probe for a second, most of
// them in this domain. Documents and reports spread through these probes.
func (c *Control) chooseRandomTargets(now time.Time) []string {
	if len(c.members.listed) == 0 || now.Before(c.randomTargetsDue) {
		return c.randomTargets
	}
	c.randomTargetsDue = now.Add(time.Second)
	ownDomain := c.domainVMs(c.self.Domain)
	targets := []string{c.members.listed[c.random.IntN(len(c.members.listed))]}
	for range maxRandomTargets - 1 {
		targets = append(targets, ownDomain[c.random.IntN(len(ownDomain))])
	}
	c.randomTargets = targets
	return targets
}

// Sizes of the set of probed VMs.
const (
	// smallFleet is the number of VMs up to which each VM probes all others.
	smallFleet = 16
	// maxRandomTargets is how many random VMs are probed besides the
	// voters and the VMs of a small own domain.
	maxRandomTargets = 3
)
