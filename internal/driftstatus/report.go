// Package driftstatus is the report of one VM on what it sees: the fleet,
// the configuration in force, the upstreams that it owns and the promises
// that it saw broken. VMs pass it to operators as JSON.
//
// # Usage
//
//	report := driftstatus.NewReport(driftstatus.Sources{
//		View: views.Load(), Boot: boot, Violations: checker.Violations(),
//	}, time.Now())
//	body, err := json.Marshal(report)
//	for _, d := range driftstatus.Compare(reports) {
//		fmt.Println(d.VM, d.Field, d.Value, d.Common)
//	}
package driftstatus

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Report is what one VM sees. Ages are in milliseconds.
type Report struct {
	Name       string             `json:"name"`
	Domain     string             `json:"domain"`
	Boot       uint64             `json:"boot"`
	View       View               `json:"view"`
	Fenced     bool               `json:"fenced"`
	Leaving    bool               `json:"leaving"`
	Out        bool               `json:"out"`
	Revisions  []Revision         `json:"revisions"`
	Domains    []Domain           `json:"domains"`
	VMs        []VM               `json:"vms"`
	Upstreams  []Upstream         `json:"upstreams"`
	Violations []driftcheck.Count `json:"violations"`
}

// View tells how current the VM's view is. Config is the time since the VM
// last heard of the configuration service, itself or through another VM; it
// is negative when the VM does not know.
type View struct {
	Number uint64  `json:"number"`
	Age    float64 `json:"age"`
	Config float64 `json:"config"`
}

// Revision is the number in force for one key of the configuration.
type Revision struct {
	Key    string `json:"key"`
	Number uint64 `json:"number"`
}

// Domain is a failure domain and whether it is marked out.
type Domain struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// VM is what the reporting VM believes about a VM.
type VM struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Boot    uint64 `json:"boot"`
	Health  string `json:"health"`
	Listed  bool   `json:"listed"`
	Out     bool   `json:"out"`
}

// Upstream is an upstream that the reporting VM owns. Service is the
// smoothed time of a request in milliseconds. Flight, Queue, Limit, Cold and
// Service are those of the moment; they are zero before the first request.
type Upstream struct {
	Name    string  `json:"name"`
	Domain  string  `json:"domain"`
	Out     bool    `json:"out"`
	Cold    bool    `json:"cold"`
	Flight  int     `json:"flight"`
	Queue   int     `json:"queue"`
	Limit   int     `json:"limit"`
	Conns   int     `json:"conns"`
	Service float64 `json:"service"`
}

// Sources is what a report is made of.
type Sources struct {
	View       *drifttable.View
	Boot       uint64
	Lanes      []driftshard.UpstreamStatus
	Violations []driftcheck.Count
}

// NewReport returns the report of the VM whose view is in the sources.
func NewReport(s Sources, now time.Time) Report {
	v := s.View
	self, _ := v.VMs.Get(v.Self)
	return Report{
		Name: v.Self, Domain: self.Domain, Boot: s.Boot,
		View:   View{Number: v.Number, Age: millis(v.Age(now)), Config: configAge(v, now)},
		Fenced: v.Fenced, Leaving: self.Health == drifttable.Leaving, Out: v.VMOut(v.Self),
		Revisions: revisions(v), Domains: domains(v), VMs: vms(v), Upstreams: upstreams(v, s.Lanes),
		Violations: s.Violations,
	}
}

// configAge returns -1 while the VM has not heard of the configuration
// service.
func configAge(v *drifttable.View, now time.Time) float64 {
	if v.LastConfigContact.IsZero() {
		return -1
	}
	return millis(v.ConfigAge(now))
}

func millis(d time.Duration) float64 {
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
			Name: vm.Name, Domain: vm.Domain, Callers: vm.Callers, Peers: vm.Peers, Boot: vm.Incarnation,
			Health: vm.Health.String(), Listed: vm.Listed, Out: vm.Out,
		})
	}
	return rows
}

// upstreams returns the upstreams that this VM owns, with the state of the
// lane where there is one.
func upstreams(v *drifttable.View, lanes []driftshard.UpstreamStatus) []Upstream {
	states := make(map[string]driftshard.UpstreamStatus, len(lanes))
	for _, l := range lanes {
		states[l.Upstream] = l
	}
	rows := []Upstream{}
	for u := range v.Upstreams.All() {
		if !v.Owns(u.Name) {
			continue
		}
		l := states[u.Name]
		rows = append(rows, Upstream{
			Name: u.Name, Domain: u.Domain, Out: v.UpstreamOut(u.Name), Cold: l.Cold,
			Flight: l.InFlight, Queue: l.Queue, Limit: l.Limit, Conns: l.Conns, Service: millis(l.ServiceTime),
		})
	}
	return rows
}

// Revision returns the number in force for a key, 0 when there is none.
func (r Report) Revision(key string) uint64 {
	for _, revision := range r.Revisions {
		if revision.Key == key {
			return revision.Number
		}
	}
	return 0
}
