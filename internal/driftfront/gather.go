package driftfront

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// gather merges the replies to one query. It belongs to one goroutine.
type gather struct {
	checker *driftcheck.Checker
	plan    plan
	rows    []driftapi.Row
	merged  []string
	reasons []driftshard.Reason
}

func newGather(checker *driftcheck.Checker, p plan) *gather {
	reasons := make([]driftshard.Reason, len(p.parts))
	for i := range reasons {
		reasons[i] = driftshard.ReasonLate
	}
	return &gather{checker: checker, plan: p, reasons: reasons}
}

// add merges a whole reply of the pinned version, and notes the reason of
// any other result.
func (g *gather) add(r partResult) {
	switch result := r.result.(type) {
	case driftshard.Done:
		g.reasons[r.part] = g.merge(g.plan.parts[r.part], result)
	case driftshard.NotRun:
		g.reasons[r.part] = result.Reason
	case driftshard.Unknown:
		g.reasons[r.part] = result.Reason
	}
}

func (g *gather) merge(t part, d driftshard.Done) driftshard.Reason {
	if d.Version != g.plan.version.Number {
		return driftshard.ReasonVersion
	}
	if !slices.Equal(sorted(d.Depots), sorted(t.depots)) {
		return driftshard.ReasonShort
	}
	g.checker.OneSnapshot(g.plan.query.Request, g.plan.version.Number, d.Version)
	for _, row := range d.Rows {
		g.rows = append(g.rows, driftapi.Row(row))
	}
	g.merged = append(g.merged, d.Depots...)
	return ""
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

// answer states what was searched and what is missing.
func (g *gather) answer(started time.Time) driftapi.Answer {
	a := driftapi.Answer{
		Request: g.plan.query.Request, Version: g.plan.version.Number, Rows: g.rows,
		Searched: []string{}, Missing: []driftapi.Missing{},
	}
	var asked, missing []string
	for i, t := range g.plan.parts {
		asked = append(asked, t.depots...)
		if g.reasons[i] == "" {
			a.Searched = append(a.Searched, t.depots...)
			continue
		}
		for _, d := range t.depots {
			missing = append(missing, d)
			a.Missing = append(a.Missing, driftapi.Missing{Depot: d, Reason: string(g.reasons[i])})
		}
	}
	a.Complete = len(a.Missing) == 0
	a.Time = float64(time.Since(started)) / float64(time.Millisecond)
	g.checker.TrueCoverage(a.Request, asked, a.Searched, missing, g.merged)
	return a
}
