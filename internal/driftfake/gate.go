package driftfake

import (
	"context"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// Gate blocks everything that one VM sends or receives while the VM is paused.
// It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while the VM is not paused
}

// Pause closes the gate.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume opens the gate. Calls that were blocked continue.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// Wait blocks while the gate is closed. A paused process does not react when a
// context ends, so Wait takes none.
func (g *Gate) Wait() {
	if resumed := g.resumeSignal(); resumed != nil {
		<-resumed
	}
}

// Paused reports whether the VM is paused.
func (g *Gate) Paused() bool {
	return g.resumeSignal() != nil
}

// resumeSignal returns a channel that Resume closes, nil while the gate is open.
func (g *Gate) resumeSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}

// GatedDialer dials upstreams for one VM, through the VM's gate. Delay returns
// the one-way network delay between the VM and an upstream.
type GatedDialer struct {
	Dialer driftupstream.Dialer
	Gate   *Gate
	Delay  func(upstream string) time.Duration
}

// Dial implements driftupstream.Dialer.
func (d GatedDialer) Dial(ctx context.Context, u drifttable.Upstream) (driftupstream.Conn, error) {
	d.Gate.Wait()
	conn, err := d.Dialer.Dial(ctx, u)
	d.Gate.Wait()
	if err != nil {
		return nil, err
	}
	return gatedConn{Conn: conn, gate: d.Gate, delay: d.Delay(u.Name)}, nil
}

// gatedConn is a connection of one VM that sends and receives through the VM's
// gate.
type gatedConn struct {
	driftupstream.Conn
	gate  *Gate
	delay time.Duration
}

// Do implements driftupstream.Conn. It checks after a pause whether the context
// has ended, before it sends the request.
func (c gatedConn) Do(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	c.gate.Wait()
	if ctx.Err() != nil {
		return driftupstream.Failure{Reason: driftshard.ReasonLate, Err: ctx.Err()}
	}
	reply := c.roundTrip(ctx, r)
	c.gate.Wait()
	return reply
}

// roundTrip sends the request and returns the reply, with the network delay in
// both directions.
func (c gatedConn) roundTrip(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	lost := driftupstream.Failure{Sent: true, Reason: driftshard.ReasonSilent}
	if lost.Err = sleep(ctx, c.delay); lost.Err != nil {
		return lost
	}
	reply := c.Conn.Do(ctx, r)
	if lost.Err = sleep(ctx, c.delay); lost.Err != nil {
		return lost
	}
	return reply
}

// GatedPlatform is one VM's access to the platform, through its gate.
type GatedPlatform struct {
	Platform *Platform
	Gate     *Gate
}

// Read implements driftplatform.Config.
func (p GatedPlatform) Read(ctx context.Context, key string) driftplatform.ConfigResult {
	p.Gate.Wait()
	defer p.Gate.Wait()
	return p.Platform.Read(ctx, key)
}

// Watch implements driftplatform.Config.
func (p GatedPlatform) Watch(ctx context.Context, key string, after uint64) driftplatform.ConfigResult {
	p.Gate.Wait()
	defer p.Gate.Wait()
	return p.Platform.Watch(ctx, key, after)
}

// List implements driftplatform.Lister.
func (p GatedPlatform) List(ctx context.Context) driftplatform.VMListResult {
	p.Gate.Wait()
	defer p.Gate.Wait()
	return p.Platform.List(ctx)
}
