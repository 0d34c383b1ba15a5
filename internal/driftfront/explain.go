package driftfront

import (
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Counts holds the totals of a Front since its creation.
type Counts struct {
	// Queries counts all queries, Refused those that got no answer.
	Queries, Refused uint64
	// FirstAttempts counts first attempts, Hedges the attempts beside a slow
	// one.
	FirstAttempts, Hedges uint64
	// Dropped counts the replies that were not merged, Restarts the queries
	// that started again on another version.
	Dropped, Restarts uint64
}

// counters holds the current values of Counts and the queries in flight.
type counters struct {
	queries, refused, firstAttempts, hedges, dropped, restarts atomic.Uint64
	inFlight                                                   atomic.Int64
}

// InFlight returns the number of queries in flight.
func (f *Front) InFlight() int {
	return int(f.counters.inFlight.Load())
}

// Counts returns the totals of the Front.
func (f *Front) Counts() Counts {
	c := &f.counters
	return Counts{
		Queries: c.queries.Load(), Refused: c.refused.Load(), FirstAttempts: c.firstAttempts.Load(),
		Hedges: c.hedges.Load(), Dropped: c.dropped.Load(), Restarts: c.restarts.Load(),
	}
}

// recordOutcome records the outcome of a query.
func (f *Front) recordOutcome(q driftapi.Query, o Outcome) {
	switch o := o.(type) {
	case Answered:
		f.events.Record(driftevent.QueryAnswered, q.Request, q.Class, answerText(o.Answer))
	case Refused:
		f.counters.refused.Add(1)
		f.events.Record(driftevent.QueryRefused, q.Request, q.Class,
			o.Refusal.Reason+" ran "+string(o.Refusal.Ran))
	}
}

func answerText(a driftapi.Answer) string {
	return "version " + strconv.FormatUint(a.Version, 10) +
		" searched " + strconv.Itoa(len(a.Searched)) + " missing " + strconv.Itoa(len(a.Missing))
}

func versionChangeText(from, to uint64) string {
	return fmt.Sprintf("version %d to %d", from, to)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// explanation collects the attempts of a query whose caller asks for them.
type explanation struct {
	wanted   bool
	started  time.Time
	attempts []driftapi.Attempt
}

// resultGivenUp is the result of an attempt that was canceled before it ended.
// An attempt in flight has it too, until its result arrives.
const resultGivenUp = "given up"

func newExplanation(c call) explanation {
	return explanation{wanted: c.query.Explain, started: c.started}
}

func (x *explanation) addAttempt(a *attempt, shard string) {
	if !x.wanted {
		return
	}
	x.attempts = append(x.attempts, driftapi.Attempt{
		ID: a.id, Shard: shard, Owner: a.vm, Upstream: a.upstream, Version: a.version,
		Hedge: a.hedge, Result: resultGivenUp, Start: milliseconds(a.started.Sub(x.started)),
	})
}

func (x *explanation) recordResult(e attemptResult) {
	x.setResult(e.attempt, resultText(e.result), e.arrived)
}

// giveUp marks an attempt that the query no longer waits for.
func (x *explanation) giveUp(a *attempt) {
	x.setResult(a, resultGivenUp, time.Now())
}

func (x *explanation) setResult(a *attempt, result string, now time.Time) {
	i := slices.IndexFunc(x.attempts, func(l driftapi.Attempt) bool { return l.ID == a.id })
	if i < 0 {
		return
	}
	x.attempts[i].Result = result
	x.attempts[i].Time = milliseconds(now.Sub(a.started))
}
