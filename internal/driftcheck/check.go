// Package driftcheck asserts ten invariants of the running program, which are
// the guarantees that almonddrift gives its users. Production code calls the
// method of an invariant wherever it could be violated.
//
// A violation is recorded as event 900, counted by invariant, and passed to
// the handler given by WithViolationHandler. Tests fail on a violation;
// production reports it and keeps serving.
//
// # Usage
//
//	checker := driftcheck.NewChecker(log)
//	checker.OneSnapshot(request, pinned, reply.Version)
//	if checker.Total() > 0 {
//		fmt.Println(checker.Violations())
//	}
package driftcheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// Invariant names one of the ten invariants.
type Invariant string

// The ten invariants, in the order in which reports list them.
const (
	Snapshot         Invariant = "snapshot" // an answer uses a single index version
	Coverage         Invariant = "coverage" // the coverage of an answer is what was searched
	ColdUpstream     Invariant = "cold"     // a cold upstream gets no more than its limit
	MarkedOut        Invariant = "out"      // a failure domain or VM marked out gets no new work
	CompleteReply    Invariant = "whole"    // a reply is complete and answers the attempt it is used for
	NotRun           Invariant = "notrun"   // no attempt of a request reported as not run may have run
	AtMostOnce       Invariant = "once"     // a non-idempotent request runs at most once
	LeavingUpstream  Invariant = "leaving"  // a leaving upstream gets no new work
	GracefulShutdown Invariant = "graceful" // a shutdown interrupts no request in flight
	ConfigRevision   Invariant = "config"   // configuration never returns to an older revision
)

// Invariants returns the ten invariants in the order of their declaration.
func Invariants() []Invariant {
	return []Invariant{
		Snapshot, Coverage, ColdUpstream, MarkedOut, CompleteReply,
		NotRun, AtMostOnce, LeavingUpstream, GracefulShutdown, ConfigRevision,
	}
}

// NewWorkGrace is how long new work may still be sent after a mark, or after
// the first sign that an upstream is leaving.
const NewWorkGrace = 3 * time.Second

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	Request   string
	Detail    string
}

// Count is the number of violations of one invariant.
type Count struct {
	Invariant Invariant `json:"promise"`
	Number    uint64    `json:"number"`
}

// Checker counts and reports violations. It is safe for concurrent use.
type Checker struct {
	events      driftevent.Recorder
	onViolation func(Violation)

	mu               sync.Mutex
	counts           []uint64
	recentDispatches dispatchTable
}

// Option configures a Checker.
type Option func(*Checker)

// WithViolationHandler calls the handler for every violation, once its event
// is recorded.
func WithViolationHandler(handler func(Violation)) Option {
	return func(c *Checker) { c.onViolation = handler }
}

// NewChecker returns a Checker that records violations as events.
func NewChecker(events driftevent.Recorder, opts ...Option) *Checker {
	c := &Checker{events: events, counts: make([]uint64, len(Invariants()))}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Violations returns the number of violations of each invariant.
func (c *Checker) Violations() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]Count, 0, len(c.counts))
	for i, p := range Invariants() {
		counts = append(counts, Count{Invariant: p, Number: c.counts[i]})
	}
	return counts
}

// Total returns the number of violations of all invariants.
func (c *Checker) Total() uint64 {
	var total uint64
	for _, v := range c.Violations() {
		total += v.Number
	}
	return total
}

func (c *Checker) recordViolation(invariant Invariant, request, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.counts[slices.Index(Invariants(), invariant)]++
	c.mu.Unlock()
	c.events.Record(driftevent.InvariantViolated, request, string(invariant), detail)
	if c.onViolation != nil {
		c.onViolation(Violation{Invariant: invariant, Request: request, Detail: detail})
	}
}
