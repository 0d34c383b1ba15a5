package driftfake

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftpeer"
	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
)

// Network connects VMs without sockets: it calls the pb.Peer of the target
// after a delay. The address of a VM is its name. It is safe for concurrent
// use.
type Network struct {
	delay func(from, to string) time.Duration

	mu          sync.Mutex
	peers       map[string]pb.Peer
	partitioned map[link]bool
	silent      map[link]bool
	calls       map[string]int
	bytes       int
	gates       map[string]*Gate
}

// link is one direction of the network path between two VMs.
type link struct {
	from, to string
}

// NewNetwork returns a network with the one-way delay that the function returns.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay: delay, peers: make(map[string]pb.Peer), partitioned: make(map[link]bool),
		silent: make(map[link]bool), calls: make(map[string]int),
		gates: make(map[string]*Gate),
	}
}

// Join adds a VM to the network. A new incarnation replaces the old one.
func (n *Network) Join(name string, peer pb.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[name] = peer
}

// Remove removes a VM from the network. Calls to it are refused at once.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, name)
}

// SetPartitioned sets whether everything sent from one VM to another is lost.
func (n *Network) SetPartitioned(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{from, to}] = partitioned
}

// Gate returns the gate of the VM, which blocks what the VM sends and receives
// while it is paused.
func (n *Network) Gate(vm string) *Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, found := n.gates[vm]
	if !found {
		g = &Gate{}
		n.gates[vm] = g
	}
	return g
}

// SetSilent sets whether the pooled connections from one VM to another are
// silent: calls over them are lost, while calls of an unpooled peer work.
func (n *Network) SetSilent(from, to string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link{from, to}] = silent
}

// Calls returns the number of calls of the method by all VMs.
func (n *Network) Calls(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// Traffic returns the number of calls of all methods and their size in bytes as
// protobuf messages, including replies.
func (n *Network) Traffic() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.calls {
		calls += c
	}
	return calls, n.bytes
}

// addBytes adds the size of the messages to the traffic.
func (n *Network) addBytes(messages ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range messages {
		if p, ok := m.(proto.Message); ok {
			n.bytes += proto.Size(p)
		}
	}
}

// Transport returns the transport for the VM with the given name.
func (n *Network) Transport(from string) driftpeer.Transport {
	return &transport{network: n, from: from}
}

// deliverCall returns the target of a call after the network delay. On a
// partitioned or silent link it returns an error once ctx ends.
func (n *Network) deliverCall(ctx context.Context, l link, unpooled bool, method string) (pb.Peer, error) {
	n.mu.Lock()
	n.calls[method]++
	target, found := n.peers[l.to]
	partitioned := n.partitioned[l]
	silent := n.silent[l] && !unpooled
	n.mu.Unlock()
	if partitioned || silent {
		<-ctx.Done()
		if partitioned && unpooled {
			return nil, errors.WithType(ctx.Err(), driftpeer.ErrNotSent)
		}
		return nil, ctx.Err()
	}
	if err := sleep(ctx, n.delay(l.from, l.to)); err != nil {
		return nil, err
	}
	if !found {
		return nil, errors.WithType(errRefused, driftpeer.ErrNotSent)
	}
	return target, nil
}

// deliverReply waits for the network delay of a reply. On a partitioned link it
// returns an error once ctx ends.
func (n *Network) deliverReply(ctx context.Context, l link) error {
	n.mu.Lock()
	partitioned := n.partitioned[link{from: l.to, to: l.from}]
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, n.delay(l.to, l.from))
}

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transport is one VM's access to the network.
type transport struct {
	network *Network
	from    string
}

// Peer implements driftpeer.Transport.
func (t *transport) Peer(address string) pb.Peer {
	return &remote{network: t.network, link: link{t.from, address}}
}

// UnpooledPeer implements driftpeer.Transport.
func (t *transport) UnpooledPeer(address string) pb.Peer {
	return &remote{network: t.network, link: link{t.from, address}, unpooled: true}
}

// ReplaceConnections implements driftpeer.Transport. The new connections are not silent.
func (t *transport) ReplaceConnections(address string) {
	t.network.SetSilent(t.from, address, false)
}

// remote is the client of one VM for the calls of another.
type remote struct {
	network  *Network
	link     link
	unpooled bool
}

// call delivers one call and its reply, through the gates of both VMs.
func call[Q, R any](
	ctx context.Context, r *remote, method string, q Q,
	do func(pb.Peer, context.Context, Q) (R, error),
) (reply R, err error) {
	callerGate := r.network.Gate(r.link.from)
	callerGate.Wait()
	defer callerGate.Wait()
	target, err := r.network.deliverCall(ctx, r.link, r.unpooled, method)
	if err != nil {
		return reply, err
	}
	reply, err = handle(ctx, r.network.Gate(r.link.to), target, q, do)
	if err != nil {
		return reply, err
	}
	r.network.addBytes(q, reply)
	return reply, r.network.deliverReply(ctx, r.link)
}

// resumedCallTimeout bounds a call that a paused VM handles after it resumes.
const resumedCallTimeout = time.Second

// handle calls the target. A paused target handles the call after it resumes,
// even if the caller has given up by then.
func handle[Q, R any](
	ctx context.Context, gate *Gate, target pb.Peer, q Q,
	do func(pb.Peer, context.Context, Q) (R, error),
) (reply R, err error) {
	if gate.resumeSignal() == nil {
		return do(target, ctx, q)
	}
	var resumedReply R
	done := make(chan error, 1)
	go func() {
		gate.Wait()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), resumedCallTimeout)
		defer cancel()
		result, err := do(target, limited, q)
		resumedReply = result
		done <- err
	}()
	select {
	case err = <-done:
		return resumedReply, err
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}

// Shard implements pb.Peer.
func (r *remote) Shard(ctx context.Context, q *pb.ShardRequest) (*pb.ShardReply, error) {
	return call(ctx, r, "Shard", q, pb.Peer.Shard)
}

// Probe implements pb.Peer.
func (r *remote) Probe(ctx context.Context, q *pb.ProbeRequest) (*pb.ProbeReply, error) {
	return call(ctx, r, "Probe", q, pb.Peer.Probe)
}

// Relay implements pb.Peer.
func (r *remote) Relay(ctx context.Context, q *pb.RelayRequest) (*pb.ProbeReply, error) {
	return call(ctx, r, "Relay", q, pb.Peer.Relay)
}

// Documents implements pb.Peer.
func (r *remote) Documents(ctx context.Context, q *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	return call(ctx, r, "Documents", q, pb.Peer.Documents)
}

// Handover implements pb.Peer.
func (r *remote) Handover(ctx context.Context, q *pb.HandoverRequest) (*pb.HandoverReply, error) {
	return call(ctx, r, "Handover", q, pb.Peer.Handover)
}

// Timeline implements pb.Peer.
func (r *remote) Timeline(ctx context.Context, q *pb.TimelineRequest) (*pb.TimelineReply, error) {
	return call(ctx, r, "Timeline", q, pb.Peer.Timeline)
}

// Status implements pb.Peer.
func (r *remote) Status(ctx context.Context, q *pb.StatusRequest) (*pb.StatusReply, error) {
	return call(ctx, r, "Status", q, pb.Peer.Status)
}
