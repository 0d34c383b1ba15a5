package driftcontrol

import (
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Times and sizes of the reports of dead VMs.
const (
	// reportLifetime is how long a report that a VM is dead counts.
	reportLifetime = 10 * time.Second
	// reportForwardTime is how long a VM forwards such a report.
	reportForwardTime = 3 * time.Second
	// maxReports is how many dead VMs one message names.
	maxReports = 8
)

// deathReports returns the dead VMs of this domain to report to other VMs. A
// small domain needs no reports, since all its VMs probe one another.
func (c *Control) deathReports(now time.Time) []*pb.Member {
	ownDomain := c.domainVMs(c.self.Domain)
	if len(ownDomain) <= smallDomain {
		return nil
	}
	var dead []*pb.Member
	for _, name := range ownDomain {
		m := c.members.rows[name]
		seen := m.monitored && m.vm.Health == drifttable.Dead
		if (seen || now.Before(m.forwardReportUntil)) && len(dead) < maxReports {
			dead = append(dead, &pb.Member{Name: name, Boot: m.vm.Incarnation})
		}
	}
	return dead
}

// applyDeathReports applies the reports of another VM about VMs that this one
// does not probe itself.
func (c *Control) applyDeathReports(dead []*pb.Member, now time.Time) {
	for _, w := range dead {
		m, found := c.members.rows[w.GetName()]
		if !found || m.monitored || w.GetBoot() < m.vm.Incarnation {
			continue
		}
		if m.reportedDeadUntil.Sub(now) < reportLifetime/2 {
			m.reportedDeadUntil = now.Add(reportLifetime)
			m.forwardReportUntil = now.Add(reportForwardTime)
		}
	}
}
