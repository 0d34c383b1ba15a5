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
	// versions are the index versions that were published.
	versions []uint64
	// ends is when the run ends.
	ends time.Time

	mu       sync.Mutex
	tallies  []*tally
	counts   []driftcheck.Count
	findings []string
	once     []string
	notRun   []string
}

// tally is what the callers saw of one class of work.
type tally struct {
	class    string
	queries  int
	refused  int
	coverage float64
	least    float64
	times    *hdrhistogram.Histogram
	requests []string
	// reasons are those of the refusals.
	reasons []string
}

func newAudit(size driftfake.ServiceSpec, l *ledger, ends time.Time) *audit {
	a := &audit{ledger: l, versions: []uint64{1}, ends: ends}
	for _, s := range size.VersionsDocument(1).Versions[0].Shards {
		a.depots = append(a.depots, s.Depots...)
	}
	for _, p := range driftcheck.Promises() {
		a.counts = append(a.counts, driftcheck.Count{Promise: p})
	}
	for _, w := range works {
		a.tallies = append(a.tallies, &tally{
			class: w.class, least: 1, times: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		})
	}
	return a
}

// maxFindings is how many findings are kept word for word.
const maxFindings = 20

// violate counts violations of a promise. The caller holds the lock.
func (a *audit) violate(p driftcheck.Promise, number uint64, finding string) {
	if number == 0 {
		return
	}
	i := slices.IndexFunc(a.counts, func(c driftcheck.Count) bool { return c.Promise == p })
	a.counts[i].Number += number
	if len(a.findings) < maxFindings {
		a.findings = append(a.findings, string(p)+": "+finding)
	}
}

// tally returns the tally of a class. The caller holds the lock.
func (a *audit) tally(class string) *tally {
	i := slices.IndexFunc(a.tallies, func(t *tally) bool { return t.class == class })
	return a.tallies[i]
}

// answered takes an answer, checks it, and adds it to the tally.
func (a *audit) answered(q driftapi.Query, answer driftapi.Answer, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tally(q.Class)
	t.queries++
	t.requests = append(t.requests, q.Request)
	_ = t.times.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	t.coverage += answer.Coverage()
	t.least = min(t.least, answer.Coverage())
	if isOnce(q) {
		a.once = append(a.once, q.Request)
	}
	a.checkCoverage(q, answer)
	a.checkWhole(q, answer)
	a.checkRead(answer)
}

// refused takes a refusal and adds it to the tally.
func (a *audit) refused(q driftapi.Query, r driftapi.Refusal, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tally(q.Class)
	t.queries++
	t.refused++
	t.reasons = append(t.reasons, r.Reason)
	t.requests = append(t.requests, q.Request)
	if isOnce(q) {
		a.once = append(a.once, q.Request)
	}
	if r.Ran == driftapi.RanNo {
		a.notRun = append(a.notRun, q.Request)
	}
	if cutOff(q, r, took) {
		a.violate(driftcheck.Graceful, 1, q.Request+" cut off: "+r.Detail)
	}
}

func isOnce(q driftapi.Query) bool {
	return q.Class == "reserve"
}

// cutShare is the share of a deadline below which a connection that gave no
// answer was cut off, since the caller would have waited.
const cutShare = 0.9

// cutOff reports whether the connection to a VM ended before the answer. No
// VM in a demo stops other than gracefully. A caller that gave up by itself
// was not cut off.
func cutOff(q driftapi.Query, r driftapi.Refusal, took time.Duration) bool {
	deadline := time.Duration(q.Deadline) * time.Millisecond
	early := r.Reason == "silent" && r.Detail != "" && took < time.Duration(cutShare*float64(deadline))
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
		a.violate(driftcheck.Coverage, 1, q.Request+" does not state the depots that were asked for")
	}
	if answer.Complete != (len(answer.Missing) == 0) {
		a.violate(driftcheck.Coverage, 1, q.Request+" is complete with depots missing, or the other way round")
	}
}

func sameDepots(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// checkWhole asserts that the answer is the request's own and holds the one
// row that a stand-in has for each searched depot.
func (a *audit) checkWhole(q driftapi.Query, answer driftapi.Answer) {
	if answer.Request != q.Request {
		a.violate(driftcheck.Whole, 1, q.Request+" got the answer to "+answer.Request)
	}
	var depots []string
	for _, row := range answer.Rows {
		depots = append(depots, row.Depot)
	}
	if !sameDepots(depots, answer.Searched) {
		a.violate(driftcheck.Whole, 1, q.Request+" has not one row for each searched depot")
	}
	a.checkRows(q, answer)
}

// checkRows asserts that every row was found by this search, in the index
// version that the answer states.
func (a *audit) checkRows(q driftapi.Query, answer driftapi.Answer) {
	for _, row := range answer.Rows {
		if row.Text == driftfake.RowText(q.Text, answer.Version) {
			continue
		}
		if slices.ContainsFunc(a.versions, func(v uint64) bool { return row.Text == driftfake.RowText(q.Text, v) }) {
			a.violate(driftcheck.Snapshot, 1, q.Request+" has a row of another version than it states")
			return
		}
		a.violate(driftcheck.Whole, 1, q.Request+" got a row of another search")
		return
	}
}

// checkRead asserts that a stand-in has read each searched depot for this
// request in the version that the answer states.
func (a *audit) checkRead(answer driftapi.Answer) {
	if !slices.Contains(a.versions, answer.Version) {
		a.violate(driftcheck.Snapshot, 1, answer.Request+" states a version that was not published")
	}
	for _, d := range answer.Searched {
		read := a.ledger.versions(answer.Request, d)
		if len(read) == 0 {
			a.violate(driftcheck.Coverage, 1, answer.Request+" states depot "+d+", which was not read")
			continue
		}
		if !slices.Contains(read, answer.Version) {
			a.violate(driftcheck.Snapshot, 1, answer.Request+" has depot "+d+" of another version")
		}
	}
}

// audit adds what is known at the end: the counts of the stand-ins and those
// of the checks inside all VMs.
func (d *Demo) audit(a *audit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkRuns()
	for _, s := range d.stands {
		c := s.upstream.Counts()
		a.violate(driftcheck.Cold, uint64(c.ColdOverload), s.upstream.Name+" was overloaded while cold")
		a.violate(driftcheck.Once, uint64(c.DuplicateRuns), s.upstream.Name+" ran a request again")
		a.violate(driftcheck.Leaving, uint64(c.AfterLeaving), s.upstream.Name+" got work while leaving")
	}
	a.violate(driftcheck.Out, d.ledger.late(), "new work in a failure domain that is out")
	for _, v := range d.all() {
		for _, c := range v.process.Checker().Violations() {
			a.violate(c.Promise, c.Number, "seen inside "+v.name)
		}
	}
}

// checkRuns asserts that no request ran that was refused as not run, and
// that none that is not idempotent ran at two stand-ins.
func (a *audit) checkRuns() {
	for _, request := range a.notRun {
		if a.ledger.runs(request) > 0 {
			a.violate(driftcheck.NotRun, 1, request+" ran and was refused as not run")
		}
	}
	for _, request := range a.once {
		if a.ledger.runs(request) > 1 {
			a.violate(driftcheck.Once, 1, request+" ran more than once")
		}
	}
}
