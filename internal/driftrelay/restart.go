package driftrelay

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// connProof is what an open connection says about the incarnation of its upstream.
type connProof struct {
	acceptedAt time.Time
	// known is set once it is known whether the incarnation at the other end is
	// cold, and coldUntil says so.
	known bool
	// doubtedAt is when an attempt to connect failed, zero if a request that began
	// later was answered on this connection.
	doubtedAt time.Time
}

// ProvesWarm reports whether an open connection proves that its upstream has not
// restarted unseen and is cold. It handles upstreams that come back under their IDs while
// the published state is stale: a new connection may reach a new incarnation, one
// that has been open for longer than an incarnation stays cold cannot reach a cold
// one. Known is set if health replies say until when the incarnation is cold, doubted
// if the connection may have lost it.
func ProvesWarm(age, coldPeriod time.Duration, known, doubted bool) bool {
	return !doubted && (known || age >= coldPeriod)
}

func (p *connProof) provesWarm(coldPeriod time.Duration, now time.Time) bool {
	return ProvesWarm(now.Sub(p.acceptedAt), coldPeriod, p.known, !p.doubtedAt.IsZero())
}

// countsAsCold reports whether the upstream is cold, or may be, since no open
// connection proves that it has not restarted.
func (e *upstreamState) countsAsCold(service driftroute.Service, now time.Time) bool {
	return now.Before(e.coldUntil) || e.mayHaveRestarted(service, now)
}

func (e *upstreamState) mayHaveRestarted(service driftroute.Service, now time.Time) bool {
	if service.ColdRate <= 0 || service.ColdPeriod <= 0 {
		return false
	}
	for _, p := range e.established {
		if p.provesWarm(service.ColdPeriod, now) {
			return false
		}
	}
	return true
}

// doubtConns records that an attempt to connect failed: the open connections may
// have lost their upstream without notice.
func (e *upstreamState) doubtConns(now time.Time) {
	for _, p := range e.established {
		p.doubtedAt = now
	}
}

// proveConns records that a request that began at the given time was answered on
// the connection. If its incarnation is known, then so is that of every connection
// that was accepted before the request began: an older incarnation cannot answer
// after a newer one has accepted.
func (e *upstreamState) proveConns(c *driftexchange.Conn, started time.Time) {
	p, ok := e.established[c]
	if !ok {
		return
	}
	if !started.Before(p.doubtedAt) {
		p.doubtedAt = time.Time{}
	}
	if !p.known {
		return
	}
	for _, other := range e.established {
		other.known = other.known || !started.Before(other.acceptedAt)
	}
}

// probes is the state of the health requests to an upstream.
type probes struct {
	inFlight bool
	// next is the earliest time of the next one, delay the time to it after one
	// that has failed.
	next  time.Time
	delay time.Duration
	// askAfter is the earliest time of the next one that asks for the upstream's speed.
	askAfter time.Time
}

// Timing of health requests.
const (
	probeTimeout = time.Second
	// coldMargin is how much longer an upstream counts as cold than its health reply
	// says, as that is rounded to a millisecond and all VMs wait for the same moment.
	coldMargin    = 10 * time.Millisecond
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = time.Second
)

// probeIfUnproven starts a health request if the upstream counts as cold only
// since it may have restarted. The caller holds the lock, and has found that the
// cold rate leaves no room.
func (r *Relay) probeIfUnproven(e *upstreamState, service driftroute.Service, now time.Time) {
	if !now.Before(e.coldUntil) && service.HealthPath != "" && r.canProbe(e, service, now) {
		r.startProbe(e, service, now)
	}
}

// canProbe reports whether a health request may be sent to the upstream: none is in
// flight, and there is a connection for it. The caller holds the lock.
func (r *Relay) canProbe(e *upstreamState, service driftroute.Service, now time.Time) bool {
	if e.probes.inFlight || now.Before(e.probes.next) {
		return false
	}
	return len(e.idleConns) > 0 || e.openConns < r.maxConns(e, service.MaxConns)
}

// startProbe starts a health request. The caller holds the lock.
func (r *Relay) startProbe(e *upstreamState, service driftroute.Service, now time.Time) {
	e.probes.inFlight = true
	c := e.popIdleConn(now, false)
	if c == nil {
		e.openConns++
	}
	go r.probe(e, c, service.HealthPath, now)
}

// probe sends a health request on the connection, or on a new one if it is nil.
func (r *Relay) probe(e *upstreamState, c *driftexchange.Conn, path string, started time.Time) {
	if c == nil {
		var err error
		if c, err = r.dial(context.Background(), e); err != nil {
			r.finishProbe(e, nil, driftexchange.NotRun{Err: err}, started)
			return
		}
	}
	request := &driftexchange.Request{Method: http.MethodGet, Target: path, Host: e.Address, Unsigned: true}
	c.Send(request, e.ID, time.Now().Add(probeTimeout), func(result driftexchange.Result) {
		r.finishProbe(e, c, result, started)
	})
}

// finishProbe applies the result of a health request, and returns the connection to
// the pool.
func (r *Relay) finishProbe(e *upstreamState, c *driftexchange.Conn, result driftexchange.Result, started time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.probes.inFlight = false
	e.probes.delay = min(max(2*e.probes.delay, minProbeDelay), maxProbeDelay)
	switch result := result.(type) {
	case driftexchange.Done:
		r.memory.Release(len(result.Reply.Body))
		if r.applyHealth(e, c, result.Reply, started, now) {
			e.probes.delay = 0
		}
	case driftexchange.NotRun:
		switch {
		case result.Misdirected:
			e.removedAt = now.Add(-r.graces.removed)
		case c == nil:
			e.markUnreachable(now)
		}
	case driftexchange.Unknown:
	}
	e.probes.next = now.Add(e.probes.delay)
	switch {
	case c == nil:
	case c.Usable(now) && e.removedAt.IsZero():
		e.idleConns = append(e.idleConns, c)
	default:
		c.Close()
	}
}

// applyHealth applies the reply to a health request that was started at the given
// time, and reports whether it says if the upstream is cold. The caller holds the
// lock.
func (r *Relay) applyHealth(e *upstreamState, c *driftexchange.Conn, reply driftexchange.Reply, started, now time.Time) bool {
	instance := reply.Header.Get(r.headers.Instance)
	if reply.Status != http.StatusOK || (instance != "" && instance != e.ID) {
		return false
	}
	r.recordLoad(e, reply.Header.Get(r.headers.Load), false, now)
	coldLeft, ok := parseMilliseconds(reply.Header.Get(r.headers.ColdLeft))
	if !ok {
		return false
	}
	if p, open := e.established[c]; open {
		p.known = true
		e.proveConns(c, started)
	}
	if coldLeft > 0 {
		e.coldUntil = now.Add(coldLeft + coldMargin)
		r.events.Record(driftevent.UpstreamCooled, "", e.ID, "by its health reply, for "+coldLeft.String())
	}
	return true
}

// parseMilliseconds parses a number of milliseconds. An empty text means 0.
func parseMilliseconds(text string) (d time.Duration, ok bool) {
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) || ms > math.MaxInt32 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
