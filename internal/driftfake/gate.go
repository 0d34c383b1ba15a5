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

// Gate holds everything that one VM sends or receives while the VM is
// paused. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// Pause closes the gate.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Resume opens the gate: what was held goes on, late.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// Pass waits until the gate is open. A paused process does not notice that a
// context ends, so Pass takes none.
func (g *Gate) Pass() {
	if closed := g.wait(); closed != nil {
		<-closed
	}
}

// Closed reports whether the VM is paused.
func (g *Gate) Closed() bool {
	return g.wait() != nil
}

func (g *Gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// GatedDialer is a dialer as one VM uses it: through its gate, and over the
// way to each upstream, whose delay one way Delay gives.
type GatedDialer struct {
	Dialer driftupstream.Dialer
	Gate   *Gate
	Delay  func(upstream string) time.Duration
}

// Dial implements driftupstream.Dialer.
func (d GatedDialer) Dial(ctx context.Context, u drifttable.Upstream) (driftupstream.Conn, error) {
	d.Gate.Pass()
	conn, err := d.Dialer.Dial(ctx, u)
	d.Gate.Pass()
	if err != nil {
		return nil, err
	}
	return gatedConn{Conn: conn, gate: d.Gate, delay: d.Delay(u.Name)}, nil
}

type gatedConn struct {
	driftupstream.Conn
	gate  *Gate
	delay time.Duration
}

// Do implements driftupstream.Conn. A context that ended during a pause is
// noticed before the request is sent.
func (c gatedConn) Do(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	c.gate.Pass()
	if ctx.Err() != nil {
		return driftupstream.Failure{Reason: driftshard.ReasonLate, Err: ctx.Err()}
	}
	reply := c.travel(ctx, r)
	c.gate.Pass()
	return reply
}

// travel takes the request to the upstream and the reply back.
func (c gatedConn) travel(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	lost := driftupstream.Failure{Sent: true, Reason: driftshard.ReasonSilent}
	if lost.Err = wait(ctx, c.delay); lost.Err != nil {
		return lost
	}
	reply := c.Conn.Do(ctx, r)
	if lost.Err = wait(ctx, c.delay); lost.Err != nil {
		return lost
	}
	return reply
}

// GatedPlatform is the platform as one VM reads it, through its gate.
type GatedPlatform struct {
	Platform *Platform
	Gate     *Gate
}

// Read implements driftplatform.Config.
func (p GatedPlatform) Read(ctx context.Context, key string) driftplatform.ConfigResult {
	p.Gate.Pass()
	defer p.Gate.Pass()
	return p.Platform.Read(ctx, key)
}

// Watch implements driftplatform.Config.
func (p GatedPlatform) Watch(ctx context.Context, key string, after uint64) driftplatform.ConfigResult {
	p.Gate.Pass()
	defer p.Gate.Pass()
	return p.Platform.Watch(ctx, key, after)
}

// List implements driftplatform.Lister.
func (p GatedPlatform) List(ctx context.Context) driftplatform.ListResult {
	p.Gate.Pass()
	defer p.Gate.Pass()
	return p.Platform.List(ctx)
}
