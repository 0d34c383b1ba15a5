package driftfake

import (
	"fmt"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// ServiceSpec describes one service of a user: its failure domains, shards and
// upstreams. Replicas is the number of upstreams of each shard, Depots the number
// of depots of each shard; Slots, Connections, OpeningCost and ServiceTime apply to
// each upstream.
type ServiceSpec struct {
	Service     string
	Domains     []string
	Shards      int
	Replicas    int
	Depots      int
	Slots       int
	Connections int
	OpeningCost time.Duration
	ServiceTime time.Duration
}

// Oshana returns Oshana's counter app.
func Oshana() ServiceSpec {
	return ServiceSpec{
		Service: "counter", Domains: []string{"Ondangwa", "Oshakati", "Ongwediva"},
		Shards: 10, Replicas: 3, Depots: 2, Slots: 4, Connections: 35, OpeningCost: 6 * time.Millisecond,
		ServiceTime: 3 * time.Millisecond,
	}
}

// Tacada returns Tacada's booking portal. Each shard has three upstreams in
// three of the four domains.
func Tacada() ServiceSpec {
	return ServiceSpec{
		Service: "booking", Domains: []string{"Salvador", "Recife", "Fortaleza", "Natal"},
		Shards: 10, Replicas: 3, Depots: 2, Slots: 2, Connections: 25, OpeningCost: 6 * time.Millisecond,
		ServiceTime: 3 * time.Millisecond,
	}
}

// Receipts returns Oshana's receipts: one shard with many upstreams.
func Receipts() ServiceSpec {
	return ServiceSpec{
		Service: "receipts", Domains: Oshana().Domains,
		Shards: 1, Replicas: 40, Depots: 12, Slots: 2, Connections: 110,
		OpeningCost: time.Millisecond, ServiceTime: 3 * time.Millisecond,
	}
}

// Upstreams returns fakes of the service's upstreams, shard by shard.
func (s ServiceSpec) Upstreams(seed uint64, opts ...UpstreamOption) []*Upstream {
	upstreams := make([]*Upstream, 0, s.Shards*s.Replicas)
	for i := range s.Shards {
		for j := range s.Replicas {
			all := append([]UpstreamOption{
				WithSlots(s.Slots), WithServiceTime(s.ServiceTime, 0.5),
				WithOpening(s.OpeningCost, s.Connections),
				WithSeed(seed + uint64(i*s.Replicas+j)),
			}, opts...)
			upstreams = append(upstreams, NewUpstream(s.replicaName(i, j), all...))
		}
	}
	return upstreams
}

// maxLetteredReplicas is the largest number of replicas that are named by a
// letter instead of a number.
const maxLetteredReplicas = 26

func (s ServiceSpec) replicaName(shard, replica int) string {
	if s.Replicas > maxLetteredReplicas {
		return fmt.Sprintf("%s-%d-%d", s.Service, shard+1, replica+1)
	}
	return fmt.Sprintf("%s-%d%c", s.Service, shard+1, 'a'+rune(replica))
}

// Domain returns the failure domain of the given replica of a shard.
func (s ServiceSpec) Domain(shard, replica int) string {
	return s.Domains[(shard+replica)%len(s.Domains)]
}

// UpstreamsDocument returns the document of the service's upstreams. The address
// function returns the address of an upstream by its name.
func (s ServiceSpec) UpstreamsDocument(address func(name string) string) driftdocument.Upstreams {
	d := driftdocument.Upstreams{Service: s.Service}
	for i := range s.Shards {
		for j := range s.Replicas {
			name := s.replicaName(i, j)
			d.Upstreams = append(d.Upstreams, driftdocument.Upstream{
				Name: name, Domain: s.Domain(i, j), Address: address(name), Slots: s.Slots,
				MaxConnections: s.Connections, ConnectionCost: driftdocument.Duration(s.OpeningCost),
			})
		}
	}
	return d
}

// VersionsDocument returns the document of the given index versions, which all
// have the same shards.
func (s ServiceSpec) VersionsDocument(numbers ...uint64) driftdocument.Versions {
	d := driftdocument.Versions{Service: s.Service}
	for _, n := range numbers {
		d.Versions = append(d.Versions, driftdocument.Version{Number: n, Shards: s.shards()})
	}
	return d
}

func (s ServiceSpec) shards() []driftdocument.Shard {
	shards := make([]driftdocument.Shard, 0, s.Shards)
	for i := range s.Shards {
		shard := driftdocument.Shard{Name: fmt.Sprintf("%s-%d", s.Service, i+1)}
		for j := range s.Depots {
			shard.Depots = append(shard.Depots, fmt.Sprintf("depot-%d-%d", i+1, j+1))
		}
		for j := range s.Replicas {
			shard.Upstreams = append(shard.Upstreams, s.replicaName(i, j))
		}
		shards = append(shards, shard)
	}
	return shards
}

// DomainsDocument returns the document of the service's failure domains.
func (s ServiceSpec) DomainsDocument() driftdocument.Domains {
	var d driftdocument.Domains
	for _, name := range s.Domains {
		d.Domains = append(d.Domains, driftdocument.Domain{Name: name, Region: "home"})
	}
	return d
}

// ClassesDocument returns the document of four classes of work on the service.
func (s ServiceSpec) ClassesDocument() driftdocument.Classes {
	class := func(name string, latencyObjective time.Duration, coverageFloor float64, nonIdempotent bool) driftdocument.Class {
		return driftdocument.Class{
			Name: name, Service: s.Service, LatencyObjective: driftdocument.Duration(latencyObjective), CoverageFloor: coverageFloor, NonIdempotent: nonIdempotent,
		}
	}
	return driftdocument.Classes{Classes: []driftdocument.Class{
		class("counter", 60*time.Millisecond, 0.9, false),
		class("fire", 40*time.Millisecond, 0.95, false),
		class("night", 2*time.Second, 0.99, false),
		class("reserve", 200*time.Millisecond, 1, true),
	}}
}
