package driftfront_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// Size of the test fleet, and the time of a normal reply.
const (
	shardCount   = 4
	replicaCount = 3
	replyTime    = 3 * time.Millisecond
)

// harness is a Sender whose results the test provides, and the front that uses
// it.
type harness struct {
	t       *testing.T
	front   *driftfront.Front
	views   *drifttable.ViewHolder
	events  *driftevent.Log
	checker *driftcheck.Checker
	reply   func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result

	// discardSent is set to keep no record of the requests.
	discardSent bool

	mu   sync.Mutex
	sent []sentRequest
}

// sentRequest is a request that the front sent.
type sentRequest struct {
	vm      string
	request driftshard.Request
}

// newHarness returns a front at vm-1 in a fleet of four VMs and four shards,
// each with two depots and three replicas.
func newHarness(view drifttable.View, opts ...driftfront.Option) *harness {
	s := &harness{views: drifttable.NewViewHolder(view), events: driftevent.NewLog("vm-1", 1)}
	s.checker = driftcheck.NewChecker(s.events)
	s.reply = func(ctx context.Context, _ string, r driftshard.Request) driftshard.Result {
		return after(ctx, replyTime, done(r))
	}
	opts = append([]driftfront.Option{driftfront.WithSeed(1), driftfront.WithStabilizationDelay(0), driftfront.WithMaxViewAge(time.Hour)}, opts...)
	s.front = driftfront.New(s.views, s, s.events, s.checker, opts...)
	return s
}

// Send implements driftshard.Sender.
func (s *harness) Send(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
	if s.discardSent {
		return s.reply(ctx, vm, r)
	}
	s.mu.Lock()
	s.sent = append(s.sent, sentRequest{vm, r})
	s.mu.Unlock()
	return s.reply(ctx, vm, r)
}

func (s *harness) sentRequests() []sentRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sentRequest(nil), s.sent...)
}

func done(r driftshard.Request) driftshard.Done {
	d := driftshard.Done{Attempt: r.Attempt, Version: r.Version, Depots: r.Depots, Count: len(r.Depots)}
	for _, depot := range r.Depots {
		d.Rows = append(d.Rows, driftshard.Row{Depot: depot, Text: fmt.Sprintf("%s %s v%d", r.Query, r.Text, r.Version)})
	}
	return d
}

// after returns the result after the wait, or Unknown if ctx is done first.
func after(ctx context.Context, wait time.Duration, result driftshard.Result) driftshard.Result {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return result
	case <-ctx.Done():
		return driftshard.Unknown{Reason: driftshard.ReasonCanceled}
	}
}

func notRun(reason driftshard.Reason) driftshard.Result {
	return driftshard.NotRun{Reason: reason}
}

// layout returns a version in which shard s-i holds depots d-i-1 and d-i-2.
func layout(number uint64) drifttable.Version {
	var shards []drifttable.Shard
	for i := 1; i <= shardCount; i++ {
		s := drifttable.Shard{Name: fmt.Sprintf("s-%d", i)}
		for j := 1; j <= 2; j++ {
			s.Depots = append(s.Depots, fmt.Sprintf("d-%d-%d", i, j))
		}
		for j := range replicaCount {
			s.Upstreams = append(s.Upstreams, fmt.Sprintf("u-%d%c", i, 'a'+rune(j)))
		}
		shards = append(shards, s)
	}
	return drifttable.Version{Number: number, Shards: drifttable.NewTable(shards...)}
}

// view returns a view of the test fleet with the given versions, newest
// first. Replica a of every shard is in the domain of vm-1.
func view(numbers ...uint64) drifttable.View {
	v := drifttable.View{Self: "vm-1", BuiltAt: time.Now()}
	var vms []drifttable.VM
	var domains []drifttable.Domain
	for i := 1; i <= 4; i++ {
		vms = append(vms, drifttable.VM{Name: fmt.Sprintf("vm-%d", i), Domain: domain(i - 1), Incarnation: 7})
	}
	for i := range replicaCount {
		domains = append(domains, drifttable.Domain{Name: domain(i)})
	}
	var upstreams []drifttable.Upstream
	var owners []drifttable.Owner
	for i := 1; i <= shardCount; i++ {
		for j := range replicaCount {
			u := fmt.Sprintf("u-%d%c", i, 'a'+rune(j))
			upstreams = append(upstreams, drifttable.Upstream{Name: u, Service: "stock", Domain: domain(j)})
			owner := fmt.Sprintf("vm-%d", j+1)
			owners = append(owners, drifttable.Owner{Upstream: u, Name: owner, Candidates: []string{owner, "vm-4"}})
		}
	}
	service := drifttable.Service{Name: "stock"}
	for _, n := range numbers {
		service.Versions = append(service.Versions, layout(n))
	}
	v.VMs, v.Domains = drifttable.NewTable(vms...), drifttable.NewTable(domains...)
	v.Upstreams, v.Owners = drifttable.NewTable(upstreams...), drifttable.NewTable(owners...)
	v.Services = drifttable.NewTable(service)
	v.Classes = drifttable.NewTable(
		drifttable.Class{Name: "counter", Service: "stock", LatencyObjective: 60 * time.Millisecond, CoverageFloor: 0.75},
		drifttable.Class{Name: "strict", Service: "stock", LatencyObjective: 60 * time.Millisecond, CoverageFloor: 1},
		drifttable.Class{Name: "night", Service: "stock", LatencyObjective: 2 * time.Second, CoverageFloor: 1},
		drifttable.Class{Name: "reserve", Service: "stock", LatencyObjective: 100 * time.Millisecond, CoverageFloor: 1, NonIdempotent: true},
	)
	return v
}

func domain(i int) string {
	return "domain-" + string('a'+rune(i%replicaCount))
}

// query asks for the given depots, or for all if there are none, within 500
// ms.
func (s *harness) query(class string, depots ...string) driftfront.Outcome {
	return s.front.Query(context.Background(), driftapi.Query{
		Request: "q-1", Class: class, Text: "church", Deadline: 500, Depots: depots, Explain: true,
	})
}

// withHarness runs a test in virtual time over a harness with version 1.
func withHarness(t *testing.T, run func(s *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(view(1))
		s.t = t
		run(s)
		assertNoViolations(t, s)
	})
}

func assertNoViolations(t *testing.T, s *harness) {
	t.Helper()
	require.Zero(t, s.checker.Total(), "%+v", s.checker.Violations())
}

func assertAnswered(t *testing.T, o driftfront.Outcome) driftapi.Answer {
	t.Helper()
	answered, ok := o.(driftfront.Answered)
	require.True(t, ok, "%+v", o)
	return answered.Answer
}

func assertRefused(t *testing.T, o driftfront.Outcome, ran driftapi.Ran, reason driftshard.Reason) (field string) {
	t.Helper()
	refused, ok := o.(driftfront.Refused)
	require.True(t, ok, "%+v", o)
	require.Equal(t, ran, refused.Refusal.Ran)
	require.Equal(t, string(reason), refused.Refusal.Reason)
	return refused.Refusal.Field
}

// assertReason asserts that every missing depot is missing for the reason.
func assertReason(t *testing.T, a driftapi.Answer, reason driftshard.Reason, depots ...string) {
	t.Helper()
	var missing []string
	for _, m := range a.Missing {
		missing = append(missing, m.Depot)
		require.Equal(t, string(reason), m.Reason)
	}
	require.ElementsMatch(t, depots, missing)
}

// replica returns the letter of an upstream's replica.
func replica(upstream string) byte {
	return upstream[strings.LastIndexByte(upstream, '-')+2]
}
