package driftintake

import (
	"container/list"
	"time"
)

const (
	// timeMargin is added to the times that callers are told, since a VM that is short
	// of processor time reads late.
	timeMargin = time.Second
	// leastRate is the rate in bytes a second at which a body may arrive for as long as
	// it takes.
	leastRate = 1 << 10
)

// Times are the times that a caller may take.
type Times struct {
	// Head is how long a head may take from its first byte.
	Head time.Duration
	// Idle is how long a connection may wait for a request, and a body stand still.
	Idle time.Duration
}

// ClassTimes are the times of each class: other VMs and operators are told none, and may
// keep connections for longer than callers.
type ClassTimes [classCount]Times

// Cause is why a connection is closed or a request refused, in one word.
type Cause string

// The causes.
const (
	CauseCrowd Cause = "crowd" // too many connections
	CauseSlow  Cause = "slow"  // it gave way to a request that arrives
	CauseFull  Cause = "full"  // there was no room for more of it
	CauseLong  Cause = "long"  // its head or body is longer than allowed
	CauseHead  Cause = "head"  // its head took too long
	CauseBody  Cause = "body"  // its body took too long or stood still
	CauseIdle  Cause = "idle"  // it waited too long for a request
)

// Overdue is a connection that has taken too long.
type Overdue struct {
	Conn  *Conn
	Cause Cause
}

// Overdue returns the connections that have taken too long.
func (a *Account) Overdue(times ClassTimes, now time.Time) (overdue []Overdue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for class, s := range a.shares {
		for _, group := range []*list.List{s.fresh, s.known} {
			for e := group.Front(); e != nil; e = e.Next() {
				c := connOf(e)
				if cause, late := c.isOverdue(times[class], now); late {
					overdue = append(overdue, Overdue{Conn: c, Cause: cause})
				}
			}
		}
	}
	return overdue
}

// isOverdue reports whether a connection has taken too long for its state.
func (c *Conn) isOverdue(times Times, now time.Time) (cause Cause, late bool) {
	age := now.Sub(c.since)
	switch c.state {
	case Waiting:
		return CauseIdle, age > times.Idle+timeMargin
	case Heading:
		return CauseHead, age > times.Head+timeMargin
	case Reading:
		total := times.Head + times.Idle + timeMargin + time.Duration(c.arrived)*time.Second/leastRate
		return CauseBody, now.Sub(c.progress) > times.Idle+timeMargin || age > total
	case Serving, Gone:
	}
	return "", false
}

// End removes a connection that has taken too long, unless its request is whole by now.
func (a *Account) End(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == Serving || c.state == Gone {
		return false
	}
	c.share.remove(c)
	return true
}
