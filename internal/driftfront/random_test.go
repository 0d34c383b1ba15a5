package driftfront_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// The seed is fixed so that every run gives the same result. The flag
// -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fault is the behavior of an upstream for one shard request.
type fault int

const (
	healthy fault = iota
	slow
	silent
	late
	crossed
	otherVersion
	short
	otherDepots
	foreignRow
	unknown
	refusedVersion
	refusedLoad
	refusedOwner
	unreachable
	faultCount
)

// scenario is a drawn test run: the faults of each upstream in order, and the
// queries.
type scenario struct {
	faults  []int
	queries []driftapi.Query
}

// faultsPerUpstream is the number of faults drawn for each upstream. They
// repeat in a cycle.
const faultsPerUpstream = 5

// TestRandomFaults draws results of shard requests in any order. Every answer
// must hold only whole replies of one snapshot and state its coverage exactly. A
// request refused as not run must not have run. One that is not idempotent must
// run at most once.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = r.run() })
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "\n"))
		}
	})
}

func drawScenario(rt *rapid.T) scenario {
	var r scenario
	total := shardCount * replicaCount * faultsPerUpstream
	kind := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, int(faultCount)-1))
	r.faults = rapid.SliceOfN(kind, total, total).Draw(rt, "faults")
	depots := []string{"d-1-1", "d-1-2", "d-2-1", "d-4-2", "d-9-9"}
	for i := range rapid.IntRange(1, 6).Draw(rt, "queries") {
		class := rapid.SampledFrom([]string{"counter", "strict", "reserve"}).Draw(rt, "class")
		q := driftapi.Query{Request: fmt.Sprintf("q-%d", i), Class: class, Text: class, Deadline: 400}
		q.Depots = rapid.SliceOfN(rapid.SampledFrom(depots), 0, 4).Draw(rt, "depots")
		if class == "reserve" {
			q.Request = rapid.SampledFrom([]string{"once-1", "once-2"}).Draw(rt, "id")
			q.Depots = []string{"d-1-1"}
		}
		r.queries = append(r.queries, q)
	}
	return r
}

// faultInjector serves the shard requests of a scenario and counts how often
// each query ran.
type faultInjector struct {
	faults []int
	mu     sync.Mutex
	counts map[string]int
	ran    map[string]int
}

func (r scenario) run() (problems []string) {
	b := &faultInjector{faults: r.faults, counts: make(map[string]int), ran: make(map[string]int)}
	s := newHarness(view(2, 1))
	s.reply = b.reply
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, q := range r.queries {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			started := time.Now()
			o := s.front.Query(context.Background(), q)
			found := b.checkOutcome(q, o, time.Since(started))
			mu.Lock()
			defer mu.Unlock()
			problems = append(problems, found...)
		})
	}
	group.Wait()
	time.Sleep(time.Second) // late replies arrive after the answers
	for id, runs := range b.ran {
		if strings.HasPrefix(id, "once") && runs > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
	if s.checker.Total() > 0 {
		problems = append(problems, fmt.Sprintf("%+v", s.checker.Violations()))
	}
	return problems
}

// next returns the next fault of an upstream.
func (b *faultInjector) next(r driftshard.Request) fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.counts[r.Upstream]
	b.counts[r.Upstream]++
	row := int(r.Upstream[2]-'1')*replicaCount + int(replica(r.Upstream)-'a')
	return fault(b.faults[row*faultsPerUpstream+n%faultsPerUpstream])
}

func (b *faultInjector) recordRun(r driftshard.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran[r.Query]++
}

func (b *faultInjector) reply(ctx context.Context, _ string, r driftshard.Request) driftshard.Result {
	f := b.next(r)
	switch f {
	case refusedVersion:
		return notRun(driftshard.ReasonVersion)
	case refusedLoad:
		return notRun(driftshard.ReasonShed)
	case refusedOwner:
		return driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: "vm-4"}
	case unreachable:
		return notRun(driftshard.ReasonUnreachable)
	default:
	}
	b.recordRun(r)
	d := done(r)
	switch f {
	case slow:
		return after(ctx, 100*time.Millisecond, d)
	case silent:
		<-ctx.Done()
		return driftshard.Unknown{Reason: driftshard.ReasonSilent}
	case late:
		<-ctx.Done()
		time.Sleep(time.Millisecond)
	case crossed:
		d.Attempt += "x"
	case otherVersion:
		r.Version = 3 - r.Version
		d = done(r)
	case short:
		d.Rows = d.Rows[1:]
	case otherDepots:
		d.Depots = []string{"d-3-1"}
	case foreignRow:
		d.Rows[0].Depot = "d-3-1"
	case unknown:
		return driftshard.Unknown{Reason: driftshard.ReasonUnreachable}
	default:
	}
	return after(ctx, replyTime, d)
}

// checkOutcome returns the problems of an outcome.
func (b *faultInjector) checkOutcome(q driftapi.Query, o driftfront.Outcome, took time.Duration) (problems []string) {
	wrong := func(what string) { problems = append(problems, fmt.Sprintf("%s: %s: %+v", q.Request, what, o)) }
	if took > time.Duration(q.Deadline)*time.Millisecond {
		wrong("answered after the deadline")
	}
	switch o := o.(type) {
	case driftfront.Refused:
		b.mu.Lock()
		defer b.mu.Unlock()
		if o.Refusal.Ran == driftapi.RanNo && b.ran[q.Request] > 0 {
			wrong("refused as not run, but it ran")
		}
	case driftfront.Answered:
		problems = append(problems, checkAnswer(q, o.Answer)...)
	}
	return problems
}

func checkAnswer(q driftapi.Query, a driftapi.Answer) (problems []string) {
	wrong := func(what string) { problems = append(problems, fmt.Sprintf("%s: %s: %+v", q.Request, what, a)) }
	var rows, stated []string
	for _, row := range a.Rows {
		rows = append(rows, row.Depot)
		if row.Text != fmt.Sprintf("%s %s v%d", q.Request, q.Text, a.Version) {
			wrong("row of another snapshot or request")
		}
	}
	if !slices.Equal(sorted(rows), sorted(a.Searched)) {
		wrong("rows and searched depots differ")
	}
	stated = append(stated, a.Searched...)
	for _, m := range a.Missing {
		stated = append(stated, m.Depot)
	}
	asked := slices.Compact(sorted(q.Depots))
	if len(asked) == 0 {
		for s := range layout(1).Shards.All() {
			asked = append(asked, s.Depots...)
		}
	}
	if !slices.Equal(sorted(stated), sorted(asked)) {
		wrong("searched and missing are not what was asked")
	}
	return problems
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}
