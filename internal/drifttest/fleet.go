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
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftcontrol"
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

// settleTime is how long a new fleet runs before it is used.
const settleTime = 5 * time.Second

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
	gates   map[string]*gate
	boot    uint64
	slow    slowness
}

// gate stops the control plane of a VM as a pause of its process does.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// pass waits while the gate is closed.
func (g *gate) pass(ctx context.Context) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// NewFleet starts a fleet and lets it settle. The fleet stops with the test.
func NewFleet(t *testing.T, size driftfake.Size) *Fleet {
	t.Helper()
	f := &Fleet{
		Size: size, Platform: driftfake.NewPlatform(), Upstreams: size.Upstreams(1),
		Nodes: make(map[string]*driftnode.Node), t: t,
		domains: make(map[string]string), cancels: make(map[string]context.CancelFunc),
		gates: make(map[string]*gate),
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
	extra := f.slow.draw()
	if f.domains[from] == f.domains[to] {
		return nearDelay + extra
	}
	return farDelay + extra
}

// Slow delays every message between VMs by up to the given time more, drawn
// from the seed.
func (f *Fleet) Slow(most time.Duration, seed uint64) { f.slow.set(most, seed) }

// slowness draws the further delay of a message.
type slowness struct {
	mu     sync.Mutex
	most   time.Duration
	random *rand.Rand
}

func (s *slowness) set(most time.Duration, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.random = most, rand.New(rand.NewPCG(seed, seed))
}

func (s *slowness) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.most)))
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
	f.gates[vm] = &gate{}
	node := driftnode.New(driftnode.Parts{
		Self:   drifttable.VM{Name: vm, Domain: f.domains[vm], Boot: f.boot, Callers: vm, Peers: vm},
		Config: f.Platform, Lister: f.Platform, Transport: f.Network.Transport(vm),
		Dialer: f.Dialer, Events: events, Checker: checker, Life: 10 * time.Second,
		Options: []driftcontrol.Option{driftcontrol.WithGate(f.gates[vm].pass)},
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

// Pause stops the control plane of a VM, as a pause of its process does; its
// traffic goes on with the view that it has.
func (f *Fleet) Pause(vm string) { f.gates[vm].close() }

// Resume ends a pause.
func (f *Fleet) Resume(vm string) { f.gates[vm].open() }

// Split cuts all links between two groups of VMs, or heals them.
func (f *Fleet) Split(side, other []string, cut bool) {
	for _, a := range side {
		for _, b := range other {
			f.Network.Cut(a, b, cut)
			f.Network.Cut(b, a, cut)
		}
	}
}

// Domain returns the failure domain of a VM.
func (f *Fleet) Domain(vm string) string { return f.domains[vm] }

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
