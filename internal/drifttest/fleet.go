// Package drifttest runs eight nodes of the system in one synctest bubble,
// over the simulated platform, network and upstreams of driftfake. It injects
// faults and sends queries as callers do. The scripts in testdata, the
// randomised tests and the benchmarks of the routing policy use it.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		fleet := drifttest.NewFleet(t, driftfake.Oshana())
//		fleet.MarkDomainOut("Oshakati")
//		result := fleet.RunLoad(drifttest.Load{Class: "counter", Rate: 100, Duration: time.Second})
//		fmt.Println(result.MinCoverage(), fleet.Violations())
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

// One-way network delays.
const (
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 1500 * time.Microsecond
)

// startupTime is how long NewFleet waits: long enough for fronts to accept
// requests that are not idempotent.
const startupTime = 15 * time.Second

// entryListTTL is how long callers cache the list of entry VMs.
const entryListTTL = 10 * time.Second

// Fleet holds eight nodes and the simulated platform, network and upstreams
// that they use. It must be created inside a synctest bubble.
type Fleet struct {
	Spec       driftfake.ServiceSpec
	Platform   *driftfake.Platform
	Upstreams  []*driftfake.Upstream
	RunCounter *driftfake.RunCounter
	Dialer     *driftfake.Dialer
	Network    *driftfake.Network
	Nodes      map[string]*driftnode.Node

	t                         testing.TB
	policy                    Policy
	handlers                  map[string]QueryHandler
	seed                      uint64
	collectViolations         bool
	vmDomains                 map[string]string
	upstreamDomains           map[string]string
	cancelVM                  map[string]context.CancelFunc
	vmContexts                map[string]context.Context
	lastIncarnation           uint64
	marks                     driftdocument.Marks
	leavingUpstreams          map[string]bool
	unlistedVMs               map[string]bool
	platformDown, configStale bool
	loadCount                 int
	extraDelay                extraDelay

	mu         sync.Mutex
	violations []string
}

// Option configures the Fleet that NewFleet creates.
type Option func(*Fleet)

// WithSeed sets the random seed of the simulated upstreams and of the loads.
func WithSeed(seed uint64) Option { return func(f *Fleet) { f.seed = seed } }

// WithCollectedViolations makes violations available through Violations only,
// instead of failing the test at once.
func WithCollectedViolations() Option { return func(f *Fleet) { f.collectViolations = true } }

// QueryHandler handles the queries that callers send to one VM.
type QueryHandler interface {
	Query(ctx context.Context, q driftapi.Query) driftfront.Outcome
}

// Policy creates the handler that serves a VM's queries in place of its node,
// to compare another routing policy with the node's. The handler runs until
// ctx is canceled.
type Policy func(ctx context.Context, f *Fleet, vm string) QueryHandler

// WithPolicy replaces the nodes' query handling by another policy.
func WithPolicy(policy Policy) Option { return func(f *Fleet) { f.policy = policy } }

// NewFleet starts a fleet and waits until it is ready. The fleet stops when
// the test ends.
func NewFleet(tb testing.TB, spec driftfake.ServiceSpec, opts ...Option) *Fleet {
	tb.Helper()
	f := &Fleet{
		Spec: spec, Platform: driftfake.NewPlatform(), RunCounter: driftfake.NewRunCounter(),
		Nodes: make(map[string]*driftnode.Node), t: tb, seed: 1,
		vmDomains: make(map[string]string), cancelVM: make(map[string]context.CancelFunc),
		handlers: make(map[string]QueryHandler), vmContexts: make(map[string]context.Context), leavingUpstreams: make(map[string]bool), unlistedVMs: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.Upstreams = spec.Upstreams(f.seed, driftfake.WithRunCounter(f.RunCounter))
	f.upstreamDomains = make(map[string]string, len(f.Upstreams))
	for i, u := range f.Upstreams {
		f.upstreamDomains[u.Name] = spec.Domain(i/spec.Replicas, i%spec.Replicas)
	}
	f.Dialer = driftfake.NewDialer(f.Upstreams...)
	f.Network = driftfake.NewNetwork(f.delay)
	f.publishConfig()
	for i := range vmCount {
		f.vmDomains[vmName(i)] = spec.Domains[i%len(spec.Domains)]
	}
	f.PublishVMList()
	for i := range vmCount {
		f.Start(vmName(i))
	}
	tb.Cleanup(f.shutDown)
	time.Sleep(startupTime)
	return f
}

func vmName(i int) string {
	return fmt.Sprintf("vm-%d", i+1)
}

// VMNames returns the names of all VMs.
func VMNames() []string {
	names := make([]string, 0, vmCount)
	for i := range vmCount {
		names = append(names, vmName(i))
	}
	return names
}

func (f *Fleet) delay(from, to string) time.Duration {
	extra := f.extraDelay.draw()
	if f.vmDomains[from] == f.vmDomains[to] {
		return sameDomainDelay + extra
	}
	return crossDomainDelay + extra
}

// DialerOf returns the dialer of a VM. Its connections have the network delay
// between the VM's failure domain and the upstream's.
func (f *Fleet) DialerOf(vm string) driftupstream.Dialer {
	return driftfake.GatedDialer{
		Dialer: f.Dialer, Gate: f.Network.Gate(vm),
		Delay: func(upstream string) time.Duration {
			if f.vmDomains[vm] == f.upstreamDomains[upstream] {
				return sameDomainDelay
			}
			return crossDomainDelay
		},
	}
}

func (f *Fleet) publishConfig() {
	f.Platform.Put(driftdocument.KeyDomains, f.Spec.DomainsDocument())
	f.Platform.Put(driftdocument.KeyClasses, f.Spec.ClassesDocument())
	f.Platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	f.publishUpstreams()
	f.Platform.Put(driftdocument.KeyVersionsPrefix+f.Spec.Service, f.Spec.VersionsDocument(1))
}

func (f *Fleet) publishUpstreams() {
	d := f.Spec.UpstreamsDocument(func(string) string { return "127.0.0.1:1" })
	for i := range d.Upstreams {
		d.Upstreams[i].Leaving = f.leavingUpstreams[d.Upstreams[i].Name]
	}
	f.Platform.Put(driftdocument.KeyUpstreamsPrefix+f.Spec.Service, d)
}

// PublishVMList publishes the list of all VMs except the named ones.
func (f *Fleet) PublishVMList(without ...string) {
	var listed []driftplatform.ListedVM
	for _, n := range VMNames() {
		if !slices.Contains(without, n) {
			listed = append(listed, driftplatform.ListedVM{Name: n, Domain: f.vmDomains[n], Callers: n, Peers: n})
		}
	}
	f.Platform.SetVMs(listed...)
}

// Start starts a VM as a new incarnation.
func (f *Fleet) Start(vm string) *driftnode.Node {
	f.t.Helper()
	f.lastIncarnation++
	events := driftevent.NewLog(vm, f.lastIncarnation)
	checker := driftcheck.NewChecker(events, driftcheck.WithViolationHandler(func(v driftcheck.Violation) {
		f.reportViolation("%s: invariant %s violated by request %q: %s", vm, v.Invariant, v.Request, v.Detail)
	}))
	gate := f.Network.Gate(vm)
	platform := driftfake.GatedPlatform{Platform: f.Platform, Gate: gate}
	node := driftnode.New(driftnode.Dependencies{
		Self:   drifttable.VM{Name: vm, Domain: f.vmDomains[vm], Incarnation: f.lastIncarnation, Callers: vm, Peers: vm},
		Config: platform, Lister: platform, Transport: f.Network.Transport(vm),
		Dialer: f.DialerOf(vm),
		Events: events, Checker: checker, EntryListTTL: entryListTTL,
		ControlOptions: []driftcontrol.Option{driftcontrol.WithGate(func(context.Context) { gate.Wait() })},
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.cancelVM[vm], f.vmContexts[vm], f.Nodes[vm], f.handlers[vm] = cancel, ctx, node, node.Front
	f.mu.Unlock()
	if f.policy != nil {
		handler := f.policy(ctx, f, vm)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.handlers[vm] = handler
		return node
	}
	f.Network.Join(vm, node.Server)
	go func() { _ = node.Run(ctx) }()
	return node
}

// Kill stops a VM at once, like a crash.
func (f *Fleet) Kill(vm string) {
	f.Network.Gate(vm).Resume()
	f.Network.Remove(vm)
	f.StopControlPlane(vm)
}

// Query sends a query to a VM and waits for the outcome.
func (f *Fleet) Query(vm string, q driftapi.Query) driftfront.Outcome {
	return f.Node(vm).Front.Query(f.t.Context(), q)
}

// Node returns the node of a VM's newest incarnation.
func (f *Fleet) Node(vm string) *driftnode.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Nodes[vm]
}

// handler returns the query handler of a VM.
func (f *Fleet) handler(vm string) QueryHandler {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handlers[vm]
}

// vmContext returns the context that is canceled when the VM stops.
func (f *Fleet) vmContext(vm string) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmContexts[vm]
}

// Upstream returns the simulated upstream with the given name.
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
func (f *Fleet) Domain(vm string) string { return f.vmDomains[vm] }

// Alive reports whether the VM is running.
func (f *Fleet) Alive(vm string) bool {
	return f.vmContext(vm).Err() == nil
}

// reportViolation records a violated invariant. It fails the test unless
// violations are collected.
func (f *Fleet) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.mu.Lock()
	f.violations = append(f.violations, text)
	f.mu.Unlock()
	if !f.collectViolations {
		f.t.Error(text)
	}
}

// Violations returns the violated invariants that the checks in the nodes, the
// callers and the simulated upstreams have found.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	violations := slices.Clone(f.violations)
	f.mu.Unlock()
	return append(violations, f.upstreamViolations()...)
}

// upstreamViolations returns the violations that the simulated upstreams have
// counted.
func (f *Fleet) upstreamViolations() []string {
	var violations []string
	count := func(name, what string, number int) {
		if number > 0 {
			violations = append(violations, fmt.Sprintf("%s: %s: %d", name, what, number))
		}
	}
	count("upstreams", "duplicate runs", f.RunCounter.DuplicateRuns())
	for _, u := range f.Upstreams {
		c := u.Counts()
		count(u.Name, "requests above its limit while cold", c.ColdOverload)
		count(u.Name, "new requests after it was leaving", c.AfterLeaving)
		count(u.Name, "new requests after its domain was marked out", c.AfterMarkedOut)
	}
	return violations
}
