package driftdemo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Upper bound of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// audit checks every outcome that callers get against what the fake upstreams
// recorded, independently of the checks inside the program. It is safe for
// concurrent use.
type audit struct {
	ledger *ledger
	depots []string
	// publishedVersions are the index versions that were published.
	publishedVersions []uint64
	// endsAt is when the run ends.
	endsAt time.Time

	mu            sync.Mutex
	tallies       []*tally
	violations    []driftcheck.Count
	findings      []string
	nonIdempotent []string
	notRun        []string
}

// tally sums up the outcomes that callers got for one class.
type tally struct {
	class         string
	queries       int
	refused       int
	coverageSum   float64
	leastCoverage float64
	latencies     *hdrhistogram.Histogram
	requests      []string
	// refusalReasons holds one reason for each refusal.
	refusalReasons []string
}

func newAudit(size driftfake.ServiceSpec, l *ledger, ends time.Time) *audit {
	a := &audit{ledger: l, publishedVersions: []uint64{1}, endsAt: ends}
	for _, s := range size.VersionsDocument(1).Versions[0].Shards {
		a.depots = append(a.depots, s.Depots...)
	}
	for _, p := range driftcheck.Invariants() {
		a.violations = append(a.violations, driftcheck.Count{Invariant: p})
	}
	for _, w := range workloads {
		a.tallies = append(a.tallies, &tally{
			class: w.class, leastCoverage: 1, latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		})
	}
	return a
}

// maxFindings limits the findings that are kept as text.
const maxFindings = 20

// recordViolation adds to the violations of an invariant. The caller holds the
// lock.
func (a *audit) recordViolation(p driftcheck.Invariant, number uint64, finding string) {
	if number == 0 {
		return
	}
	i := slices.IndexFunc(a.violations, func(c driftcheck.Count) bool { return c.Invariant == p })
	a.violations[i].Number += number
	if len(a.findings) < maxFindings {
		a.findings = append(a.findings, string(p)+": "+finding)
	}
}

// tallyOf returns the tally of a class. The caller holds the lock.
func (a *audit) tallyOf(class string) *tally {
	i := slices.IndexFunc(a.tallies, func(t *tally) bool { return t.class == class })
	return a.tallies[i]
}

// recordAnswer checks an answer and adds it to the tally of its class.
func (a *audit) recordAnswer(q driftapi.Query, answer driftapi.Answer, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tallyOf(q.Class)
	t.queries++
	t.requests = append(t.requests, q.Request)
	_ = t.latencies.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	t.coverageSum += answer.Coverage()
	t.leastCoverage = min(t.leastCoverage, answer.Coverage())
	if isNonIdempotent(q) {
		a.nonIdempotent = append(a.nonIdempotent, q.Request)
	}
	a.checkCoverage(q, answer)
	a.checkIntegrity(q, answer)
	a.checkReads(answer)
}

// recordRefusal checks a refusal and adds it to the tally of its class.
func (a *audit) recordRefusal(q driftapi.Query, r driftapi.Refusal, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tallyOf(q.Class)
	t.queries++
	t.refused++
	t.refusalReasons = append(t.refusalReasons, r.Reason)
	t.requests = append(t.requests, q.Request)
	if isNonIdempotent(q) {
		a.nonIdempotent = append(a.nonIdempotent, q.Request)
	}
	if r.Ran == driftapi.RanNo {
		a.notRun = append(a.notRun, q.Request)
	}
	if wasCutOff(q, r, took) {
		a.recordViolation(driftcheck.GracefulShutdown, 1, q.Request+" cut off: "+r.Detail)
	}
}

func isNonIdempotent(q driftapi.Query) bool {
	return q.Class == "reserve"
}

// cutOffShare is the share of the deadline before which a missing answer counts
// as a cut-off connection: the caller would have waited longer.
const cutOffShare = 0.9

// wasCutOff reports whether the connection to a VM closed before the answer,
// which must not happen since all VMs of a demo stop gracefully. A query that
// the caller itself canceled, or that reached its deadline, was not cut off.
func wasCutOff(q driftapi.Query, r driftapi.Refusal, took time.Duration) bool {
	deadline := time.Duration(q.Deadline) * time.Millisecond
	early := r.Reason == "silent" && r.Detail != "" && took < time.Duration(cutOffShare*float64(deadline))
	return early && !strings.HasSuffix(r.Detail, context.Canceled.Error()) &&
		!strings.HasSuffix(r.Detail, context.DeadlineExceeded.Error())
}

// checkCoverage checks that the searched and the missing depots together are
// exactly the requested ones, each listed once.
func (a *audit) checkCoverage(q driftapi.Query, answer driftapi.Answer) {
	asked := q.Depots
	if len(asked) == 0 {
		asked = a.depots
	}
	stated := slices.Clone(answer.Searched)
	for _, m := range answer.Missing {
		stated = append(stated, m.Depot)
	}
	if !sameDepots(stated, asked) {
		a.recordViolation(driftcheck.Coverage, 1, q.Request+" does not state the depots that were asked for")
	}
	if answer.Complete != (len(answer.Missing) == 0) {
		a.recordViolation(driftcheck.Coverage, 1, q.Request+" is complete with depots missing, or the other way round")
	}
}

func sameDepots(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// checkIntegrity checks that the answer belongs to the request and has exactly
// one row for each searched depot, as fake upstreams hold one row per depot.
func (a *audit) checkIntegrity(q driftapi.Query, answer driftapi.Answer) {
	if answer.Request != q.Request {
		a.recordViolation(driftcheck.CompleteReply, 1, q.Request+" got the answer to "+answer.Request)
	}
	var depots []string
	for _, row := range answer.Rows {
		depots = append(depots, row.Depot)
	}
	if !sameDepots(depots, answer.Searched) {
		a.recordViolation(driftcheck.CompleteReply, 1, q.Request+" has not one row for each searched depot")
	}
	a.checkRowOrigin(q, answer)
}

// checkRowOrigin checks that every row was found by this search, in the index
// version that the answer states.
func (a *audit) checkRowOrigin(q driftapi.Query, answer driftapi.Answer) {
	for _, row := range answer.Rows {
		if row.Text == driftfake.RowText(q.Text, answer.Version) {
			continue
		}
		if slices.ContainsFunc(a.publishedVersions, func(v uint64) bool { return row.Text == driftfake.RowText(q.Text, v) }) {
			a.recordViolation(driftcheck.Snapshot, 1, q.Request+" has a row of another version than it states")
			return
		}
		a.recordViolation(driftcheck.CompleteReply, 1, q.Request+" got a row of another search")
		return
	}
}

// checkReads checks that a fake upstream has read each searched depot for this
// request, in the index version that the answer states.
func (a *audit) checkReads(answer driftapi.Answer) {
	if !slices.Contains(a.publishedVersions, answer.Version) {
		a.recordViolation(driftcheck.Snapshot, 1, answer.Request+" states a version that was not published")
	}
	for _, d := range answer.Searched {
		read := a.ledger.versionsRead(answer.Request, d)
		if len(read) == 0 {
			a.recordViolation(driftcheck.Coverage, 1, answer.Request+" states depot "+d+", which was not read")
			continue
		}
		if !slices.Contains(read, answer.Version) {
			a.recordViolation(driftcheck.Snapshot, 1, answer.Request+" has depot "+d+" of another version")
		}
	}
}

// collectFinalCounts adds the violations that are known only at the end of a
// run: those counted by the fake upstreams and by the checkers inside all VMs.
func (d *Demo) collectFinalCounts(a *audit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkExecutions()
	for _, s := range d.upstreams {
		c := s.upstream.Counts()
		a.recordViolation(driftcheck.ColdUpstream, uint64(c.ColdOverload),
			fmt.Sprintf("%s was overloaded while cold, last %s after its first sign", s.upstream.Name, c.ColdOverloadAge))
		a.recordViolation(driftcheck.AtMostOnce, uint64(c.DuplicateRuns), s.upstream.Name+" ran a request again")
		a.recordViolation(driftcheck.LeavingUpstream, uint64(c.AfterLeaving), s.upstream.Name+" got work while leaving")
	}
	a.recordViolation(driftcheck.MarkedOut, d.ledger.lateArrivals(), "new work in a failure domain that is out")
	for _, v := range d.allVMs() {
		for _, c := range v.process.Checker().Violations() {
			a.recordViolation(c.Invariant, c.Number, "seen inside "+v.name)
		}
	}
}

// checkExecutions checks that no request ran that was refused as not run, and
// that no non-idempotent request ran more than once.
func (a *audit) checkExecutions() {
	for _, request := range a.notRun {
		if a.ledger.executions(request) > 0 {
			a.recordViolation(driftcheck.NotRun, 1, request+" ran and was refused as not run")
		}
	}
	for _, request := range a.nonIdempotent {
		if a.ledger.executions(request) > 1 {
			a.recordViolation(driftcheck.AtMostOnce, 1, request+" ran more than once")
		}
	}
}
