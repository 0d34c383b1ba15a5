package driftdocument

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Rows returns the failure domains as table rows.
func (d Domains) Rows() []drifttable.Domain {
	rows := make([]drifttable.Domain, 0, len(d.Domains))
	for _, domain := range d.Domains {
		rows = append(rows, drifttable.Domain{Name: domain.Name, Region: domain.Region})
	}
	return rows
}

// Rows returns the classes as table rows.
func (d Classes) Rows() []drifttable.Class {
	rows := make([]drifttable.Class, 0, len(d.Classes))
	for _, c := range d.Classes {
		rows = append(rows, drifttable.Class{
			Name: c.Name, Service: c.Service, LatencyObjective: time.Duration(c.LatencyObjective),
			CoverageFloor: c.CoverageFloor, NonIdempotent: c.NonIdempotent,
		})
	}
	return rows
}

// Services returns the sorted names of the services that the classes query,
// without duplicates.
func (d Classes) Services() []string {
	var names []string
	for _, c := range d.Classes {
		names = append(names, c.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Rows returns the upstreams as table rows.
func (d Upstreams) Rows() []drifttable.Upstream {
	rows := make([]drifttable.Upstream, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		rows = append(rows, drifttable.Upstream{
			Name: u.Name, Service: d.Service, Domain: u.Domain, Address: u.Address,
			Slots: u.Slots, MaxConnections: u.MaxConnections,
			ConnectionCost: time.Duration(u.ConnectionCost), Leaving: u.Leaving,
		})
	}
	return rows
}

// Row returns the service as a table row, with its versions newest first.
func (d Versions) Row() drifttable.Service {
	versions := make([]drifttable.Version, 0, len(d.Versions))
	for _, v := range d.Versions {
		versions = append(versions, drifttable.Version{Number: v.Number, Shards: v.shards()})
	}
	slices.SortFunc(versions, compareNewestFirst)
	return drifttable.Service{Name: d.Service, Versions: versions}
}

func compareNewestFirst(a, b drifttable.Version) int {
	if a.Number > b.Number {
		return -1
	}
	return 1
}

func (v Version) shards() drifttable.Table[drifttable.Shard] {
	rows := make([]drifttable.Shard, 0, len(v.Shards))
	for _, s := range v.Shards {
		rows = append(rows, drifttable.Shard{
			Name: s.Name, Depots: s.Depots, Upstreams: s.Upstreams,
		})
	}
	return drifttable.NewTable(rows...)
}
