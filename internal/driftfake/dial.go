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

// errRefused is what a dialer answers for an upstream that takes no
// connection.
var errRefused = errors.New("connection refused")

// Dialer connects to Upstreams without a network. It implements
// driftupstream.Dialer.
type Dialer struct {
	upstreams map[string]*Upstream

	mu  sync.Mutex
	cut map[string]bool
}

// NewDialer returns a Dialer that reaches the given upstreams.
func NewDialer(upstreams ...*Upstream) *Dialer {
	d := &Dialer{upstreams: make(map[string]*Upstream), cut: make(map[string]bool)}
	for _, u := range upstreams {
		d.upstreams[u.Name] = u
	}
	return d
}

// Cut makes an upstream unreachable over new connections, or reachable.
func (d *Dialer) Cut(upstream string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[upstream] = cut
}

// Dial implements driftupstream.Dialer.
func (d *Dialer) Dial(ctx context.Context, u drifttable.Upstream) (driftupstream.Conn, error) {
	d.mu.Lock()
	target, found := d.upstreams[u.Name]
	cut := d.cut[u.Name]
	d.mu.Unlock()
	if !found || cut {
		return nil, errRefused
	}
	return target.accept(ctx)
}

// accept opens one connection after the opening cost.
func (u *Upstream) accept(ctx context.Context) (driftupstream.Conn, error) {
	c := u.admit()
	if c == nil {
		return nil, errRefused
	}
	if err := wait(ctx, u.opening); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// admit counts a new connection, nil when the limit is reached.
func (u *Upstream) admit() *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns >= u.maxConns {
		u.counts.Refused++
		return nil
	}
	u.conns++
	u.counts.Opened++
	u.counts.PeakConns = max(u.counts.PeakConns, u.conns)
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{upstream: u, ctx: ctx, cancel: cancel}
	u.open[c] = struct{}{}
	return c
}

// conn is one connection to an Upstream.
type conn struct {
	upstream *Upstream
	ctx      context.Context //nolint:containedctx // the life of the connection
	cancel   context.CancelFunc
	once     sync.Once
	silent   atomic.Bool
}

// Close implements driftupstream.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.cancel()
		c.upstream.mu.Lock()
		defer c.upstream.mu.Unlock()
		c.upstream.conns--
		delete(c.upstream.open, c)
	})
	return nil
}

// Do implements driftupstream.Conn. Ending ctx ends the request at the
// upstream too, as closing a connection does.
func (c *conn) Do(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	if c.ctx.Err() != nil {
		return driftupstream.Failure{Reason: driftshard.ReasonUnreachable, Err: errRefused}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	a := c.exchange(ctx, driftupstream.SearchRequest{
		Request: r.Query, Attempt: r.Attempt, Shard: r.Shard, Version: r.Version,
		Depots: r.Depots, Text: r.Text, NonIdempotent: r.NonIdempotent,
		Deadline: time.Until(r.Deadline).Milliseconds(),
	})
	return a.reply(ctx)
}

// exchange has the request served. Over a silent connection nothing arrives
// at either end.
func (c *conn) exchange(ctx context.Context, s driftupstream.SearchRequest) answer {
	var a answer
	if !c.silent.Load() {
		a = c.upstream.serve(ctx, s)
	}
	if c.silent.Load() {
		<-ctx.Done()
		return answer{}
	}
	return a
}

func (a answer) reply(ctx context.Context) driftupstream.Reply {
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

// ServeHTTP serves the protocol of docs/UPSTREAMS.md.
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

// ConnState counts connections; it fits http.Server.ConnState.
func (u *Upstream) ConnState(_ net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns++
		u.counts.Opened++
		u.counts.PeakConns = max(u.counts.PeakConns, u.conns)
	case http.StateClosed, http.StateHijacked:
		u.conns--
	case http.StateActive, http.StateIdle:
	}
}
