package driftfront

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// plan is one index version and the requests that a query sends to its shards.
type plan struct {
	version  drifttable.Version
	requests []shardRequest
	// asked is the number of distinct depots that the query asks for.
	asked int
	// unpublished are the depots that the version does not hold.
	unpublished []string
}

// shardRequest is the part of a query that one shard answers.
type shardRequest struct {
	shard  drifttable.Shard
	depots []string
}

// newPlan assigns the wanted depots to the shards of the version, each depot
// once. If wanted is empty, the plan covers all depots.
func newPlan(version drifttable.Version, wanted []string) plan {
	p := plan{version: version, requests: make([]shardRequest, 0, version.Shards.Len())}
	if len(wanted) == 0 {
		for s := range version.Shards.All() {
			p.add(s, s.Depots)
		}
		return p
	}
	left := make(map[string]bool, len(wanted))
	for _, d := range wanted {
		left[d] = true
	}
	for s := range version.Shards.All() {
		p.add(s, takeDepots(left, s.Depots))
	}
	for _, d := range wanted {
		if left[d] {
			delete(left, d)
			p.unpublished = append(p.unpublished, d)
		}
	}
	p.asked += len(p.unpublished)
	return p
}

func (p *plan) add(s drifttable.Shard, depots []string) {
	if len(depots) == 0 {
		return
	}
	p.requests = append(p.requests, shardRequest{shard: s, depots: depots})
	p.asked += len(depots)
}

// takeDepots returns the depots that are in the set, and removes them from it.
func takeDepots(left map[string]bool, depots []string) (taken []string) {
	for _, d := range depots {
		if left[d] {
			delete(left, d)
			taken = append(taken, d)
		}
	}
	return taken
}

// expectedCoverage returns the share of the asked depots for which some
// upstream in service is expected to serve the plan's version.
func (f *Front) expectedCoverage(v *drifttable.View, p plan, since, now time.Time) float64 {
	if p.asked == 0 {
		return 1
	}
	served := 0
	for _, t := range p.requests {
		if f.servable(v, t.shard, p.version.Number, since, now) {
			served += len(t.depots)
		}
	}
	return float64(served) / float64(p.asked)
}

func (f *Front) servable(v *drifttable.View, s drifttable.Shard, version uint64, since, now time.Time) bool {
	for _, u := range s.Upstreams {
		if !v.UpstreamOut(u) && !f.refusals.isRefused(u, version, since, now) {
			return true
		}
	}
	return false
}

// choosePlan returns the plan on the version with the highest expected
// coverage, and among equals the newest. Refusals recorded before the time
// since are ignored.
func (f *Front) choosePlan(v *drifttable.View, c call, since, now time.Time) (best plan, share float64) {
	service, _ := v.Services.Get(c.class.Service)
	share = -1
	for _, version := range service.Versions {
		p := newPlan(version, c.query.Depots)
		expected := f.expectedCoverage(v, p, since, now)
		if expected > share {
			best, share = p, expected
		}
		if share >= 1 {
			break
		}
	}
	return best, share
}
