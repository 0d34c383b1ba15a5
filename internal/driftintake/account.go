// Package driftintake decides what a VM reads of the requests of callers that keep to
// no limits. An Account counts the connections, and the bytes that are held for requests
// which are not answered yet, of all listeners. It says which connection is to be
// closed for another, and which request is to be refused. It has no input and output;
// driftlisten closes and refuses.
//
// Each Class of listeners has a share of its own, so that a crowd at one does not keep
// another from being used. Inside a share:
//
//   - Many connections at once: the one that has waited longest without a whole request
//     is closed. Connections that never had one and those that had are two groups, and
//     the larger gives way, so that a crowd does not push out callers that are known.
//   - Many large bodies or heads at once: what stands still, or arrives slowly, gives
//     way to what arrives; if all arrive, the next is refused. A reserve is left to
//     small requests.
//   - Requests that never end, one byte after the other: each state of a connection has
//     a bound in time.
//
// A connection whose request is whole is never closed.
//
// # Usage
//
//	account := driftintake.NewAccount(driftintake.Rules(memory, files))
//	conn, closing := account.Open(driftintake.Callers, now)
//	closing, ok := account.Head(conn, bytes, now)
//	account.Begin(conn, now)
//	closing, ok = account.Body(conn, bytes, arrived, now)
//	ok = account.Complete(conn)
//	account.Idle(conn, now)
//	account.Close(conn)
package driftintake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// stallTime is how long a request that is being read may stand still before it
	// gives way to others.
	stallTime = 500 * time.Millisecond
	// slowRate is the rate of arrival, in bytes a second, below which a request gives
	// way to others.
	slowRate = 64 << 10
)

// State is what a connection waits for.
type State int

// The states of a connection.
const (
	// Waiting is that of a connection without a part of a request.
	Waiting State = iota
	// Heading is that of one with a part of a head.
	Heading
	// Reading is that of one with a whole head and a part of a body.
	Reading
	// Serving is that of one with a whole request.
	Serving
	// Gone is that of one that was closed.
	Gone
)

// Conn is a connection of the account. Its fields belong to the account.
type Conn struct {
	share *share
	state State
	// since is when the state Waiting began or, in the others, the request.
	since time.Time
	// progress is when something arrived last.
	progress time.Time
	// arrived are the bytes of the request so far, and held those that the account
	// counts for it.
	arrived, held int64
	// place is that in the list of the group, nil if the connection cannot be closed.
	place *list.Element
	group *list.List
}

// share is the share of one class.
type share struct {
	rule  Rule
	used  int64
	conns int
	// fresh holds the connections that have not had a whole request yet, known those
	// that have and wait for another; both in the order in which they began to wait.
	fresh, known *list.List
	reading      map[*Conn]struct{}
}

// Account counts connections and bytes. It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	shares [classCount]*share
}

// NewAccount returns an account with a rule for each class.
func NewAccount(rules [classCount]Rule) *Account {
	a := &Account{}
	for i, rule := range rules {
		a.shares[i] = &share{rule: rule, fresh: list.New(), known: list.New(), reading: make(map[*Conn]struct{})}
	}
	return a
}

// Open adds a connection. Closing is the one to close for it, nil if there is room. It
// is the new one itself if all others have whole requests.
func (a *Account) Open(class Class, now time.Time) (c, closing *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[class]
	c = &Conn{share: s, since: now, progress: now}
	if s.conns >= s.rule.Conns {
		closing = s.longestWaiting()
		if closing == nil {
			c.state = Gone
			return c, c
		}
		s.remove(closing)
	}
	s.conns++
	c.group = s.fresh
	c.place = c.group.PushBack(c)
	return c, closing
}

// longestWaiting returns the connection of the larger group that has waited longest.
func (s *share) longestWaiting() *Conn {
	group := s.fresh
	if s.known.Len() > group.Len() {
		group = s.known
	}
	if group.Len() == 0 {
		return nil
	}
	return connOf(group.Front())
}

// connOf returns the connection at a place of a list.
func connOf(place *list.Element) *Conn {
	c, _ := place.Value.(*Conn)
	return c
}

// remove removes a connection, and what it holds.
func (s *share) remove(c *Conn) {
	if c.state == Gone {
		return
	}
	c.state = Gone
	s.conns--
	s.used -= c.held
	c.held = 0
	c.leaveGroup()
	delete(s.reading, c)
}

func (c *Conn) leaveGroup() {
	if c.place != nil {
		c.group.Remove(c.place)
		c.place = nil
	}
}

// Head counts bytes for a part of a head that has arrived. Ok is false if there is no
// room, or the connection is gone.
func (a *Account) Head(c *Conn, bytes int64, now time.Time) (closing []*Conn, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == Waiting {
		c.state, c.since, c.arrived = Heading, now, 0
		c.share.reading[c] = struct{}{}
	}
	return c.grow(bytes, bytes, now)
}

// Begin records that a head is whole, so that its body can be read.
func (a *Account) Begin(c *Conn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state != Waiting && c.state != Heading {
		return
	}
	if c.state == Waiting {
		c.since = now
	}
	c.state, c.progress = Reading, now
	c.share.reading[c] = struct{}{}
}

// Body counts bytes that are to be held for a body, of which some more have arrived.
// Ok is false if there is no room, or the connection is gone.
func (a *Account) Body(c *Conn, bytes, arrived int64, now time.Time) (closing []*Conn, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.grow(bytes, arrived, now)
}

// grow counts bytes. The caller holds the lock.
func (c *Conn) grow(bytes, arrived int64, now time.Time) (closing []*Conn, ok bool) {
	if c.state == Gone {
		return nil, false
	}
	if arrived > 0 {
		c.progress = now
		c.arrived += arrived
	}
	s := c.share
	limit := s.rule.Bytes
	if c.held+bytes > s.rule.Small {
		limit -= s.rule.Reserve
	}
	for bytes > 0 && s.used+bytes > limit {
		slowest := s.slowest(c, now)
		if slowest == nil {
			return closing, false
		}
		s.remove(slowest)
		closing = append(closing, slowest)
	}
	s.used += bytes
	c.held += bytes
	return closing, true
}

// slowest returns the connection, other than the given one, whose request has stood
// still longest of those that stand still or arrive slowly.
func (s *share) slowest(but *Conn, now time.Time) (slowest *Conn) {
	for c := range s.reading {
		if c == but || c.held == 0 || !c.isSlow(now) {
			continue
		}
		if slowest == nil || c.progress.Before(slowest.progress) {
			slowest = c
		}
	}
	return slowest
}

func (c *Conn) isSlow(now time.Time) bool {
	age := now.Sub(c.since)
	return now.Sub(c.progress) >= stallTime || (age >= stallTime && float64(c.arrived) < slowRate*age.Seconds())
}

// Release gives back bytes that are no longer held for a request.
func (a *Account) Release(c *Conn, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes = min(bytes, c.held)
	c.held -= bytes
	c.share.used -= bytes
}

// Complete records that a request is whole. It returns false if the connection is
// gone: the request may then not be served.
func (a *Account) Complete(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == Gone {
		return false
	}
	c.state = Serving
	c.leaveGroup()
	delete(c.share.reading, c)
	return true
}

// Idle records that the request of a connection was answered and that nothing is held
// for it any more.
func (a *Account) Idle(c *Conn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == Gone {
		return
	}
	s := c.share
	s.used -= c.held
	delete(s.reading, c)
	c.leaveGroup()
	c.state, c.held, c.arrived, c.since, c.progress = Waiting, 0, 0, now, now
	c.group = s.known
	c.place = c.group.PushBack(c)
}

// Close removes a connection that has ended. It has no effect on one that is gone.
func (a *Account) Close(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.share.remove(c)
}

// Usage is what a class holds.
type Usage struct {
	// Bytes are those that are counted for requests, and Conns the connections.
	Bytes int64
	Conns int
}

// Usage returns what a class holds now.
func (a *Account) Usage(class Class) Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[class]
	return Usage{Bytes: s.used, Conns: s.conns}
}
