package driftcontrol

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// departureForwardTime is for how long a departure is forwarded to other VMs.
const departureForwardTime = 5 * time.Second

// departure is an upstream that refused requests because it is shutting down,
// before the documents say so.
type departure struct {
	// row is the published upstream that was seen to leave, empty until the
	// departure is first applied to it.
	row   drifttable.Upstream
	since time.Time
}

// departureTable holds the upstreams that were seen to leave. A row stays until
// the published upstream changes, so a restarted upstream gets work only after
// it has been published with a change.
type departureTable struct {
	rows map[string]departure
}

func newDepartureTable() *departureTable {
	return &departureTable{rows: make(map[string]departure)}
}

// recent returns the departures that are still forwarded.
func (t *departureTable) recent(now time.Time) []*pb.Parting {
	var recent []*pb.Parting
	for name, p := range t.rows {
		if age := now.Sub(p.since); age < departureForwardTime {
			recent = append(recent, &pb.Parting{Upstream: name, Age: age.Microseconds()})
		}
	}
	return recent
}

// merge adds departures that another VM forwards.
func (t *departureTable) merge(departures []*pb.Parting, now time.Time) {
	for _, p := range departures {
		t.add(p.GetUpstream(), now.Add(-time.Duration(p.GetAge())*time.Microsecond))
	}
}

func (t *departureTable) add(upstream string, since time.Time) {
	if _, found := t.rows[upstream]; !found {
		t.rows[upstream] = departure{since: since}
	}
}

// applyDeparture marks a published upstream as leaving if it was seen to leave,
// and sets since when it has been leaving. It drops a departure when the
// published upstream has changed.
func (c *Control) applyDeparture(u drifttable.Upstream, now time.Time) drifttable.Upstream {
	published := u
	p, departed := c.departures.rows[u.Name]
	if departed && p.row.Name != "" && p.row != published {
		delete(c.departures.rows, u.Name)
		departed = false
	}
	if departed && p.row.Name == "" {
		p.row = published
		c.departures.rows[u.Name] = p
		c.events.Record(driftevent.UpstreamLeaving, "", u.Name, "refused work")
	}
	u.LeavingSince = c.markTimes.update("upstream/"+u.Name, u.Leaving, now)
	if departed {
		u.LeavingObserved = !u.Leaving
		u.Leaving = true
		if u.LeavingSince.IsZero() || p.since.Before(u.LeavingSince) {
			u.LeavingSince = p.since
		}
	}
	return u
}

// markDomain applies the marks to a domain.
func (c *Control) markDomain(d drifttable.Domain, now time.Time) drifttable.Domain {
	d.Out = slices.Contains(c.documents.marks().Domains, d.Name)
	before := c.markTimes.markedSince("domain/" + d.Name)
	d.OutSince = c.markTimes.update("domain/"+d.Name, d.Out, now)
	if d.Out != !before.IsZero() {
		c.events.Record(driftevent.MarkChanged, "", d.Name, markText(d.Out))
		if !d.Out {
			c.restoredAt[d.Name] = now
		}
	}
	d.RestoredAt = c.restoredAt[d.Name]
	return d
}

// markMembers applies the marks to the VMs.
func (c *Control) markMembers(now time.Time) {
	marks := c.documents.marks()
	for name, m := range c.members.rows {
		out := slices.Contains(marks.VMs, name)
		if out == m.vm.Out {
			continue
		}
		m.vm.Out = out
		m.vm.OutSince = c.markTimes.update("vm/"+name, out, now)
		c.members.generation++
		c.events.Record(driftevent.MarkChanged, "", name, markText(out))
	}
}

func markText(out bool) string {
	if out {
		return "out of service"
	}
	return "back in service"
}

// markTimeTable records when this VM first saw a mark.
type markTimeTable struct {
	rows map[string]time.Time
}

func newMarkTimeTable() markTimeTable {
	return markTimeTable{rows: make(map[string]time.Time)}
}

func (t markTimeTable) markedSince(subject string) time.Time {
	return t.rows[subject]
}

// update records whether the subject is marked. It returns when the mark was
// first seen, or zero without a mark.
func (t markTimeTable) update(subject string, marked bool, now time.Time) time.Time {
	if !marked {
		delete(t.rows, subject)
		return time.Time{}
	}
	if _, found := t.rows[subject]; !found {
		t.rows[subject] = now
	}
	return t.rows[subject]
}
