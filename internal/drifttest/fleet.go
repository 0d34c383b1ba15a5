// Package drifttest runs eight nodes of the system in one bubble of virtual
// time over the stand-ins of driftfake, causes faults in them, and asks them
// as callers do. Scripts in testdata, randomised runs and the measurement of
// the policy all use it.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		fleet := drifttest.NewFleet(t, driftfake.Oshana())
//		fleet.DomainOut("Oshakati")
//		tally := fleet.Load(drifttest.Load{Class: "counter", Rate: 100, Time: time.Second})
//		fmt.Println(tally.Least, fleet.Faults())
//	})
package drifttest

import (
	"context"
	"fmt"
	"slices"
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
	"github.com/almonddrift/almonddrift/internal/driftupstream"
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

// callerLife is how long callers keep the list of entry VMs.
const callerLife = 10 * time.Second

// Fleet is eight nodes over stand-ins. Make it inside a synctest bubble.
type Fleet struct {
	Size      driftfake.Size
	Platform  *driftfake.Platform
	Upstreams []*driftfake.Upstream
	Ledger    *driftfake.Ledger
	Dialer    *driftfake.Dialer
	Network   *driftfake.Network
	Nodes     map[string]*driftnode.Node

	t           testing.TB
	policy      Policy
	askers      map[string]Asker
	seed        uint64
	collect     bool
	domains     map[string]string
	homes       map[string]string
	cancels     map[string]context.CancelFunc
	live        map[string]context.Context
	boot        uint64
	marks       driftdocument.Marks
	left        map[string]bool
	gone        map[string]bool
	down, stale bool
	number      int
	slow        slowness

	mu     sync.Mutex
	faults []string
}

// Option changes a Fleet that NewFleet makes.
type Option func(*Fleet)

// WithSeed sets the seed of the stand-ins.
func WithSeed(seed uint64) Option { return func(f *Fleet) { f.seed = seed } }

// WithCollect keeps violations for Faults instead of failing the test at
// once.
func WithCollect() Option { return func(f *Fleet) { f.collect = true } }

// Asker answers the queries of callers at one VM.
type Asker interface {
	Query(ctx context.Context, q driftapi.Query) driftfront.Outcome
}

// Policy makes what answers at a VM in place of a node. It runs until ctx
// ends.
type Policy func(ctx context.Context, f *Fleet, vm string) Asker

// WithPolicy puts another policy in place of the nodes.
func WithPolicy(policy Policy) Option { return func(f *Fleet) { f.policy = policy } }

// NewFleet starts a fleet and lets it settle. The fleet stops with the test.
func NewFleet(tb testing.TB, size driftfake.Size, opts ...Option) *Fleet {
	tb.Helper()
	f := &Fleet{
		Size: size, Platform: driftfake.NewPlatform(), Ledger: driftfake.NewLedger(),
		Nodes: make(map[string]*driftnode.Node), t: tb, seed: 1,
		domains: make(map[string]string), cancels: make(map[string]context.CancelFunc),
		askers: make(map[string]Asker), live: make(map[string]context.Context), left: make(map[string]bool), gone: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.Upstreams = size.Upstreams(f.seed, driftfake.WithLedger(f.Ledger))
	f.homes = make(map[string]string, len(f.Upstreams))
	for i, u := range f.Upstreams {
		f.homes[u.Name] = size.Domain(i/size.Replicas, i%size.Replicas)
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
	tb.Cleanup(f.stop)
	time.Sleep(settleTime)
	return f
}

func name(i int) string {
	return fmt.Sprintf("vm-%d", i+1)
}

// VMs returns the names of all VMs.
func VMs() []string {
	names := make([]string, 0, vmCount)
	for i := range vmCount {
		names = append(names, name(i))
	}
	return names
}

func (f *Fleet) delay(from, to string) time.Duration {
	extra := f.slow.draw()
	if f.domains[from] == f.domains[to] {
		return nearDelay + extra
	}
	return farDelay + extra
}

// DialerOf returns the dialer of a VM, with the delays between its failure
// domain and those of the upstreams.
func (f *Fleet) DialerOf(vm string) driftupstream.Dialer {
	return driftfake.GatedDialer{
		Dialer: f.Dialer, Gate: f.Network.Gate(vm),
		Delay: func(upstream string) time.Duration {
			if f.domains[vm] == f.homes[upstream] {
				return nearDelay
			}
			return farDelay
		},
	}
}

func (f *Fleet) publish() {
	f.Platform.Put(driftdocument.KeyDomains, f.Size.DomainsDocument())
	f.Platform.Put(driftdocument.KeyClasses, f.Size.ClassesDocument())
	f.Platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	f.publishUpstreams()
	f.Platform.Put(driftdocument.KeyVersionsPrefix+f.Size.Service, f.Size.VersionsDocument(1))
}

func (f *Fleet) publishUpstreams() {
	d := f.Size.UpstreamsDocument(func(string) string { return "127.0.0.1:1" })
	for i := range d.Upstreams {
		d.Upstreams[i].Leaving = f.left[d.Upstreams[i].Name]
	}
	f.Platform.Put(driftdocument.KeyUpstreamsPrefix+f.Size.Service, d)
}

// List publishes the VM list with all VMs but the named ones.
func (f *Fleet) List(without ...string) {
	var listed []driftplatform.ListedVM
	for _, n := range VMs() {
		if !slices.Contains(without, n) {
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
		f.fault("%s: promise %s violated by request %q: %s", vm, v.Promise, v.Request, v.Detail)
	}))
	gate := f.Network.Gate(vm)
	platform := driftfake.GatedPlatform{Platform: f.Platform, Gate: gate}
	node := driftnode.New(driftnode.Parts{
		Self:   drifttable.VM{Name: vm, Domain: f.domains[vm], Incarnation: f.boot, Callers: vm, Peers: vm},
		Config: platform, Lister: platform, Transport: f.Network.Transport(vm),
		Dialer: f.DialerOf(vm),
		Events: events, Checker: checker, Life: callerLife,
		ControlOptions: []driftcontrol.Option{driftcontrol.WithGate(func(context.Context) { gate.Pass() })},
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.cancels[vm], f.live[vm], f.Nodes[vm], f.askers[vm] = cancel, ctx, node, node.Front
	f.mu.Unlock()
	if f.policy != nil {
		asker := f.policy(ctx, f, vm)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.askers[vm] = asker
		return node
	}
	f.Network.Join(vm, node.Server)
	go func() { _ = node.Run(ctx) }()
	return node
}

// Kill stops a VM at once, as a crash does.
func (f *Fleet) Kill(vm string) {
	f.Network.Gate(vm).Resume()
	f.Network.Remove(vm)
	f.Freeze(vm)
}

// Query sends a query to a VM and waits for the outcome.
func (f *Fleet) Query(vm string, q driftapi.Query) driftfront.Outcome {
	return f.Node(vm).Front.Query(f.t.Context(), q)
}

// Node returns the newest incarnation of a VM.
func (f *Fleet) Node(vm string) *driftnode.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Nodes[vm]
}

// asker returns what answers the queries at a VM.
func (f *Fleet) asker(vm string) Asker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.askers[vm]
}

// life returns the context that ends with the VM.
func (f *Fleet) life(vm string) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live[vm]
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

// Domain returns the failure domain of a VM.
func (f *Fleet) Domain(vm string) string { return f.domains[vm] }

// Alive reports whether the VM runs.
func (f *Fleet) Alive(vm string) bool {
	return f.life(vm).Err() == nil
}

// fault notes a broken promise. It fails the test unless faults are
// collected.
func (f *Fleet) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.mu.Lock()
	f.faults = append(f.faults, text)
	f.mu.Unlock()
	if !f.collect {
		f.t.Error(text)
	}
}

// Faults returns the broken promises that the checks inside the nodes, the
// callers and the stand-ins have seen.
func (f *Fleet) Faults() []string {
	f.mu.Lock()
	faults := slices.Clone(f.faults)
	f.mu.Unlock()
	return append(faults, f.counted()...)
}

// counted returns what the stand-ins have counted against the promises.
func (f *Fleet) counted() []string {
	var faults []string
	count := func(name, what string, number int) {
		if number > 0 {
			faults = append(faults, fmt.Sprintf("%s: %s: %d", name, what, number))
		}
	}
	count("upstreams", "repeated runs", f.Ledger.Repeats())
	for _, u := range f.Upstreams {
		c := u.Counts()
		count(u.Name, "over what it bears while cold", c.ColdOver)
		count(u.Name, "new work after leaving", c.AfterLeaving)
		count(u.Name, "new work after its domain was out", c.AfterOut)
	}
	return faults
}
