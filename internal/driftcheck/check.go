// Package driftcheck asserts, inside the running program, the ten promises
// that almonddrift makes to its users. Production code calls one function
// for each promise at the place where the promise could be broken.
//
// A violation is recorded as event 900, counted by promise, and handed to
// the handler given by WithViolation: tests make it fatal, production keeps
// serving and reports it.
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

// Promise names one of the ten promises.
type Promise string

// The ten promises, in the order of the users' list.
const (
	Snapshot Promise = "snapshot" // one index version in an answer
	Coverage Promise = "coverage" // stated coverage is what was searched
	Cold     Promise = "cold"     // a cold upstream is not overloaded
	Out      Promise = "out"      // a domain marked out gets no new work
	Whole    Promise = "whole"    // an answer is whole and the request's own
	NotRun   Promise = "notrun"   // "not run" is true
	Once     Promise = "once"     // a request that is not idempotent runs once
	Leaving  Promise = "leaving"  // a leaving upstream gets no new work
	Graceful Promise = "graceful" // shutdown cuts off no request in flight
	Config   Promise = "config"   // configuration never reverts
)

// Promises lists the ten promises in order.
func Promises() []Promise {
	return []Promise{
		Snapshot, Coverage, Cold, Out, Whole, NotRun, Once, Leaving, Graceful, Config,
	}
}

// OutGrace is how long after a mark, or after the first sign that an
// upstream leaves, new work may still be sent.
const OutGrace = 3 * time.Second

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Request string
	Detail  string
}

// Count is the number of violations of one promise.
type Count struct {
	Promise Promise `json:"promise"`
	Number  uint64  `json:"number"`
}

// Checker counts and reports violations. It is safe for concurrent use.
type Checker struct {
	events driftevent.Recorder
	handle func(Violation)

	mu     sync.Mutex
	counts []uint64
	once   onceTable
}

// Option changes a Checker that NewChecker makes.
type Option func(*Checker)

// WithViolation calls the handler for every violation, after the event.
func WithViolation(handle func(Violation)) Option {
	return func(c *Checker) { c.handle = handle }
}

// NewChecker returns a Checker that records violations as events.
func NewChecker(events driftevent.Recorder, opts ...Option) *Checker {
	c := &Checker{events: events, counts: make([]uint64, len(Promises()))}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Violations returns the number of violations of each promise.
func (c *Checker) Violations() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]Count, 0, len(c.counts))
	for i, p := range Promises() {
		counts = append(counts, Count{Promise: p, Number: c.counts[i]})
	}
	return counts
}

// Total returns the number of violations of all promises.
func (c *Checker) Total() uint64 {
	var total uint64
	for _, v := range c.Violations() {
		total += v.Number
	}
	return total
}

func (c *Checker) violate(p Promise, request, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.counts[slices.Index(Promises(), p)]++
	c.mu.Unlock()
	c.events.Record(driftevent.InvariantViolated, request, string(p), detail)
	if c.handle != nil {
		c.handle(Violation{Promise: p, Request: request, Detail: detail})
	}
}
