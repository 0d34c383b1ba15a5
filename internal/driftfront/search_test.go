package driftfront_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

func TestSearch(t *testing.T) {
	t.Run("a complete answer returns at once", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			a := assertAnswered(s.t, s.query("counter"))
			assert.True(s.t, a.Complete)
			assert.Len(s.t, a.Rows, 8)
			assert.InDelta(s.t, 3, a.Time, 0.1)
			assert.Len(s.t, a.Attempts, 4)
			assert.Equal(s.t, "done", a.Attempts[0].Result)
		})
	})
	t.Run("unpublished depots are reported and repeated ones are searched once", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			a := assertAnswered(s.t, s.query("strict", "d-1-1", "d-9-9", "d-1-1", "d-9-9"))
			assert.Equal(s.t, []string{"d-1-1"}, a.Searched)
			assertReason(s.t, a, driftshard.ReasonUnpublished, "d-9-9")
			assert.Len(s.t, s.sentRequests(), 1)
		})
	})
	t.Run("the latency objective ends a search that meets the coverage floor", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.stall("s-2")
			a := assertAnswered(s.t, s.query("counter"))
			assert.InDelta(s.t, 60, a.Time, 0.1)
			assertReason(s.t, a, driftshard.ReasonLate, "d-2-1", "d-2-2")
		})
	})
	t.Run("below the coverage floor a search goes on until the deadline", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.stall("s-2")
			a := assertAnswered(s.t, s.query("strict"))
			assert.InDelta(s.t, 490, a.Time, 0.1)
			assert.InDelta(s.t, 0.75, a.Coverage(), 0.001)
		})
	})
	t.Run("the long service times of one class do not stop attempts of another", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy := s.reply
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if r.Class == "night" {
					return after(ctx, 4*time.Second, done(r))
				}
				return healthy(ctx, vm, r)
			}
			for range 10 {
				s.front.Query(s.t.Context(), driftapi.Query{Request: "n", Class: "night", Deadline: 20_000})
			}
			assert.True(s.t, assertAnswered(s.t, s.query("counter")).Complete)
		})
	})
	t.Run("a query without any reply is refused as unknown", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.stall("s-1", "s-2", "s-3", "s-4")
			assertRefused(s.t, s.query("counter"), driftapi.RanUnknown, driftshard.ReasonLate)
		})
	})
	t.Run("a VM that reaches no other refuses at once as not run", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.reply = func(context.Context, string, driftshard.Request) driftshard.Result {
				return notRun(driftshard.ReasonUnreachable)
			}
			started := time.Now()
			assertRefused(s.t, s.query("counter"), driftapi.RanNo, driftshard.ReasonUnreachable)
			assert.Less(s.t, time.Since(started), 100*time.Millisecond)
		})
	})
}

// stall makes every attempt at the given shards wait until it is canceled.
func (s *harness) stall(shards ...string) {
	healthy := s.reply
	s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
		for _, shard := range shards {
			if r.Shard == shard {
				<-ctx.Done()
				return driftshard.Unknown{Reason: driftshard.ReasonSilent}
			}
		}
		return healthy(ctx, vm, r)
	}
}

func TestRefusedByVM(t *testing.T) {
	changes := []struct {
		name   string
		reason driftshard.Reason
		change func(v *drifttable.View)
	}{
		{"stale view", driftshard.ReasonStale, func(v *drifttable.View) { v.BuiltAt = v.BuiltAt.Add(-2 * time.Hour) }},
		{"domain out", driftshard.ReasonOut, func(v *drifttable.View) {
			v.Domains = drifttable.NewTable(drifttable.Domain{Name: "domain-a", Out: true})
		}},
		{"leaving", driftshard.ReasonLeaving, func(v *drifttable.View) {
			v.VMs = drifttable.NewTable(drifttable.VM{Name: "vm-1", Health: drifttable.Leaving})
		}},
		{"unknown class", driftshard.ReasonUnclassified, func(v *drifttable.View) {
			v.Classes = drifttable.NewTable[drifttable.Class]()
		}},
		{"unknown service", driftshard.ReasonUnpublished, func(v *drifttable.View) {
			v.Services = drifttable.NewTable[drifttable.Service]()
		}},
	}
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(s *harness) {
				v := view(1)
				c.change(&v)
				s.views.Publish(v)
				assertRefused(s.t, s.query("counter"), driftapi.RanNo, c.reason)
				assert.Empty(s.t, s.sentRequests())
			})
		})
	}
}

func TestRetry(t *testing.T) {
	t.Run("the owner that a refusal names is asked", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy := s.reply
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if vm != "vm-4" {
					return driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: "vm-4"}
				}
				return healthy(ctx, vm, r)
			}
			assert.True(s.t, assertAnswered(s.t, s.query("counter")).Complete)
			assert.Len(s.t, s.sentRequests(), 8)
		})
	})
	t.Run("a relay is asked when no owner is reached", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy := s.reply
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if vm != "vm-4" {
					return notRun(driftshard.ReasonUnreachable)
				}
				return healthy(ctx, vm, r)
			}
			assert.True(s.t, assertAnswered(s.t, s.query("counter")).Complete)
		})
	})
	t.Run("retries after refusals because of load stay within their budget", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(view(1), driftfront.WithRetryRatio(0.1))
			s.reply = func(context.Context, string, driftshard.Request) driftshard.Result {
				return notRun(driftshard.ReasonShed)
			}
			for range 100 {
				assertRefused(t, s.query("counter"), driftapi.RanNo, driftshard.ReasonShed)
			}
			assert.LessOrEqual(t, len(s.sentRequests()), 400+40+20)
			assertNoViolations(t, s)
		})
	})
	t.Run("ids of attempts are unique and carry the incarnation", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.query("counter")
			s.query("counter")
			seen := make(map[string]bool)
			for _, r := range s.sentRequests() {
				assert.Contains(s.t, r.request.Attempt, "vm-1/7/")
				assert.False(s.t, seen[r.request.Attempt])
				seen[r.request.Attempt] = true
			}
		})
	})
}

func TestHedge(t *testing.T) {
	t.Run("a straggler is hedged and then canceled", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy := s.reply
			var canceled atomic.Int64
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if r.Upstream == "u-1a" {
					<-ctx.Done()
					canceled.Add(1)
					return driftshard.Unknown{Reason: driftshard.ReasonCanceled}
				}
				return healthy(ctx, vm, r)
			}
			for range 20 {
				assert.True(s.t, assertAnswered(s.t, s.query("counter")).Complete)
			}
			synctest.Wait()
			assert.Positive(s.t, canceled.Load())
			assert.EqualValues(s.t, canceled.Load(), s.front.Counts().Hedges)
			assert.NotZero(s.t, s.events.Count(driftevent.AttemptHedged))
		})
	})
	t.Run("hedges stay within their budget", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			var slow atomic.Int64
			s.reply = func(ctx context.Context, _ string, r driftshard.Request) driftshard.Result {
				wait := replyTime
				if slow.Add(1)%3 == 0 {
					wait = 50 * time.Millisecond
				}
				return after(ctx, wait, done(r))
			}
			for range 500 {
				s.query("counter")
			}
			c := s.front.Counts()
			assert.LessOrEqual(s.t, float64(c.Hedges), 0.15*float64(c.FirstAttempts)+40)
		})
	})
	t.Run("a straggler is avoided later", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			healthy := s.reply
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if r.Upstream == "u-1a" {
					return after(ctx, 10*replyTime, done(r))
				}
				return healthy(ctx, vm, r)
			}
			for range 200 {
				s.query("counter")
			}
			hits := 0
			for _, x := range s.sentRequests() {
				if x.request.Upstream == "u-1a" {
					hits++
				}
			}
			assert.Less(s.t, hits, 20)
		})
	})
}

func TestBalancing(t *testing.T) {
	t.Run("cold replicas are avoided unless they are the only ones", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			s.reply = func(ctx context.Context, _ string, r driftshard.Request) driftshard.Result {
				d := done(r)
				d.Load = driftshard.Load{Limit: 1, Cold: replica(r.Upstream) != 'c'}
				return after(ctx, replyTime, d)
			}
			for range 30 {
				s.query("counter")
			}
			late := s.sentRequests()[60:]
			for _, x := range late {
				require.Equal(s.t, byte('c'), replica(x.request.Upstream))
			}
		})
	})
	t.Run("near-equal replicas of this VM come first", func(t *testing.T) {
		withHarness(t, func(s *harness) {
			for range 100 {
				s.query("counter")
			}
			own := 0
			for _, x := range s.sentRequests() {
				if x.vm == "vm-1" {
					own++
				}
			}
			assert.Greater(s.t, own, 240, "of 400")
		})
	})
}

func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(view(1), driftfront.WithMaxQueries(8))
		s.stall("s-1", "s-2", "s-3", "s-4")
		var group sync.WaitGroup
		ask := func(class string) {
			group.Go(func() { s.query(class) })
			synctest.Wait()
		}
		for range 8 {
			ask("night")
		}
		assert.Len(t, s.sentRequests(), 5*shardCount, "the least urgent class fills half of the VM")
		for range 3 {
			ask("counter")
		}
		assert.Len(t, s.sentRequests(), 8*shardCount, "a more urgent class may fill the VM")
		started := time.Now()
		assertRefused(t, s.query("counter"), driftapi.RanNo, driftshard.ReasonFull)
		assert.Zero(t, time.Since(started))
		group.Wait()
		assertNoViolations(t, s)
	})
}
