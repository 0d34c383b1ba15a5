package driftfront

import (
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// epochTable remembers the published layouts and marks of each service that
// some VM may still use. It is safe for concurrent use.
//
// A request that is not idempotent has one affinity replica, which every VM
// must choose alike. While VMs may disagree on the layout or the marks, only a
// request whose affinity replica is the same in all of them may run.
type epochTable struct {
	stabilizationDelay time.Duration

	mu   sync.Mutex
	rows map[string][]epoch
}

// epoch is the published configuration of a service from one moment on.
type epoch struct {
	since     time.Time
	revisions epochRevisions
	versions  []drifttable.Version
	// out holds the upstreams that are published as out.
	out map[string]bool
}

// epochRevisions holds the revisions of the documents that define an epoch,
// and the number of the newest index version.
type epochRevisions struct {
	versions, upstreams, domains, marks, newest uint64
}

func newEpochTable(stabilizationDelay time.Duration) *epochTable {
	return &epochTable{stabilizationDelay: stabilizationDelay, rows: make(map[string][]epoch)}
}

// observe records what the view publishes for each service.
func (t *epochTable) observe(v *drifttable.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range v.Services.All() {
		t.observeService(v, s, now)
	}
}

func (t *epochTable) observeService(v *drifttable.View, s drifttable.Service, now time.Time) {
	rows := t.rows[s.Name]
	next := currentRevisions(v, s)
	if len(rows) == 0 || rows[len(rows)-1].revisions != next {
		rows = append(rows, epoch{
			since: now, revisions: next, versions: s.Versions, out: publishedOut(v, s),
		})
	}
	for len(rows) > 1 && now.Sub(rows[1].since) >= t.stabilizationDelay {
		rows = rows[1:]
	}
	t.rows[s.Name] = slices.Clip(rows)
}

func currentRevisions(v *drifttable.View, s drifttable.Service) epochRevisions {
	number := func(key string) uint64 {
		r, _ := v.Revisions.Get(key)
		return r.Number
	}
	g := epochRevisions{
		versions:  number(driftdocument.KeyVersionsPrefix + s.Name),
		upstreams: number(driftdocument.KeyUpstreamsPrefix + s.Name),
		domains:   number(driftdocument.KeyDomains),
		marks:     number(driftdocument.KeyMarks),
	}
	if len(s.Versions) > 0 {
		g.newest = s.Versions[0].Number
	}
	return g
}

// publishedOut returns the upstreams of the service that are published as out.
func publishedOut(v *drifttable.View, s drifttable.Service) map[string]bool {
	out := make(map[string]bool)
	for _, version := range s.Versions {
		for shard := range version.Shards.All() {
			for _, u := range shard.Upstreams {
				if v.PublishedOut(u) {
					out[u] = true
				}
			}
		}
	}
	return out
}

// affinityReplica returns the only replica at which a request for the depots
// may run. The result stable is false while some VM may choose another. The
// replica is "" if none is in service.
func (t *epochTable) affinityReplica(
	v *drifttable.View, s drifttable.Service, depots []string, request string, now time.Time,
) (replica string, stable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeService(v, s, now)
	rows := t.rows[s.Name]
	replica = rows[len(rows)-1].affinityReplica(depots, request)
	if now.Sub(rows[0].since) < t.stabilizationDelay {
		return replica, false
	}
	for _, e := range rows {
		if e.affinityReplica(depots, request) != replica {
			return replica, false
		}
	}
	return replica, true
}

// affinityReplica returns the first replica in rendezvous order among those
// that serve the depots in any published version.
func (e epoch) affinityReplica(depots []string, request string) string {
	var upstreams []string
	for _, version := range e.versions {
		for shard := range version.Shards.All() {
			if !holdsAny(shard, depots) {
				continue
			}
			for _, u := range shard.Upstreams {
				if !e.out[u] {
					upstreams = append(upstreams, u)
				}
			}
		}
	}
	return drifttable.HighestRanked(request, upstreams)
}

func holdsAny(s drifttable.Shard, depots []string) bool {
	return slices.ContainsFunc(depots, func(d string) bool { return slices.Contains(s.Depots, d) })
}
