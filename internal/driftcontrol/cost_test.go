package driftcontrol_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftcontrol"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// meter counts the calls and bytes between the control planes of VMs.
type meter struct {
	calls, bytes atomic.Int64
}

// meteredTransport counts calls and the sizes of their messages.
type meteredTransport struct {
	driftpeer.Transport
	meter *meter
}

func (t meteredTransport) UnpooledPeer(address string) pb.Peer {
	return meteredPeer{Peer: t.Transport.UnpooledPeer(address), meter: t.meter}
}

type meteredPeer struct {
	pb.Peer
	meter *meter
}

func (p meteredPeer) Probe(ctx context.Context, w *pb.ProbeRequest) (*pb.ProbeReply, error) {
	r, err := p.Peer.Probe(ctx, w)
	p.meter.count(w, r)
	return r, err
}

func (p meteredPeer) Relay(ctx context.Context, w *pb.RelayRequest) (*pb.ProbeReply, error) {
	r, err := p.Peer.Relay(ctx, w)
	p.meter.count(w, r)
	return r, err
}

func (p meteredPeer) Documents(ctx context.Context, w *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	r, err := p.Peer.Documents(ctx, w)
	p.meter.count(w, r)
	return r, err
}

func (m *meter) count(request, reply proto.Message) {
	m.calls.Add(1)
	m.bytes.Add(int64(proto.Size(request) + proto.Size(reply)))
}

// controlPeer answers the calls of the control plane alone.
type controlPeer struct {
	pb.Peer
	*driftcontrol.Control
}

func (p controlPeer) Probe(ctx context.Context, w *pb.ProbeRequest) (*pb.ProbeReply, error) {
	return p.Control.Probe(ctx, w)
}

func (p controlPeer) Relay(ctx context.Context, w *pb.RelayRequest) (*pb.ProbeReply, error) {
	return p.Control.Relay(ctx, w)
}

func (p controlPeer) Documents(ctx context.Context, w *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	return p.Control.Documents(ctx, w)
}

// largestFlag is the number of VMs of the largest fleet that is measured.
var largestFlag = flag.Int("largest", largestFleet, "number of VMs of the largest fleet whose control cost is measured")

// cost is the control cost of one VM per second. Each call is counted once,
// request and reply together, at the VM that sends the request.
type cost struct {
	Calls, Bytes float64
	Fenced       int
}

const (
	// settleTime is how long a new fleet runs before it is tested.
	settleTime  = 10 * time.Second
	measureTime = 5 * time.Second
	// maxBytes is the control traffic allowed per VM and second.
	maxBytes = 3000
)

// testFleet holds the control planes of one fleet.
type testFleet struct {
	controls []*driftcontrol.Control
	stops    []context.CancelFunc
	network  *driftfake.Network
	meter    *meter
	running  sync.WaitGroup
}

// newTestFleet runs the control planes of a fleet of the given size.
func newTestFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	size := driftfake.Tacada()
	platform, f := driftfake.NewPlatform(), &testFleet{meter: &meter{}}
	platform.Put(driftdocument.KeyUpstreamsPrefix+size.Service,
		size.UpstreamsDocument(func(string) string { return "127.0.0.1:1" }))
	platform.Put(driftdocument.KeyDomains, size.DomainsDocument())
	platform.Put(driftdocument.KeyClasses, size.ClassesDocument())
	platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	f.network = driftfake.NewNetwork(func(string, string) time.Duration { return time.Millisecond })
	var listed []driftplatform.ListedVM
	for i := range count {
		name, domain := fmt.Sprintf("vm-%04d", i), size.Domains[i%len(size.Domains)]
		listed = append(listed, driftplatform.ListedVM{Name: name, Domain: domain, Callers: name, Peers: name})
		events := driftevent.NewLog(name, 1, driftevent.WithSize(16))
		control := driftcontrol.New(
			drifttable.VM{Name: name, Domain: domain, Incarnation: uint64(i + 1), Callers: name, Peers: name},
			platform, platform, meteredTransport{Transport: f.network.Transport(name), meter: f.meter},
			events, driftcheck.NewChecker(events),
		)
		f.network.Join(name, controlPeer{Control: control})
		f.controls = append(f.controls, control)
	}
	platform.SetVMs(listed...)
	for _, control := range f.controls {
		ctx, stop := context.WithCancel(t.Context())
		f.stops = append(f.stops, stop)
		f.running.Go(func() { _ = control.Run(ctx) })
	}
	time.Sleep(settleTime)
	return f
}

func (f *testFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.running.Wait()
}

// countOwned returns the number of upstreams that any VM claims as their owner,
// and fails the test when two VMs claim the same one. It skips the VM at
// index without.
func (f *testFleet) countOwned(t *testing.T, without int) int {
	t.Helper()
	claims := make(map[string]bool)
	for i, control := range f.controls {
		v := control.Views().Load()
		if i == without || v.Fenced {
			continue
		}
		for o := range v.Owners.All() {
			if o.Name == v.Self {
				assert.False(t, claims[o.Upstream], "%s has two owners", o.Upstream)
				claims[o.Upstream] = true
			}
		}
	}
	return len(claims)
}

// TestLostInLargeDomain asserts that the upstreams of a lost VM get an owner
// before the list drops the VM, in a domain too large for every VM to probe all
// others.
func TestLostInLargeDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 64)
		defer f.stop()
		all := f.countOwned(t, -1)
		assert.Equal(t, 30, all)
		lost := f.firstOwner()
		f.stops[lost]()
		f.network.Remove(fmt.Sprintf("vm-%04d", lost))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.countOwned(t, lost)
		}
		assert.Equal(t, all, f.countOwned(t, lost))
	})
}

// firstOwner returns the index of the first VM that owns an upstream.
func (f *testFleet) firstOwner() int {
	for i, control := range f.controls {
		v := control.Views().Load()
		for o := range v.Owners.All() {
			if o.Name == v.Self {
				return i
			}
		}
	}
	return 0
}

// measureCost measures a fleet of the given size.
func measureCost(t *testing.T, count int) (c cost) {
	t.Helper()
	f := newTestFleet(t, count)
	defer f.stop()
	m := f.meter
	calls, bytes := m.calls.Load(), m.bytes.Load()
	time.Sleep(measureTime)
	seconds := measureTime.Seconds() * float64(count)
	c.Calls = float64(m.calls.Load()-calls) / seconds
	c.Bytes = float64(m.bytes.Load()-bytes) / seconds
	for _, control := range f.controls {
		if control.Views().Load().Fenced {
			c.Fenced++
		}
	}
	return c
}

// TestControlCost asserts that the control traffic per VM stays below one bound
// in a small and in a large fleet.
func TestControlCost(t *testing.T) {
	for _, count := range []int{8, *largestFlag} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := measureCost(t, count)
				t.Logf("%d VMs: %.1f calls/s, %.0f bytes/s per VM, %d fenced", count, c.Calls, c.Bytes, c.Fenced)
				assert.LessOrEqual(t, c.Bytes, float64(maxBytes))
				assert.Zero(t, c.Fenced)
			})
		})
	}
}
