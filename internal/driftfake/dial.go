package driftfake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// errRefused is returned when an upstream or a VM refuses a connection.
var errRefused = errors.New("connection refused")

// Dialer connects to Upstreams without a network. It implements
// driftupstream.Dialer.
type Dialer struct {
	upstreams map[string]*Upstream

	mu          sync.Mutex
	unreachable map[string]bool
}

// NewDialer returns a Dialer that reaches the given upstreams.
func NewDialer(upstreams ...*Upstream) *Dialer {
	d := &Dialer{upstreams: make(map[string]*Upstream), unreachable: make(map[string]bool)}
	for _, u := range upstreams {
		d.upstreams[u.Name] = u
	}
	return d
}

// SetUnreachable sets whether new connections to the upstream are refused.
func (d *Dialer) SetUnreachable(upstream string, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[upstream] = unreachable
}

// Dial implements driftupstream.Dialer.
func (d *Dialer) Dial(ctx context.Context, u drifttable.Upstream) (driftupstream.Conn, error) {
	d.mu.Lock()
	target, found := d.upstreams[u.Name]
	unreachable := d.unreachable[u.Name]
	d.mu.Unlock()
	if !found || unreachable {
		return nil, errRefused
	}
	return target.openConn(ctx)
}

// openConn opens one connection, which takes connectionCost.
func (u *Upstream) openConn(ctx context.Context) (driftupstream.Conn, error) {
	c := u.newConn()
	if c == nil {
		return nil, errRefused
	}
	if err := sleep(ctx, u.connectionCost); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// newConn registers a new connection. It returns nil when the limit is reached.
func (u *Upstream) newConn() *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns >= u.maxConns {
		u.counts.ConnsRefused++
		return nil
	}
	u.conns++
	u.counts.ConnsOpened++
	u.counts.PeakConns = max(u.counts.PeakConns, u.conns)
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{upstream: u, ctx: ctx, cancel: cancel}
	u.openConns[c] = struct{}{}
	return c
}

// conn is one connection to an Upstream.
type conn struct {
	upstream  *Upstream
	ctx       context.Context //nolint:containedctx // lifetime of the connection
	cancel    context.CancelFunc
	closeOnce sync.Once
	silent    atomic.Bool
}

// Close implements driftupstream.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.cancel()
		c.upstream.mu.Lock()
		defer c.upstream.mu.Unlock()
		c.upstream.conns--
		delete(c.upstream.openConns, c)
	})
	return nil
}

// Do implements driftupstream.Conn. When ctx ends, the request ends at the
// upstream too, as it does when the connection is closed.
func (c *conn) Do(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	if c.ctx.Err() != nil {
		return driftupstream.Failure{Reason: driftshard.ReasonUnreachable, Err: errRefused}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	reply := c.roundTrip(ctx, driftupstream.SearchRequest{
		Request: r.Query, Attempt: r.Attempt, Shard: r.Shard, Version: r.Version,
		Depots: r.Depots, Text: r.Text, NonIdempotent: r.NonIdempotent,
		Deadline: time.Until(r.Deadline).Milliseconds(),
	})
	return reply.toReply(ctx)
}

// roundTrip sends the request and returns the reply. A silent connection
// delivers neither.
func (c *conn) roundTrip(ctx context.Context, s driftupstream.SearchRequest) httpReply {
	var a httpReply
	if !c.silent.Load() {
		a = c.upstream.serve(ctx, s)
	}
	if c.silent.Load() {
		<-ctx.Done()
		return httpReply{}
	}
	return a
}

// toReply translates the HTTP reply as the product's client would.
func (a httpReply) toReply(ctx context.Context) driftupstream.Reply {
	switch a.Status {
	case http.StatusOK:
		f := a.Body
		return driftupstream.Answer{
			Attempt: f.Attempt, Version: f.Version, Depots: f.Depots, Rows: f.Rows,
			Count: f.Count, Incarnation: f.Incarnation, Load: driftshard.Load{InFlight: f.Busy, Queue: f.Queue},
		}
	case http.StatusServiceUnavailable:
		return driftupstream.Refusal{Incarnation: a.Body.Incarnation}
	case http.StatusConflict:
		return driftupstream.Refusal{Incarnation: a.Body.Incarnation, VersionMismatch: true, Version: a.Body.Version}
	case http.StatusGone:
		return driftupstream.Departure{}
	}
	if ctx.Err() != nil {
		return driftupstream.Failure{Sent: true, Reason: driftshard.ReasonSilent, Err: ctx.Err()}
	}
	return driftupstream.Failure{Sent: true, Reason: driftshard.ReasonUnreachable, Err: errRefused}
}

// ServeHTTP implements the protocol of docs/UPSTREAMS.md.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var s driftupstream.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := u.serve(r.Context(), s)
	if a.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(a.Body)
}

// ConnState counts the connections of an HTTP server. It is meant for
// http.Server.ConnState.
func (u *Upstream) ConnState(_ net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns++
		u.counts.ConnsOpened++
		u.counts.PeakConns = max(u.counts.PeakConns, u.conns)
	case http.StateClosed, http.StateHijacked:
		u.conns--
	case http.StateActive, http.StateIdle:
	}
}
