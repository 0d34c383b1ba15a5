// Package driftupstream is how almonddrift talks to upstreams: explicit
// connections, one request at a time on each, and a sealed set of replies.
//
// The owner of an upstream counts and places connections itself, so the
// package hides no pool and repeats no request. A test bench with another
// protocol needs one new Dialer.
//
// # Usage
//
//	conn, err := dialer.Dial(ctx, upstream)
//	switch r := conn.Do(ctx, request).(type) {
//	case driftupstream.Answered:
//	case driftupstream.Shed:
//	case driftupstream.Parting:
//	case driftupstream.Failed:
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
	// Dial opens one connection. It costs the upstream's opening time.
	Dial(ctx context.Context, u drifttable.Upstream) (Conn, error)
}

// Conn is one connection to an upstream. It carries one request at a time.
type Conn interface {
	// Do sends the request and waits for its reply until ctx ends. After a
	// Failed reply the connection must be closed.
	Do(ctx context.Context, r driftshard.Request) Reply
	// Close closes the connection. A request in flight fails.
	Close() error
}

// Reply is what came of one request on one connection: Answered, Shed,
// Parting or Failed.
type Reply interface {
	reply()
}

// Answer is a reply with rows. Boot is the upstream's process incarnation,
// 0 when it does not tell.
type Answer struct {
	Attempt     string
	Version     uint64
	Depots      []string
	Rows        []driftshard.Row
	Count       int
	Incarnation uint64
	Load        driftshard.Load
}

// Refusal is a refusal under load. The request did not run.
type Refusal struct {
	RetryAfter  time.Duration
	Incarnation uint64
	// VersionMismatch is set when the upstream refused because it serves another index
	// version; Version is the one it serves.
	VersionMismatch bool
	Version         uint64
}

// Departure is a refusal because the upstream drains. The request did not run.
type Departure struct{}

// Failure is a request without an answer. Sent tells whether any byte of the
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
