package driftcontrol

import (
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times and sizes of the news of lost VMs.
const (
	// rumorLife is how long the word of others that a VM is gone counts.
	rumorLife = 10 * time.Second
	// rumorSpread is how long a VM passes such a word on.
	rumorSpread = 3 * time.Second
	// maxRumors is how many lost VMs one message names.
	maxRumors = 8
)

// rumors returns the lost VMs of this domain that other VMs should hear of.
func (c *Control) rumors(now time.Time) []*pb.Member {
	near := c.domainVMs(c.self.Domain)
	if len(near) <= smallDomain {
		return nil
	}
	var lost []*pb.Member
	for _, name := range near {
		m := c.members.rows[name]
		seen := m.watched && m.vm.Health == drifttable.Dead
		if (seen || now.Before(m.forwardReportUntil)) && len(lost) < maxRumors {
			lost = append(lost, &pb.Member{Name: name, Boot: m.vm.Incarnation})
		}
	}
	return lost
}

// learnRumors takes the word of another VM for VMs that this one does not
// watch itself.
func (c *Control) learnRumors(lost []*pb.Member, now time.Time) {
	for _, w := range lost {
		m, found := c.members.rows[w.GetName()]
		if !found || m.watched || w.GetBoot() < m.vm.Incarnation {
			continue
		}
		if m.reportedDeadUntil.Sub(now) < rumorLife/2 {
			m.reportedDeadUntil = now.Add(rumorLife)
			m.forwardReportUntil = now.Add(rumorSpread)
		}
	}
}
