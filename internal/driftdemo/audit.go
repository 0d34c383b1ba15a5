package driftdemo

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// audit checks every outcome that callers get against what the stand-ins
// saw, apart from the checks inside the program. It is safe for concurrent
// use.
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

// tally is what the callers saw of one class of work.
type tally struct {
	class       string
	queries     int
	refused     int
	coverageSum float64
	minCoverage float64
	latencies   *hdrhistogram.Histogram
	requests    []string
	// refusalReasons are those of the refusals.
	refusalReasons []string
}

func newAudit(size driftfake.Size, l *ledger, ends time.Time) *audit {
	a := &audit{ledger: l, publishedVersions: []uint64{1}, endsAt: ends}
	for _, s := range size.VersionsDocument(1).Versions[0].Shards {
		a.depots = append(a.depots, s.Depots...)
	}
	for _, p := range driftcheck.Promises() {
		a.violations = append(a.violations, driftcheck.Count{Promise: p})
	}
	for _, w := range workloads {
		a.tallies = append(a.tallies, &tally{
			class: w.class, minCoverage: 1, latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		})
	}
	return a
}

// maxFindings is how many findings are kept word for word.
const maxFindings = 20

// recordViolation counts violations of a promise. The caller holds the lock.
func (a *audit) recordViolation(p driftcheck.Promise, number uint64, finding string) {
	if number == 0 {
		return
	}
	i := slices.IndexFunc(a.violations, func(c driftcheck.Count) bool { return c.Promise == p })
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

// recordAnswer takes an answer, checks it, and adds it to the tally.
func (a *audit) recordAnswer(q driftapi.Query, answer driftapi.Answer, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tallyOf(q.Class)
	t.queries++
	t.requests = append(t.requests, q.Request)
	_ = t.latencies.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	t.coverageSum += answer.Coverage()
	t.minCoverage = min(t.minCoverage, answer.Coverage())
	if isNonIdempotent(q) {
		a.nonIdempotent = append(a.nonIdempotent, q.Request)
	}
	a.checkCoverage(q, answer)
	a.checkIntegrity(q, answer)
	a.checkReads(answer)
}

// recordRefusal takes a refusal and adds it to the tally.
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
		a.recordViolation(driftcheck.Graceful, 1, q.Request+" cut off: "+r.Detail)
	}
}

func isNonIdempotent(q driftapi.Query) bool {
	return q.Class == "reserve"
}

// cutOffShare is the share of a deadline below which a connection that gave no
// answer was cut off, since the caller would have waited.
const cutOffShare = 0.9

// wasCutOff reports whether the connection to a VM ended before the answer. No
// VM in a demo stops other than gracefully. A caller that gave up by itself
// was not cut off.
func wasCutOff(q driftapi.Query, r driftapi.Refusal, took time.Duration) bool {
	deadline := time.Duration(q.Deadline) * time.Millisecond
	early := r.Reason == "silent" && r.Detail != "" && took < time.Duration(cutOffShare*float64(deadline))
	return early && !strings.HasSuffix(r.Detail, context.Canceled.Error()) &&
		!strings.HasSuffix(r.Detail, context.DeadlineExceeded.Error())
}

// checkCoverage asserts that searched and missing depots make up those that
// were asked for, each once.
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

// checkIntegrity asserts that the answer is the request's own and holds the one
// row that a stand-in has for each searched depot.
func (a *audit) checkIntegrity(q driftapi.Query, answer driftapi.Answer) {
	if answer.Request != q.Request {
		a.recordViolation(driftcheck.Whole, 1, q.Request+" got the answer to "+answer.Request)
	}
	var depots []string
	for _, row := range answer.Rows {
		depots = append(depots, row.Depot)
	}
	if !sameDepots(depots, answer.Searched) {
		a.recordViolation(driftcheck.Whole, 1, q.Request+" has not one row for each searched depot")
	}
	a.checkRowOrigin(q, answer)
}

// checkRowOrigin asserts that every row was found by this search, in the index
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
		a.recordViolation(driftcheck.Whole, 1, q.Request+" got a row of another search")
		return
	}
}

// checkReads asserts that a stand-in has read each searched depot for this
// request in the version that the answer states.
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

// collectFinalCounts adds what is known at the end: the counts of the stand-ins and those
// of the checks inside all VMs.
func (d *Demo) collectFinalCounts(a *audit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkExecutions()
	for _, s := range d.upstreams {
		c := s.upstream.Counts()
		a.recordViolation(driftcheck.Cold, uint64(c.ColdOver), s.upstream.Name+" was overloaded while cold")
		a.recordViolation(driftcheck.Once, uint64(c.Repeats), s.upstream.Name+" ran a request again")
		a.recordViolation(driftcheck.Leaving, uint64(c.AfterLeaving), s.upstream.Name+" got work while leaving")
	}
	a.recordViolation(driftcheck.Out, d.ledger.lateArrivals(), "new work in a failure domain that is out")
	for _, v := range d.allVMs() {
		for _, c := range v.process.Checker().Violations() {
			a.recordViolation(c.Promise, c.Number, "seen inside "+v.name)
		}
	}
}

// checkExecutions asserts that no request ran that was refused as not run, and
// that none that is not idempotent ran at two stand-ins.
func (a *audit) checkExecutions() {
	for _, request := range a.notRun {
		if a.ledger.executions(request) > 0 {
			a.recordViolation(driftcheck.NotRun, 1, request+" ran and was refused as not run")
		}
	}
	for _, request := range a.nonIdempotent {
		if a.ledger.executions(request) > 1 {
			a.recordViolation(driftcheck.Once, 1, request+" ran more than once")
		}
	}
}
