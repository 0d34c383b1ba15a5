package drifttable

import "time"

// Domain is a failure domain. Out is set while operators have marked it out
// of service; OutSince is when this VM first saw that mark.
type Domain struct {
	Name     string
	Region   string
	Out      bool
	OutSince time.Time
	// RestoredAt is when this VM last saw the mark removed. The upstreams of
	// a restored domain may be cold.
	RestoredAt time.Time
}

// Key returns the domain's name.
func (d Domain) Key() string { return d.Name }

// Health is the state of a VM as this VM sees it.
type Health int

// The health of a VM, from best to worst.
const (
	// Alive means that the VM answers probes, or is listed and has not been
	// probed yet.
	Alive Health = iota
	// Suspect means that recent probes failed. The VM keeps its upstreams.
	Suspect
	// Leaving means that the VM has announced that it shuts down.
	Leaving
	// Dead means that the VM is considered failed. It owns no upstreams.
	Dead
)

// String returns the name used in logs and in status output.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// VM is an entry VM of the system. Callers is the address that callers
// connect to, Peers the one that other VMs connect to; both are "IP:port".
// Incarnation increases with every restart and every long pause. Listed is set
// while the platform's VM list names the VM, Out while operators have marked it
// out of service.
type VM struct {
	Name        string
	Domain      string
	Callers     string
	Peers       string
	Incarnation uint64
	Health      Health
	Listed      bool
	Out         bool
	// OutSince is when this VM first saw that mark.
	OutSince time.Time
}

// Key returns the VM's name.
func (v VM) Key() string { return v.Name }

// Upstream is a back end that answers for one or more shards of a service.
// Slots is the number of requests it runs at a time, MaxConnections the number
// of connections it accepts from the whole fleet, ConnectionCost the time that
// a new connection takes. Leaving is set while the upstream shuts down.
type Upstream struct {
	Name           string
	Service        string
	Domain         string
	Address        string
	Slots          int
	MaxConnections int
	ConnectionCost time.Duration
	Leaving        bool
	// LeavingObserved is set while the upstream is known to leave only because
	// it refused requests, not from the published documents. VMs may briefly
	// disagree on it.
	LeavingObserved bool
	// LeavingSince is when this VM first saw that the upstream is leaving.
	LeavingSince time.Time
}

// Key returns the upstream's name.
func (u Upstream) Key() string { return u.Name }

// Shard is one part of an index version: the depots (or courses) that it
// covers and the upstreams that serve it.
type Shard struct {
	Name      string
	Depots    []string
	Upstreams []string
}

// Key returns the shard's name.
func (s Shard) Key() string { return s.Name }

// Version is one index version of a service, the layout of its shards.
type Version struct {
	Number uint64
	Shards Table[Shard]
}

// Service is a set of shards that one class of work queries. Versions are
// ordered from newest to oldest.
type Service struct {
	Name     string
	Versions []Version
}

// Key returns the service's name.
func (s Service) Key() string { return s.Name }

// Version returns the layout with the given number, and whether it is
// published.
func (s Service) Version(number uint64) (version Version, found bool) {
	for _, v := range s.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// Class is a class of work. CoverageFloor, between 0 and 1, is the coverage from
// which a query is answered at LatencyObjective; below it, the query continues
// until its deadline. NonIdempotent marks requests that may run at most once.
type Class struct {
	Name             string
	Service          string
	LatencyObjective time.Duration
	CoverageFloor    float64
	NonIdempotent    bool
}

// Key returns the class's name.
func (c Class) Key() string { return c.Name }

// Revision is the number of the published document that is in force for one
// key of the configuration service.
type Revision struct {
	Name   string
	Number uint64
}

// Key returns the configuration key.
func (r Revision) Key() string { return r.Name }
