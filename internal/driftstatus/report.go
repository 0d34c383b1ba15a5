// Package driftstatus defines the status report of one VM: its view of the
// fleet, the configuration in force, the upstreams that it owns and the
// invariants that it found violated. VMs serve it to operators as JSON. The
// package also gathers the reports of a fleet and compares them.
//
// # Usage
//
//	report := driftstatus.NewReport(driftstatus.Sources{
//		View: views.Load(), Incarnation: incarnation, Violations: checker.Violations(),
//	}, time.Now())
//	body, err := json.Marshal(report)
//	for _, d := range driftstatus.Compare(reports) {
//		fmt.Println(d.VM, d.Field, d.Value, d.Fleet)
//	}
package driftstatus

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Report is the status of one VM. Ages are in milliseconds.
type Report struct {
	Name        string             `json:"name"`
	Domain      string             `json:"domain"`
	Incarnation uint64             `json:"boot"`
	View        View               `json:"view"`
	Fenced      bool               `json:"fenced"`
	Leaving     bool               `json:"leaving"`
	Out         bool               `json:"out"`
	Revisions   []Revision         `json:"revisions"`
	Domains     []Domain           `json:"domains"`
	VMs         []VM               `json:"vms"`
	Upstreams   []Upstream         `json:"upstreams"`
	Violations  []driftcheck.Count `json:"violations"`
}

// View describes how current the VM's view is. ConfigAge is the time since the
// configuration service was last known to answer, to this VM or to another; it
// is negative when that is unknown.
type View struct {
	Number    uint64  `json:"number"`
	Age       float64 `json:"age"`
	ConfigAge float64 `json:"config"`
}

// Revision is the revision in force of one configuration key.
type Revision struct {
	Key    string `json:"key"`
	Number uint64 `json:"number"`
}

// Domain is a failure domain and whether it is marked out.
type Domain struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// VM is a VM as the reporting VM sees it.
type VM struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Callers     string `json:"callers"`
	Peers       string `json:"peers"`
	Incarnation uint64 `json:"boot"`
	Health      string `json:"health"`
	Listed      bool   `json:"listed"`
	Out         bool   `json:"out"`
}

// Upstream is an upstream that the reporting VM owns. ServiceTime is the moving
// average of request times in milliseconds. InFlight, Queued, Limit, Connections,
// Cold and ServiceTime are current values; they are zero before the first
// request.
type Upstream struct {
	Name        string  `json:"name"`
	Domain      string  `json:"domain"`
	Out         bool    `json:"out"`
	Cold        bool    `json:"cold"`
	InFlight    int     `json:"flight"`
	Queued      int     `json:"queue"`
	Limit       int     `json:"limit"`
	Connections int     `json:"conns"`
	ServiceTime float64 `json:"service"`
}

// Sources holds the inputs of a report.
type Sources struct {
	View             *drifttable.View
	Incarnation      uint64
	UpstreamStatuses []driftshard.UpstreamStatus
	Violations       []driftcheck.Count
}

// NewReport returns the report of the VM whose view is in the sources.
func NewReport(s Sources, now time.Time) Report {
	v := s.View
	self, _ := v.VMs.Get(v.Self)
	return Report{
		Name: v.Self, Domain: self.Domain, Incarnation: s.Incarnation,
		View:   View{Number: v.Number, Age: milliseconds(v.Age(now)), ConfigAge: configAge(v, now)},
		Fenced: v.Fenced, Leaving: self.Health == drifttable.Leaving, Out: v.VMOut(v.Self),
		Revisions: revisions(v), Domains: domains(v), VMs: vms(v), Upstreams: upstreams(v, s.UpstreamStatuses),
		Violations: s.Violations,
	}
}

// configAge returns -1 until the configuration service is known to have
// answered.
func configAge(v *drifttable.View, now time.Time) float64 {
	if v.LastConfigContact.IsZero() {
		return -1
	}
	return milliseconds(v.ConfigAge(now))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func revisions(v *drifttable.View) []Revision {
	rows := make([]Revision, 0, v.Revisions.Len())
	for r := range v.Revisions.All() {
		rows = append(rows, Revision{Key: r.Name, Number: r.Number})
	}
	return rows
}

func domains(v *drifttable.View) []Domain {
	rows := make([]Domain, 0, v.Domains.Len())
	for d := range v.Domains.All() {
		rows = append(rows, Domain{Name: d.Name, Out: d.Out})
	}
	return rows
}

func vms(v *drifttable.View) []VM {
	rows := make([]VM, 0, v.VMs.Len())
	for vm := range v.VMs.All() {
		rows = append(rows, VM{
			Name: vm.Name, Domain: vm.Domain, Callers: vm.Callers, Peers: vm.Peers, Incarnation: vm.Incarnation,
			Health: vm.Health.String(), Listed: vm.Listed, Out: vm.Out,
		})
	}
	return rows
}

// upstreams returns the upstreams that this VM owns, with the status of the
// dispatcher where there is one.
func upstreams(v *drifttable.View, statuses []driftshard.UpstreamStatus) []Upstream {
	statusByUpstream := make(map[string]driftshard.UpstreamStatus, len(statuses))
	for _, l := range statuses {
		statusByUpstream[l.Upstream] = l
	}
	rows := []Upstream{}
	for u := range v.Upstreams.All() {
		if !v.Owns(u.Name) {
			continue
		}
		l := statusByUpstream[u.Name]
		rows = append(rows, Upstream{
			Name: u.Name, Domain: u.Domain, Out: v.UpstreamOut(u.Name), Cold: l.Cold,
			InFlight: l.InFlight, Queued: l.Queue, Limit: l.Limit, Connections: l.Conns, ServiceTime: milliseconds(l.ServiceTime),
		})
	}
	return rows
}

// Revision returns the revision in force of a key, or 0 when there is none.
func (r Report) Revision(key string) uint64 {
	for _, revision := range r.Revisions {
		if revision.Key == key {
			return revision.Number
		}
	}
	return 0
}
