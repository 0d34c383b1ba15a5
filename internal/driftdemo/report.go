package driftdemo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// Report is the result of a run.
type Report struct {
	Classes    []ClassReport `json:"classes"`
	Violations Violations    `json:"violations"`
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// RefusalReasons has one line for each class and reason of refusals, with
	// the number of refusals.
	RefusalReasons []string `json:"-"`
	// Findings describes the first violations.
	Findings []string `json:"found,omitempty"`
}

// ClassReport sums up the queries of one class. P50 and P99 are the latencies
// of answers in milliseconds. Coverage and LeastCoverage are the mean and the
// smallest coverage of an answer. ExtraLoad is the number of requests to
// upstreams beyond one for each shard, as a share of those.
type ClassReport struct {
	Name          string  `json:"name"`
	Queries       int     `json:"queries"`
	P50           float64 `json:"p50"`
	P99           float64 `json:"p99"`
	Coverage      float64 `json:"coverage"`
	LeastCoverage float64 `json:"least"`
	Refused       int     `json:"refused"`
	ExtraLoad     float64 `json:"extra"`
}

// Violations is the number of violations of each invariant. It marshals to one
// JSON object, with the names of the invariants as keys.
type Violations []driftcheck.Count

// Total returns the number of violations of all invariants.
func (v Violations) Total() uint64 {
	var total uint64
	for _, c := range v {
		total += c.Number
	}
	return total
}

// MarshalJSON implements json.Marshaler.
func (v Violations) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, c := range v {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(c.Invariant)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, "%s:%d", name, c.Number)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// newReport returns the report of an audit.
func newReport(a *audit, length time.Duration) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{Violations: a.violations, Seconds: length.Seconds(), Findings: a.findings}
	for _, t := range a.tallies {
		r.Classes = append(r.Classes, t.report(a.ledger))
		r.RefusalReasons = append(r.RefusalReasons, t.countRefusalReasons()...)
	}
	return r
}

// countRefusalReasons returns one line for each reason of the class's refusals,
// with the number of refusals.
func (t *tally) countRefusalReasons() []string {
	reasons := slices.Sorted(slices.Values(t.refusalReasons))
	var counted []string
	for len(reasons) > 0 {
		end := slices.IndexFunc(reasons, func(r string) bool { return r != reasons[0] })
		if end < 0 {
			end = len(reasons)
		}
		counted = append(counted, fmt.Sprintf("%s refused: %s %d", t.class, reasons[0], end))
		reasons = reasons[end:]
	}
	return counted
}

func (t *tally) report(l *ledger) ClassReport {
	c := ClassReport{
		Name: t.class, Queries: t.queries, Refused: t.refused, LeastCoverage: t.leastCoverage,
		P50: float64(t.latencies.ValueAtQuantile(50)) / 1000,
		P99: float64(t.latencies.ValueAtQuantile(99)) / 1000,
	}
	if answered := t.queries - t.refused; answered > 0 {
		c.Coverage = t.coverageSum / float64(answered)
	}
	var first, extra int
	for _, request := range t.requests {
		f, e := l.arrivals(request)
		first, extra = first+f, extra+e
	}
	if first > 0 {
		c.ExtraLoad = float64(extra) / float64(first)
	}
	return c
}

// Write writes the report as human-readable tables.
func (r Report) Write(w io.Writer) (err error) {
	var table, rest strings.Builder
	table.WriteString("class\tqueries\tp50 ms\tp99 ms\tcoverage\tleast\trefused\textra load\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(&table, "%s\t%d\t%.1f\t%.1f\t%.4f\t%.3f\t%d\t%.1f%%\t\n",
			c.Name, c.Queries, c.P50, c.P99, c.Coverage, c.LeastCoverage, c.Refused, 100*c.ExtraLoad)
	}
	aligned := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(aligned, table.String()); err != nil {
		return err
	}
	if err := aligned.Flush(); err != nil {
		return err
	}
	rest.WriteString("\nviolations:")
	for _, c := range r.Violations {
		fmt.Fprintf(&rest, " %s %d", c.Invariant, c.Number)
	}
	fmt.Fprintf(&rest, "\n%.1f s\n", r.Seconds)
	for _, line := range r.RefusalReasons {
		rest.WriteString(line + "\n")
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&rest, "violated %s\n", f)
	}
	_, err = io.WriteString(w, rest.String())
	return err
}
