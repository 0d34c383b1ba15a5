// Package driftupstream is the client for upstreams: it opens connections,
// sends one request at a time on each and returns a sealed set of replies.
//
// The owner of an upstream manages its connections itself, so this package has
// no pool and never retries a request. Another protocol needs only another
// Dialer.
//
// # Usage
//
//	conn, err := dialer.Dial(ctx, upstream)
//	switch r := conn.Do(ctx, request).(type) {
//	case driftupstream.Answer:
//	case driftupstream.Refusal:
//	case driftupstream.Departure:
//	case driftupstream.Failure:
//	}
package driftupstream

import (
	"context"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial opens one connection, which takes about u.ConnectionCost.
	Dial(ctx context.Context, u drifttable.Upstream) (Conn, error)
}

// Conn is one connection to an upstream. It carries one request at a time.
type Conn interface {
	// Do sends the request and waits for the reply until ctx ends. After a
	// Failure the connection must be closed.
	Do(ctx context.Context, r driftshard.Request) Reply
	// Close closes the connection and makes a request in flight fail.
	Close() error
}

// Reply is the result of one request on one connection: Answer, Refusal,
// Departure or Failure.
type Reply interface {
	reply()
}

// Answer is a reply with rows. Incarnation identifies the upstream's current
// process, 0 if the upstream does not report one.
type Answer struct {
	Attempt     string
	Version     uint64
	Depots      []string
	Rows        []driftshard.Row
	Count       int
	Incarnation uint64
	Load        driftshard.Load
}

// Refusal is returned by an upstream that is overloaded or serves another index
// version. The request did not run.
type Refusal struct {
	RetryAfter  time.Duration
	Incarnation uint64
	// VersionMismatch is set if the upstream serves another index version, which
	// is then in Version.
	VersionMismatch bool
	Version         uint64
}

// Departure is returned by an upstream that is draining before it shuts down.
// The request did not run.
type Departure struct{}

// Failure is returned if no valid reply arrived. Sent is set if any byte of the
// request may have reached the upstream.
type Failure struct {
	Sent   bool
	Reason driftshard.Reason
	Err    error
}

func (Answer) reply()    {}
func (Refusal) reply()   {}
func (Departure) reply() {}
func (Failure) reply()   {}
