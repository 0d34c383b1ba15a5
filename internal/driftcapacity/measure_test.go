package driftcapacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Flags of the measurement.
var (
	measure     = flag.Bool("measure", false, "measure the slopes and write slopes.json")
	namePrefix  = flag.String("only", "", "measure only the slopes whose names start with this prefix")
	runsPerSize = flag.Int("repeat", 3, "number of runs at each size")
)

// measurement measures one or more quantities in the same runs, at several
// sizes.
type measurement struct {
	names, units []string
	sizeUnit     string
	sizes        []float64
	run          func(t *testing.T, size int) []float64
}

func measurements() []measurement {
	return []measurement{
		{
			names:    []string{"fleet.processor", "fleet.memory", "fleet.messages", "fleet.bytes", "fleet.reads"},
			units:    []string{"ms of processor time a second and node", "MB a node", "messages a second and node", "bytes a second and node", "reads a second of the fleet"},
			sizeUnit: "VMs of a failure domain", sizes: []float64{16, 32, 64}, run: runFleet,
		},
		{
			names:    []string{"view.processor", "view.memory", "view.change"},
			units:    []string{"ms of processor time a second", "MB", "ms of processor time a change of marks"},
			sizeUnit: "upstreams of the whole system, with a VM for each ten", sizes: []float64{910, 2730, 9100}, run: runView,
		},
		{
			names: []string{"steer.processor", "steer.bytes"}, units: []string{"us an answer", "bytes an answer"},
			sizeUnit: "VMs of the whole system", sizes: []float64{88, 880, 8800}, run: runSteer,
		},
		{
			names: []string{"query.processor"}, units: []string{"us of processor time a query, without sockets"},
			sizeUnit: "shards", sizes: []float64{10, 46, 92}, run: runQuery,
		},
		{
			names: []string{"owner.memory"}, units: []string{"KB"},
			sizeUnit: "owned upstreams", sizes: []float64{10, 100, 1000}, run: runOwner,
		},
		{
			names: []string{"document.upstreams", "document.list"}, units: []string{"bytes", "bytes"},
			sizeUnit: "entries", sizes: []float64{10, 100, 1000}, run: runDocuments,
		},
		{
			names: []string{"events.memory"}, units: []string{"MB"},
			sizeUnit: "events kept", sizes: []float64{1024, 4096, 16384}, run: runEvents,
		},
	}
}

// TestMeasure measures the slopes again and writes them to slopes.json.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	slopesFile, err := MeasuredSlopes()
	require.NoError(t, err)
	for _, q := range measurements() {
		if *namePrefix != "" && !strings.HasPrefix(q.names[0], *namePrefix) {
			continue
		}
		for _, s := range measureSlopes(t, q) {
			slopesFile.Slopes = slices.DeleteFunc(slopesFile.Slopes, func(o Slope) bool { return o.Name == s.Name })
			slopesFile.Slopes = append(slopesFile.Slopes, s)
		}
	}
	body, err := json.MarshalIndent(slopesFile, "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile("slopes.json", append(body, '\n'), 0o600))
}

func measureSlopes(t *testing.T, q measurement) []Slope {
	t.Helper()
	slopes := make([]Slope, len(q.names))
	prefix, _, _ := strings.Cut(q.names[0], ".")
	for i, name := range q.names {
		slopes[i] = Slope{
			Name: name, Unit: q.units[i], Per: q.sizeUnit,
			Command: "go test ./internal/driftcapacity -run Measure -measure -only " + prefix,
		}
	}
	for _, size := range q.sizes {
		points := make([]Point, len(q.names))
		for range *runsPerSize {
			values := q.run(t, int(size))
			for i, v := range values {
				points[i].Size = size
				points[i].Runs = append(points[i].Runs, v)
			}
		}
		for i, p := range points {
			slopes[i].Points = append(slopes[i].Points, p)
			fmt.Printf("%s at %v: %.4g\n", q.names[i], size, p.Runs)
		}
	}
	return slopes
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapMB returns the heap memory in use after garbage collection, in MB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// inBubble runs a measurement in virtual time and returns its values.
func inBubble(t *testing.T, do func(t *testing.T) []float64) (values []float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		values = do(t)
	})
	return values
}

// maxVMsPerDomain limits the VMs of a failure domain in a published list.
const maxVMsPerDomain = 463

// publishedSystem is a system whose VMs and upstreams a fake platform publishes.
// Only the VMs that startNode starts run.
type publishedSystem struct {
	platform *driftfake.Platform
	network  *driftfake.Network
	vms      []driftplatform.ListedVM
}

// newPublishedSystem publishes VMs and upstreams that are spread over the
// domains, with one service for each upstreamsPerService upstreams.
func newPublishedSystem(vms, upstreams, domains int) *publishedSystem {
	s := &publishedSystem{
		platform: driftfake.NewPlatform(),
		network:  driftfake.NewNetwork(func(string, string) time.Duration { return time.Millisecond }),
	}
	var names []string
	for d := range domains {
		names = append(names, fmt.Sprintf("domain-%d", d))
	}
	size := driftfake.ServiceSpec{Domains: names}
	s.platform.Put(driftdocument.KeyDomains, size.DomainsDocument())
	s.platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	s.publishServices(names, upstreams)
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		s.vms = append(s.vms, driftplatform.ListedVM{Name: name, Domain: names[i%domains], Callers: name, Peers: name})
	}
	s.platform.SetVMs(s.vms...)
	return s
}

// upstreamsPerService is the largest number of upstreams in one service.
const upstreamsPerService = maxUpstreamsPerService

func (s *publishedSystem) publishServices(domains []string, upstreams int) {
	var classes []driftdocument.Class
	for first := 0; first < upstreams; first += upstreamsPerService {
		size := driftfake.ServiceSpec{
			Service: fmt.Sprintf("service-%d", first/upstreamsPerService), Domains: domains, Replicas: 3, Depots: 2,
			Shards: min(upstreamsPerService, upstreams-first) / 3, Slots: 4, Connections: 35,
		}
		classes = append(classes, size.ClassesDocument().Classes[0])
		classes[len(classes)-1].Name = size.Service
		s.platform.Put(driftdocument.KeyUpstreamsPrefix+size.Service,
			size.UpstreamsDocument(func(string) string { return "10.0.0.1:8080" }))
		s.platform.Put(driftdocument.KeyVersionsPrefix+size.Service, size.VersionsDocument(1))
	}
	s.platform.Put(driftdocument.KeyClasses, driftdocument.Classes{Classes: classes})
}

// startNode runs the node of the i-th VM until ctx ends.
func (s *publishedSystem) startNode(ctx context.Context, i int, opts ...driftevent.Option) *driftnode.Node {
	vm := s.vms[i]
	events := driftevent.NewLog(vm.Name, 1, opts...)
	node := driftnode.New(driftnode.Dependencies{
		Self:   drifttable.VM{Name: vm.Name, Domain: vm.Domain, Incarnation: 1, Callers: vm.Callers, Peers: vm.Peers},
		Config: s.platform, Lister: s.platform, Transport: s.network.Transport(vm.Name),
		Dialer: driftfake.NewDialer(), Events: events, Checker: driftcheck.NewChecker(events), EntryListTTL: 10 * time.Second,
	})
	s.network.Join(vm.Name, node.Server)
	go func() { _ = node.Run(ctx) }()
	return node
}
