package driftfront

import (
	"slices"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// partialAnswer merges the replies to one query on one version. It belongs to
// one goroutine.
type partialAnswer struct {
	checker *driftcheck.Checker
	request string
	plan    plan
	rows    []driftapi.Row
	// repliedDepots holds the depots of the merged reply to each shard
	// request, and mergedDepots is their number.
	repliedDepots [][]string
	mergedDepots  int
	// missingReasons holds, for each shard request, why it has no reply.
	missingReasons []driftshard.Reason
}

func newPartialAnswer(checker *driftcheck.Checker, request string, p plan) *partialAnswer {
	return &partialAnswer{checker: checker, request: request, plan: p, repliedDepots: make([][]string, len(p.requests))}
}

// rejectReason returns why a reply may not be merged, or "" if it may.
func (g *partialAnswer) rejectReason(t shardRequest, a *attempt, d driftshard.Done) driftshard.Reason {
	switch {
	case d.Attempt != a.id:
		return driftshard.ReasonCrossed
	case d.Version != g.plan.version.Number:
		return driftshard.ReasonVersion
	case len(d.Rows) != d.Count, !sameNames(d.Depots, t.depots):
		return driftshard.ReasonShort
	case !rowsWithin(d.Rows, t.depots):
		return driftshard.ReasonMalformed
	}
	return ""
}

// sameNames reports whether two lists hold the same names in any order.
func sameNames(a, b []string) bool {
	if slices.Equal(a, b) {
		return true
	}
	if len(a) != len(b) {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// rowsWithin reports whether every row belongs to one of the depots.
func rowsWithin(rows []driftshard.Row, depots []string) bool {
	last := ""
	for _, r := range rows {
		if r.Depot == last {
			continue
		}
		if !slices.Contains(depots, r.Depot) {
			return false
		}
		last = r.Depot
	}
	return true
}

// merge adds a reply that rejectReason has accepted.
func (g *partialAnswer) merge(a *attempt, d driftshard.Done) {
	g.checker.OneSnapshot(g.request, g.plan.version.Number, d.Version)
	g.checker.CompleteMatchingReply(g.request, a.id, d.Attempt, len(d.Rows), d.Count)
	g.repliedDepots[a.task] = d.Depots
	g.mergedDepots += len(d.Depots)
	g.rows = slices.Grow(g.rows, len(d.Rows))
	for _, row := range d.Rows {
		g.rows = append(g.rows, driftapi.Row(row))
	}
}

// coverage returns the share of the asked depots that is merged.
func (g *partialAnswer) coverage() float64 {
	if g.plan.asked == 0 {
		return 1
	}
	return float64(g.mergedDepots) / float64(g.plan.asked)
}

// answer states what was searched and what is missing.
func (g *partialAnswer) answer() driftapi.Answer {
	a := driftapi.Answer{
		Request: g.request, Version: g.plan.version.Number, Rows: g.rows,
		Searched: make([]string, 0, g.plan.asked), Missing: []driftapi.Missing{},
	}
	asked := make([]string, 0, g.plan.asked)
	missing := make([]string, 0, g.plan.asked-g.mergedDepots)
	for i, t := range g.plan.requests {
		asked = append(asked, t.depots...)
		if g.repliedDepots[i] != nil {
			a.Searched = append(a.Searched, t.depots...)
			continue
		}
		missing = append(missing, t.depots...)
		a.Missing = appendMissing(a.Missing, t.depots, g.missingReasons[i])
	}
	asked = append(asked, g.plan.unpublished...)
	missing = append(missing, g.plan.unpublished...)
	a.Missing = appendMissing(a.Missing, g.plan.unpublished, driftshard.ReasonUnpublished)
	a.Complete = len(a.Missing) == 0
	g.checker.AccurateCoverage(a.Request, asked, a.Searched, missing, slices.Concat(g.repliedDepots...))
	return a
}

func appendMissing(missing []driftapi.Missing, depots []string, reason driftshard.Reason) []driftapi.Missing {
	for _, d := range depots {
		missing = append(missing, driftapi.Missing{Depot: d, Reason: string(reason)})
	}
	return missing
}

// commonReason returns the most frequent reason for missing replies.
func (g *partialAnswer) commonReason() driftshard.Reason {
	common, most := driftshard.ReasonLate, 0
	for _, r := range g.missingReasons {
		number := 0
		for _, other := range g.missingReasons {
			if r == other {
				number++
			}
		}
		if number > most {
			common, most = r, number
		}
	}
	return common
}
