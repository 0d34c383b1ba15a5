package driftowner

import (
	"context"
	"sync"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// lane holds the slots and connections of one upstream.
type lane struct {
	upstream drifttable.Upstream
	dialer   driftupstream.Dialer
	slots    chan struct{}

	mu   sync.Mutex
	idle []driftupstream.Conn
}

func newLane(u drifttable.Upstream, dialer driftupstream.Dialer) *lane {
	return &lane{upstream: u, dialer: dialer, slots: make(chan struct{}, u.Slots)}
}

// serve waits for a slot and sends the request on a connection.
func (l *lane) serve(ctx context.Context, r driftshard.Request) driftshard.Result {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return driftshard.NotRun{Reason: driftshard.ReasonLate}
	}
	defer func() { <-l.slots }()
	conn, err := l.take(ctx)
	if err != nil {
		return driftshard.NotRun{Reason: driftshard.ReasonUnreachable}
	}
	reply := conn.Do(ctx, r)
	l.give(conn, reply)
	return result(r, reply)
}

func (l *lane) take(ctx context.Context) (driftupstream.Conn, error) {
	if conn := l.pop(); conn != nil {
		return conn, nil
	}
	return l.dialer.Dial(ctx, l.upstream)
}

func (l *lane) pop() driftupstream.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		return nil
	}
	last := len(l.idle) - 1
	conn := l.idle[last]
	l.idle = l.idle[:last]
	return conn
}

func (l *lane) give(conn driftupstream.Conn, reply driftupstream.Reply) {
	if _, failed := reply.(driftupstream.Failed); failed {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, conn)
}

// result turns an upstream's reply into the result of the request.
func result(r driftshard.Request, reply driftupstream.Reply) driftshard.Result {
	switch reply := reply.(type) {
	case driftupstream.Answered:
		return answered(r, reply)
	case driftupstream.Shed:
		return shed(reply)
	case driftupstream.Parting:
		return driftshard.NotRun{Reason: driftshard.ReasonLeaving}
	case driftupstream.Failed:
		if !reply.Sent {
			return driftshard.NotRun{Reason: reply.Reason}
		}
		return driftshard.Unknown{Reason: reply.Reason}
	}
	return driftshard.Unknown{Reason: driftshard.ReasonMalformed}
}

func answered(r driftshard.Request, a driftupstream.Answered) driftshard.Result {
	if a.Attempt != r.Attempt {
		return driftshard.Unknown{Reason: driftshard.ReasonCrossed}
	}
	if a.Count != len(a.Rows) {
		return driftshard.Unknown{Reason: driftshard.ReasonShort}
	}
	return driftshard.Done{
		Attempt: a.Attempt, Version: a.Version, Depots: a.Depots,
		Rows: a.Rows, Count: a.Count, Load: a.Load,
	}
}

func shed(s driftupstream.Shed) driftshard.Result {
	if s.Other {
		return driftshard.NotRun{Reason: driftshard.ReasonVersion}
	}
	return driftshard.NotRun{Reason: driftshard.ReasonShed, Retry: s.Retry}
}
