// Package driftshard defines the shard request and its result, which the front
// of a query, the owner of an upstream and the upstream exchange.
//
// Every result says whether the request ran: Done ran, NotRun did not run, and
// Unknown may have run. A request that is not idempotent may be retried only
// after NotRun. Result is a sealed interface; use a type switch over the three.
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
	// Query is the request ID that the caller gave the query, and the
	// idempotency key.
	Query string
	// Attempt is unique to this attempt. Every receiver returns it with the
	// reply.
	Attempt  string
	Class    string
	Service  string
	Shard    string
	Upstream string
	// Version is the index version that the query must be answered from.
	Version uint64
	Depots  []string
	Text    string
	// NonIdempotent is set when the request must run at most once.
	NonIdempotent bool
	// Deadline is the time after which the answer is no longer useful.
	Deadline time.Time
	// Relayed is set when a VM that is not the owner has relayed the request.
	// A request is relayed at most once.
	Relayed bool
}

// Row is one row of a result and the depot that it belongs to.
type Row struct {
	Depot string `json:"depot"`
	Text  string `json:"text"`
}

// Load is the load that an owner or an upstream reports about itself.
type Load struct {
	// Queue is the number of waiting requests.
	Queue int
	// InFlight is the number of running requests.
	InFlight int
	// Limit is the concurrency limit.
	Limit int
	// Cold is set while the upstream warms up.
	Cold bool
	// ServiceTime is the moving average of the upstream's service time.
	ServiceTime time.Duration
}

// Reason is the cause of a refusal or a failure.
type Reason string

// The reasons. docs/CALLERS.md explains each to callers.
const (
	ReasonStale        Reason = "stale"        // the VM's view is too old to dispatch requests
	ReasonFenced       Reason = "fenced"       // the VM may no longer own its upstreams
	ReasonOwner        Reason = "owner"        // another VM owns the upstream
	ReasonHold         Reason = "hold"         // the new owner waits for the previous one
	ReasonLate         Reason = "late"         // the deadline cannot be met
	ReasonFull         Reason = "full"         // a queue or a budget is exhausted
	ReasonCold         Reason = "cold"         // the upstream is warming up and at its limit
	ReasonShed         Reason = "shed"         // the upstream refused because of overload
	ReasonOut          Reason = "out"          // the upstream or its failure domain is marked out of service
	ReasonLeaving      Reason = "leaving"      // the VM or the upstream is shutting down
	ReasonUnreachable  Reason = "unreachable"  // no connection could be made, or it was lost
	ReasonSilent       Reason = "silent"       // no reply arrived on the connection in time
	ReasonShort        Reason = "short"        // fewer rows or depots than announced
	ReasonCrossed      Reason = "crossed"      // the reply belongs to another attempt
	ReasonVersion      Reason = "version"      // the upstream serves another index version
	ReasonDuplicate    Reason = "duplicate"    // a request with the same ID was already accepted
	ReasonCanceled     Reason = "canceled"     // the caller canceled it, or another replica answered first
	ReasonMalformed    Reason = "malformed"    // the reply could not be parsed
	ReasonUnpublished  Reason = "unpublished"  // no upstream serves the shard
	ReasonUnclassified Reason = "unclassified" // the class is not in the published configuration
)

// Result is the outcome of a shard request: Done, NotRun or Unknown.
type Result interface {
	result()
}

// Done is the result of a request that ran and was answered completely.
type Done struct {
	Attempt string
	Version uint64
	// Depots are the depots that the upstream reports as searched.
	Depots []string
	Rows   []Row
	// Count is the number of rows that the upstream reported.
	Count int
	Load  Load
}

// NotRun is the result of a request that certainly did not run.
type NotRun struct {
	Reason Reason
	// Owner is the upstream's owner in the replying VM's view, if known.
	Owner string
	// RetryAfter is how long to wait before retrying at the same VM.
	RetryAfter time.Duration
	Load       Load
}

// Unknown is the result of a request that may have run.
type Unknown struct {
	Reason Reason
}

func (Done) result()    {}
func (NotRun) result()  {}
func (Unknown) result() {}

// Sender sends a shard request to a VM, which may be the local one. Send
// returns NotRun only if the request certainly did not run, and returns when
// ctx ends.
type Sender interface {
	Send(ctx context.Context, vm string, r Request) Result
}

// Handler serves shard requests at the VM that owns the upstream.
type Handler interface {
	Handle(ctx context.Context, r Request) Result
}
