// Package drifttest runs a few nodes of the system in one bubble of virtual
// time over the stand-ins of driftfake, for tests of failures.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		fleet := drifttest.NewFleet(t, driftfake.Oshana())
//		outcome := fleet.Query("vm-1", driftapi.Query{Request: "q-1", Class: "counter", Deadline: 200})
//	})
package drifttest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// vmCount is the number of entry VMs of a fleet.
const vmCount = 8

// Delays of the network, one way.
const (
	nearDelay = 200 * time.Microsecond
	farDelay  = 1500 * time.Microsecond
)

// settleTime is how long a new fleet runs before it is used: long enough for
// fronts to run requests that are not idempotent.
const settleTime = 15 * time.Second

// Fleet is eight nodes over stand-ins. Make it inside a synctest bubble.
type Fleet struct {
	Size      driftfake.Size
	Platform  *driftfake.Platform
	Upstreams []*driftfake.Upstream
	Dialer    *driftfake.Dialer
	Network   *driftfake.Network
	Nodes     map[string]*driftnode.Node

	t       *testing.T
	domains map[string]string
	cancels map[string]context.CancelFunc
	boot    uint64
}

// NewFleet starts a fleet and lets it settle. The fleet stops with the test.
func NewFleet(t *testing.T, size driftfake.Size) *Fleet {
	t.Helper()
	f := &Fleet{
		Size: size, Platform: driftfake.NewPlatform(), Upstreams: size.Upstreams(1),
		Nodes: make(map[string]*driftnode.Node), t: t,
		domains: make(map[string]string), cancels: make(map[string]context.CancelFunc),
	}
	f.Dialer = driftfake.NewDialer(f.Upstreams...)
	f.Network = driftfake.NewNetwork(f.delay)
	f.publish()
	for i := range vmCount {
		f.domains[name(i)] = size.Domains[i%len(size.Domains)]
	}
	f.List()
	for i := range vmCount {
		f.Start(name(i))
	}
	time.Sleep(settleTime)
	return f
}

func name(i int) string {
	return fmt.Sprintf("vm-%d", i+1)
}

func (f *Fleet) delay(from, to string) time.Duration {
	if f.domains[from] == f.domains[to] {
		return nearDelay
	}
	return farDelay
}

func (f *Fleet) publish() {
	f.Platform.Put(driftdocument.KeyDomains, f.Size.DomainsDocument())
	f.Platform.Put(driftdocument.KeyClasses, f.Size.ClassesDocument())
	f.Platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	f.Platform.Put(driftdocument.KeyUpstreamsPrefix+f.Size.Service,
		f.Size.UpstreamsDocument(func(string) string { return "127.0.0.1:1" }))
	f.Platform.Put(driftdocument.KeyVersionsPrefix+f.Size.Service, f.Size.VersionsDocument(1))
}

// List publishes the VM list with all VMs but the named ones.
func (f *Fleet) List(without ...string) {
	gone := make(map[string]bool)
	for _, w := range without {
		gone[w] = true
	}
	var listed []driftplatform.ListedVM
	for i := range vmCount {
		n := name(i)
		if !gone[n] {
			listed = append(listed, driftplatform.ListedVM{Name: n, Domain: f.domains[n], Callers: n, Peers: n})
		}
	}
	f.Platform.SetVMs(listed...)
}

// Start starts a VM, as a new incarnation if it ran before.
func (f *Fleet) Start(vm string) *driftnode.Node {
	f.t.Helper()
	f.boot++
	events := driftevent.NewLog(vm, f.boot)
	checker := driftcheck.NewChecker(events, driftcheck.WithViolation(func(v driftcheck.Violation) {
		f.t.Errorf("%s: promise %s violated by request %q: %s", vm, v.Promise, v.Request, v.Detail)
	}))
	node := driftnode.New(driftnode.Parts{
		Self:   drifttable.VM{Name: vm, Domain: f.domains[vm], Boot: f.boot, Callers: vm, Peers: vm},
		Config: f.Platform, Lister: f.Platform, Transport: f.Network.Transport(vm),
		Dialer: f.Dialer, Events: events, Checker: checker, Life: 10 * time.Second,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels[vm] = cancel
	f.Nodes[vm] = node
	f.Network.Join(vm, node.Server)
	go func() { _ = node.Run(ctx) }()
	return node
}

// Kill stops a VM at once, as a crash does.
func (f *Fleet) Kill(vm string) {
	f.Network.Remove(vm)
	f.cancels[vm]()
}

// Query sends a query to a VM and waits for the outcome.
func (f *Fleet) Query(vm string, q driftapi.Query) driftfront.Outcome {
	return f.Nodes[vm].Front.Query(f.t.Context(), q)
}

// Upstream returns the stand-in with the given name.
func (f *Fleet) Upstream(name string) *driftfake.Upstream {
	f.t.Helper()
	for _, u := range f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	f.t.Fatalf("no upstream %q", name)
	return nil
}
