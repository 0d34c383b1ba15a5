// Package driftshard is the contract between the front of a query, the owner
// of an upstream and the upstream itself: one shard request and its result.
//
// A result always tells whether the request ran. Done ran; NotRun surely did
// not; Unknown may have. Only NotRun may be tried again for a request that is
// not idempotent. Callers switch over the sealed Result interface.
//
// # Usage
//
//	switch r := sender.Send(ctx, "vm-2", request).(type) {
//	case driftshard.Done:
//		merge(r.Rows)
//	case driftshard.NotRun:
//		retry(r.Reason)
//	case driftshard.Unknown:
//		fail(r.Reason)
//	}
package driftshard

import (
	"context"
	"time"
)

// Request asks one upstream for the rows of one shard.
type Request struct {
	// Query is the caller's request id, the idempotency key.
	Query string
	// Attempt is unique to this attempt and echoed at each hop.
	Attempt  string
	Class    string
	Service  string
	Shard    string
	Upstream string
	// Version is the index version that the query is pinned to.
	Version uint64
	Depots  []string
	Text    string
	// NonIdempotent marks a request that is not idempotent.
	NonIdempotent bool
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Relayed is set once a VM that is not the owner has passed the request
	// on. It is passed on once at most.
	Relayed bool
}

// Row is one row of an answer, with the depot that it belongs to.
type Row struct {
	Depot string `json:"depot"`
	Text  string `json:"text"`
}

// Load is what an owner or an upstream says about its own load.
type Load struct {
	// Queue is the number of requests that wait.
	Queue int
	// InFlight is the number of requests that run.
	InFlight int
	// Limit is the number of requests that may run at a time.
	Limit int
	// Cold is set while the upstream warms up.
	Cold bool
	// ServiceTime is the smoothed time of one request at the upstream.
	ServiceTime time.Duration
}

// Reason names why a request was refused or has failed.
type Reason string

// The reasons. docs/CALLERS.md explains each to callers.
const (
	ReasonStale        Reason = "stale"        // the VM's view is too old to act on
	ReasonFenced       Reason = "fenced"       // the VM may no longer own its upstreams
	ReasonOwner        Reason = "owner"        // another VM owns the upstream
	ReasonHold         Reason = "hold"         // a new owner waits for the earlier one
	ReasonLate         Reason = "late"         // the deadline cannot be met
	ReasonFull         Reason = "full"         // a queue or a budget is exhausted
	ReasonCold         Reason = "cold"         // the upstream warms up and is at its limit
	ReasonShed         Reason = "shed"         // the upstream refused under load
	ReasonOut          Reason = "out"          // marked out of service
	ReasonLeaving      Reason = "leaving"      // shutting down
	ReasonUnreachable  Reason = "unreachable"  // no connection could be made
	ReasonSilent       Reason = "silent"       // the connection gave no answer in time
	ReasonShort        Reason = "short"        // fewer rows or depots than announced
	ReasonCrossed      Reason = "crossed"      // the answer belongs to another attempt
	ReasonVersion      Reason = "version"      // the upstream serves another index version
	ReasonDuplicate    Reason = "duplicate"    // the request id was seen before
	ReasonCanceled     Reason = "canceled"     // the caller or a faster replica ended it
	ReasonMalformed    Reason = "malformed"    // the reply could not be read
	ReasonUnpublished  Reason = "unpublished"  // no upstream serves the shard
	ReasonUnclassified Reason = "unclassified" // the class is not published
)

// Result is the outcome of a shard request: Done, NotRun or Unknown.
type Result interface {
	result()
}

// Done is the outcome of a request that ran and was answered whole.
type Done struct {
	Attempt string
	Version uint64
	// Depots are the depots that the upstream says it read.
	Depots []string
	Rows   []Row
	// Count is the number of rows that the upstream announced.
	Count int
	Load  Load
}

// NotRun is the outcome of a request that surely did not run.
type NotRun struct {
	Reason Reason
	// Owner names the owner in the answering VM's view, if known.
	Owner string
	// RetryAfter is how long to wait before another attempt at the same place.
	RetryAfter time.Duration
	Load       Load
}

// Unknown is the outcome of a request that may have run.
type Unknown struct {
	Reason Reason
}

func (Done) result()    {}
func (NotRun) result()  {}
func (Unknown) result() {}

// Sender passes a shard request to a VM, which may be this one. Send returns
// NotRun only when the request surely did not run. It returns once ctx ends.
type Sender interface {
	Send(ctx context.Context, vm string, r Request) Result
}

// Handler serves shard requests at the VM that owns the upstream.
type Handler interface {
	Handle(ctx context.Context, r Request) Result
}
