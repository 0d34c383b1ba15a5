package driftfront_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

func TestNonIdempotent(t *testing.T) {
	t.Run("a request runs at the same affinity replica on every VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			here, there := newHarness(view(1)), newHarness(viewOf("vm-3"))
			assertAnswered(t, here.query("reserve", "d-1-1"))
			assertAnswered(t, there.query("reserve", "d-1-1"))
			assert.Equal(t, here.sentRequests()[0].request.Upstream, there.sentRequests()[0].request.Upstream)
		})
	})
	t.Run("only a refusal is retried, and only at the affinity replica", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy, refusals := s.reply, 3 // attempts run one at a time, so no lock is needed
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if refusals--; refusals >= 0 {
					return notRun(driftshard.ReasonUnreachable)
				}
				return healthy(ctx, vm, r)
			}
			assert.True(s.t, assertAnswered(s.t, s.query("reserve", "d-1-1", "d-1-2")).Complete)
			assertOneReplica(s.t, s, 4)
		})
	})
	t.Run("an unknown outcome is reported and not retried", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.reply = func(context.Context, string, driftshard.Request) driftshard.Result {
				return driftshard.Unknown{Reason: driftshard.ReasonSilent}
			}
			assertRefused(s.t, s.query("reserve", "d-1-1"), driftapi.RanUnknown, driftshard.ReasonSilent)
			assertRefused(s.t, s.query("reserve", "d-1-1"), driftapi.RanUnknown, driftshard.ReasonDuplicate)
			assertOneReplica(s.t, s, 1)
		})
	})
	t.Run("a copy of a request in flight does not run", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			first := make(chan driftfront.Outcome)
			go func() { first <- s.query("reserve", "d-1-1") }()
			synctest.Wait()
			assertRefused(s.t, s.query("reserve", "d-1-1"), driftapi.RanUnknown, driftshard.ReasonDuplicate)
			assertAnswered(s.t, <-first)
			assertRefused(s.t, s.query("reserve", "d-1-1"), driftapi.RanYes, driftshard.ReasonDuplicate)
			assertOneReplica(s.t, s, 1)
		})
	})
	t.Run("a refusal as a duplicate by the owner is reported as an unknown outcome", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.reply = func(context.Context, string, driftshard.Request) driftshard.Result {
				return notRun(driftshard.ReasonDuplicate)
			}
			assertRefused(s.t, s.query("reserve", "d-1-1"), driftapi.RanUnknown, driftshard.ReasonDuplicate)
		})
	})
	t.Run("depots of two shards and long deadlines are refused", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			for _, depots := range [][]string{nil, {"d-1-1", "d-2-1"}, {"d-1-1", "d-9-9"}} {
				o := s.query("reserve", depots...)
				assert.Equal(s.t, "depots", assertRefused(s.t, o, driftapi.RanNo, driftshard.ReasonMalformed))
			}
			o := s.front.Query(s.t.Context(), driftapi.Query{
				Request: "q-2", Class: "reserve", Depots: []string{"d-1-1"}, Deadline: 10_001,
			})
			assert.Equal(s.t, "deadline", assertRefused(s.t, o, driftapi.RanNo, driftshard.ReasonMalformed))
			assert.Empty(s.t, s.sentRequests())
		})
	})
	t.Run("a version that the affinity replica refuses is replaced by the one before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(view(2, 1))
			s.serve(func(string) []uint64 { return []uint64{1} })
			assert.EqualValues(t, 1, assertAnswered(t, s.query("reserve", "d-1-1")).Version)
			assertOneReplica(t, s, 2)
			assertNoViolations(t, s)
		})
	})
}

// TestAffinityReplicaMoves marks out the domain of a request's affinity
// replica. While other VMs may not have seen the mark, the request must not
// run elsewhere, or it could run twice.
func TestAffinityReplicaMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stabilizationDelay = 13 * time.Second
		s := newHarness(view(1), driftfront.WithStabilizationDelay(stabilizationDelay))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.front.Run(ctx)
		publish := func(out string, marks uint64, wait time.Duration) {
			for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				s.views.Publish(viewMarked(out, marks))
			}
		}
		publish("", 1, time.Second)
		assertRefused(t, s.query("reserve", "d-1-1"), driftapi.RanNo, driftshard.ReasonHold)
		publish("", 1, stabilizationDelay)
		assertAnswered(t, s.query("reserve", "d-1-1"))
		replica := s.sentRequests()[0].request.Upstream
		u, _ := s.views.Load().Upstreams.Get(replica)

		publish(u.Domain, 2, stabilizationDelay-time.Second)
		reserve := driftapi.Query{Request: "q-1", Class: "reserve", Depots: []string{"d-1-1"}, Deadline: 500}
		// A front in the domain that is out refuses all requests, so there is
		// nothing to test.
		if u.Domain != domain(0) {
			assertRefused(t, s.front.Query(t.Context(), reserve), driftapi.RanNo, driftshard.ReasonHold)
			publish(u.Domain, 2, 2*time.Second)
			assertAnswered(t, s.front.Query(t.Context(), reserve))
			assert.NotEqual(t, replica, s.sentRequests()[1].request.Upstream)
		}
		assertNoViolations(t, s)
	})
}

func viewOf(self string) drifttable.View {
	v := view(1)
	v.Self = self
	return v
}

// viewMarked returns a view with a domain marked out in the given revision of
// the marks.
func viewMarked(out string, revision uint64) drifttable.View {
	v := view(1)
	var domains []drifttable.Domain
	for d := range v.Domains.All() {
		d.Out = d.Name == out
		domains = append(domains, d)
	}
	v.Domains = drifttable.NewTable(domains...)
	v.Revisions = drifttable.NewTable(drifttable.Revision{Name: "marks", Number: revision})
	return v
}

// assertOneReplica asserts that all attempts went to one upstream.
func assertOneReplica(t *testing.T, s *harness, attempts int) {
	t.Helper()
	sent := s.sentRequests()
	require.Len(t, sent, attempts)
	for _, x := range sent {
		assert.Equal(t, sent[0].request.Upstream, x.request.Upstream)
	}
}
