package drifttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// maxEntryAttempts is the number of VMs that a caller tries for one request.
const maxEntryAttempts = 3

// defaultDeadline is the deadline of queries whose Load sets none.
const defaultDeadline = 500 * time.Millisecond

// errConnectionLost means that the VM stopped or did not answer in time after
// it got the query.
var errConnectionLost = errors.New("connection lost")

// errConnectionRefused means that a caller cannot connect to a VM.
var errConnectionRefused = errors.New("connection refused")

// Load describes a stream of queries of one class with exponentially
// distributed gaps.
type Load struct {
	Class string
	// Rate is the mean number of queries per second over Duration.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	Seed     uint64
	// Depots limits the queries to these depots; empty means all. A query that
	// is not idempotent must name depots of one shard.
	Depots []string
}

// RunLoad sends the load and waits until every query has an outcome.
func (f *Fleet) RunLoad(l Load) *LoadResult {
	result := &LoadResult{ReasonCounts: make(map[string]int)}
	random := rand.New(rand.NewPCG(f.seed, l.Seed))
	if l.Deadline == 0 {
		l.Deadline = defaultDeadline
	}
	run := f.nextLoadNumber()
	var pending sync.WaitGroup
	end := time.Now().Add(l.Duration)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		q := driftapi.Query{
			Request: fmt.Sprintf("%s-%d-%d", l.Class, run, i), Class: l.Class, Depots: l.Depots,
			Text: fmt.Sprintf("text %d-%d", run, i), Deadline: l.Deadline.Milliseconds(),
		}
		first := random.IntN(vmCount)
		pending.Go(func() { f.sendQuery(result, q, first) })
	}
	pending.Wait()
	f.checkRefusedNotRun(result)
	return result
}

func (f *Fleet) nextLoadNumber() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadCount++
	return f.loadCount
}

// sendQuery sends a query to one VM after another, as callers do. It tries the
// next VM only if the request did not run at this one.
func (f *Fleet) sendQuery(t *LoadResult, q driftapi.Query, first int) {
	started := time.Now()
	names := f.knownVMs(first)
	var refusal driftapi.Refusal
	for _, vm := range names[:min(maxEntryAttempts, len(names))] {
		left := time.Duration(q.Deadline)*time.Millisecond - time.Since(started)
		if left < time.Millisecond {
			break
		}
		attempt := q
		attempt.Deadline = left.Milliseconds()
		outcome, err := f.queryVM(vm, attempt)
		if errors.Is(err, errConnectionRefused) {
			continue
		}
		if err != nil {
			t.recordLost()
			return
		}
		if done := f.recordOutcome(t, q, outcome, time.Since(started)); done {
			return
		}
		if r, ok := outcome.(driftfront.Refused); ok {
			refusal = r.Refusal
		}
	}
	t.recordRefusal(q.Request, refusal.Reason, time.Since(started))
}

// knownVMs returns the entry VMs that a caller got from the first VM that it
// could reach, in the caller's order of preference.
func (f *Fleet) knownVMs(first int) []string {
	names := VMNames()
	for i := range names {
		vm := names[(first+i)%len(names)]
		if !f.Alive(vm) || f.Network.Gate(vm).Paused() {
			continue
		}
		if f.policy != nil {
			return append(slices.Clone(names[(first+i)%len(names):]), names[:(first+i)%len(names)]...)
		}
		var known []string
		for _, e := range f.Node(vm).Steer.Entries(fmt.Sprintf("caller-%d", first), f.vmDomains[vm]).Entries {
			known = append(known, e.Name)
		}
		return known
	}
	return nil
}

// queryVM sends a query to one VM. The answer is lost if the VM stops or is
// paused past the deadline.
func (f *Fleet) queryVM(vm string, q driftapi.Query) (outcome driftfront.Outcome, err error) {
	vmCtx := f.vmContext(vm)
	if vmCtx.Err() != nil {
		return nil, errConnectionRefused
	}
	handler, gate := f.handler(vm), f.Network.Gate(vm)
	limit := time.Duration(q.Deadline)*time.Millisecond + callerSlack
	callerCtx, cancel := context.WithTimeout(f.t.Context(), limit)
	defer cancel()
	replies := make(chan driftfront.Outcome, 1)
	go func() {
		gate.Wait()
		o := handler.Query(vmCtx, q)
		gate.Wait()
		replies <- o
	}()
	select {
	case o := <-replies:
		if vmCtx.Err() != nil {
			return nil, errConnectionLost
		}
		return o, nil
	case <-vmCtx.Done():
		return nil, errConnectionLost
	case <-callerCtx.Done():
		return nil, errConnectionLost
	}
}

// callerSlack is how long a caller waits for an answer beyond its deadline.
const callerSlack = 100 * time.Millisecond

// recordOutcome counts an outcome and reports whether it is final. A request
// that was refused as not run may be sent to another VM.
func (f *Fleet) recordOutcome(t *LoadResult, q driftapi.Query, outcome driftfront.Outcome, took time.Duration) bool {
	switch o := outcome.(type) {
	case driftfront.Answered:
		f.checkAnswer(q, o.Answer)
		t.recordAnswer(o.Answer, took)
		return true
	case driftfront.Refused:
		if o.Refusal.Ran == driftapi.RanNo {
			return false
		}
		t.recordUnknown(o.Refusal.Reason)
		return true
	}
	return false
}

// checkAnswer verifies what a caller can see of an answer: it belongs to the
// query, all its rows are of one index version, and the depots that it lists as
// searched are those that it has rows of.
func (f *Fleet) checkAnswer(q driftapi.Query, a driftapi.Answer) {
	if a.Request != q.Request {
		f.reportViolation("caller: got the answer to %q for %q", a.Request, q.Request)
	}
	var found []string
	for _, row := range a.Rows {
		found = append(found, row.Depot)
		if row.Text != driftfake.RowText(q.Text, a.Version) {
			f.reportViolation("caller: %q got row %q in an answer of version %d", q.Request, row.Text, a.Version)
		}
	}
	slices.Sort(found)
	if !slices.Equal(found, slices.Sorted(slices.Values(a.Searched))) {
		f.reportViolation("caller: %q has rows of %d depots but lists %d as searched", q.Request, len(found), len(a.Searched))
	}
	if a.Complete != (len(a.Missing) == 0) {
		f.reportViolation("caller: %q has complete=%t with %d depots missing", q.Request, a.Complete, len(a.Missing))
	}
}

// checkRefusedNotRun verifies that no request that was refused as not run did
// run on an upstream.
func (f *Fleet) checkRefusedNotRun(t *LoadResult) {
	for _, id := range t.refusedRequestIDs {
		if runs := f.RunCounter.Runs(id); runs > 0 {
			f.reportViolation("caller: %q was refused as not run but ran %d times", id, runs)
		}
	}
}
