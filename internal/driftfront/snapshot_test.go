package driftfront_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// serve makes each upstream serve only the versions that the function returns
// for it.
func (s *harness) serve(versions func(upstream string) []uint64) {
	healthy := s.reply
	s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
		for _, v := range versions(r.Upstream) {
			if v == r.Version {
				return healthy(ctx, vm, r)
			}
		}
		return notRun(driftshard.ReasonVersion)
	}
}

func TestSnapshot(t *testing.T) {
	run := func(t *testing.T, versions func(string) []uint64, check func(s *harness)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(view(2, 1))
			s.t = t
			s.serve(versions)
			check(s)
			assertNoViolations(t, s)
		})
	}
	halfway := func(u string) []uint64 {
		if u[:3] == "u-1" {
			return []uint64{1}
		}
		return []uint64{1, 2}
	}
	t.Run("a version that is half rolled out is replaced by the one before", func(t *testing.T) {
		run(t, halfway, func(s *harness) {
			a := assertAnswered(s.t, s.query("counter"))
			assert.True(s.t, a.Complete)
			assert.EqualValues(s.t, 1, a.Version)
			assert.EqualValues(s.t, 1, s.front.Counts().Restarts)
			for range 20 {
				a = assertAnswered(s.t, s.query("counter"))
				assert.True(s.t, a.Complete)
			}
			assert.EqualValues(s.t, 1, s.front.Counts().Restarts, "remembered refusals keep later queries on version 1")
		})
	})
	t.Run("one replica of each shard is enough for the newest version", func(t *testing.T) {
		run(t, func(u string) []uint64 {
			if replica(u) == 'b' {
				return []uint64{2}
			}
			return []uint64{1}
		}, func(s *harness) {
			a := assertAnswered(s.t, s.query("counter"))
			assert.True(s.t, a.Complete)
			assert.EqualValues(s.t, 2, a.Version)
		})
	})
	t.Run("the newest version is used again once it is served", func(t *testing.T) {
		current := halfway
		run(t, func(u string) []uint64 { return current(u) }, func(s *harness) {
			s.query("counter")
			current = func(string) []uint64 { return []uint64{2} }
			a := assertAnswered(s.t, s.query("counter"))
			assert.True(s.t, a.Complete)
			assert.EqualValues(s.t, 2, a.Version)
		})
	})
	t.Run("without a better version the answer is partial", func(t *testing.T) {
		run(t, func(u string) []uint64 {
			if u[:3] == "u-1" {
				return nil
			}
			return []uint64{2}
		}, func(s *harness) {
			a := assertAnswered(s.t, s.query("counter"))
			assert.EqualValues(s.t, 2, a.Version)
			assertReason(s.t, a, driftshard.ReasonVersion, "d-1-1", "d-1-2")
		})
	})
	t.Run("a reply of another version is dropped", func(t *testing.T) {
		run(t, func(string) []uint64 { return []uint64{1, 2} }, func(s *harness) {
			healthy := s.reply
			s.reply = func(ctx context.Context, vm string, r driftshard.Request) driftshard.Result {
				if r.Upstream == "u-2a" || r.Upstream == "u-2b" {
					d := done(r)
					d.Version = 1
					return after(ctx, replyTime, d)
				}
				return healthy(ctx, vm, r)
			}
			for range 5 {
				a := assertAnswered(s.t, s.query("strict"))
				assert.True(s.t, a.Complete)
				assert.EqualValues(s.t, 2, a.Version)
			}
			assert.NotZero(s.t, s.events.Count(driftevent.ReplyDropped))
		})
	})
}
