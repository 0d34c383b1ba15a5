package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftupstream"
)

// connection is one connection of a pool.
type connection struct {
	driftupstream.Conn
	// used is when the last complete reply arrived, or when the connection
	// was opened.
	used time.Time
	// pooled is set once the connection has been idle in the pool. A failure
	// counts against the upstream only on a connection that has not.
	pooled bool
}

// pool manages the connections to one upstream.
type pool struct {
	// size is the maximum number of open connections.
	size        int
	open        int
	opened      int
	idle        []*connection
	connections map[*connection]bool
}

func newPool(slots, connections int) pool {
	p := pool{connections: make(map[*connection]bool)}
	p.resize(slots, connections)
	return p
}

// resize allows one standby connection in addition to the slots, but at most
// half of the published connections, so that the previous and the new owner
// together stay within them during a handover.
func (p *pool) resize(slots, connections int) {
	p.size = max(1, min(slots+1, connections/2))
}

// takeIdle returns the most recently used idle connection, or nil.
func (p *pool) takeIdle() *connection {
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. It reports false if
// the pool is full.
func (p *pool) reserve() bool {
	if p.open >= p.size {
		return false
	}
	p.open++
	return true
}

// release cancels a reservation whose dial has failed.
func (p *pool) release() {
	p.open--
}

// add adds the connection for which room was reserved.
func (p *pool) add(c driftupstream.Conn, now time.Time) *connection {
	k := &connection{Conn: c, used: now}
	p.connections[k] = true
	p.opened++
	return k
}

func (p *pool) put(c *connection) {
	c.pooled = true
	p.idle = append(p.idle, c)
}

func (p *pool) close(c *connection) {
	if !p.connections[c] {
		return
	}
	delete(p.connections, c)
	p.open--
	_ = c.Close()
}

// closeIdle closes the idle connections that match the filter.
func (p *pool) closeIdle(filter func(c *connection) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if filter(c) {
			p.close(c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// closeAll closes every connection, also those in use.
func (p *pool) closeAll() {
	p.idle = nil
	for c := range p.connections {
		p.close(c)
	}
}
