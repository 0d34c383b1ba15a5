// Package driftroute holds the routes that operators publish and finds the
// route of a request.
//
// A Config is one published version: routes, services and limits on callers.
// It is immutable; NewTable indexes it once, and every request then reads one
// Table from its start to its end, so that all parts of an answer come from
// the shards of one version.
//
// # Usage
//
//	table := driftroute.NewTable(config)
//	route, ok := table.Find("search.example", "/bookings/open")
//	switch target := route.Target.(type) {
//	case driftroute.Gather:
//		fmt.Println(len(target.Shards))
//	}
package driftroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftaccount"
)

// Target says where the requests of a route go: Single, Split, Gather or
// Forward.
type Target interface{ target() }

// Single sends each request to one upstream of a service.
type Single struct{ Service string }

// Split distributes requests over services by weight.
type Split struct{ Services []WeightedService }

// WeightedService is one service of a Split and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Gather sends each request to one upstream of every shard and merges the
// results.
type Gather struct {
	// Shards are the services that hold the shards of the index.
	Shards []string
	// TopK is the number of records in an answer.
	TopK int
	// CoverageFloor is the smallest share of the shards with which an answer
	// counts as a success.
	CoverageFloor float64
}

// Forward passes each request on to another VM, which serves it. It is never
// published.
type Forward struct{}

func (Single) target()  {}
func (Split) target()   {}
func (Gather) target()  {}
func (Forward) target() {}

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Target Target
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer should reach the
	// caller.
	LatencyObjective time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to, for
	// a Gather in each shard.
	MaxAttempts int
	// Priority ranks classes; 0 is the most urgent.
	Priority int
	// Public is set if requests need no key of a client account.
	Public bool
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// MaxConns is the number of connections that one upstream accepts from all
	// VMs together.
	MaxConns int
	// ColdRate is the number of requests per second that a cold upstream can take
	// from all VMs together, 0 if no limit is published.
	ColdRate float64
	// ColdPeriod is how long an upstream is cold after it has started.
	ColdPeriod time.Duration
	// HealthPath is the target of health requests, empty if there is none.
	HealthPath string
}

// Limits are the limits on the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one published version of the routes.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts, nil if the version holds none and requests
	// need no key.
	Accounts *driftaccount.Directory
}

// Table looks up the routes and services of one Config.
type Table struct {
	Config   Config
	hosts    map[string][]*Route
	services map[string]Service
}

// NewTable builds the lookup table of the config.
func NewTable(config Config) *Table {
	t := &Table{
		Config:   config,
		hosts:    make(map[string][]*Route),
		services: make(map[string]Service, len(config.Services)),
	}
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path. A
// port after the host is ignored.
func (t *Table) Find(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
