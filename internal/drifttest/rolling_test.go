package drifttest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// TestRollingReplacement replaces all VMs one after the other under load. No
// query may be lost, no idempotent query may be refused, no request may run
// twice that must not, and coverage must stay complete.
func TestRollingReplacement(t *testing.T) {
	for _, spec := range []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()} {
		t.Run(spec.Service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(t, spec)
				replaced := make(chan struct{})
				go func() {
					defer close(replaced)
					replaceAll(f)
				}()
				length := vmCount * (entryListTTL + replacePause)
				reserveResult := make(chan *LoadResult, 1)
				go func() {
					reserveResult <- f.RunLoad(Load{
						Class: "reserve", Rate: 5, Duration: length, Seed: 2, Depots: []string{"depot-1-1"},
					})
				}()
				assertAllComplete(t, f.RunLoad(Load{Class: "counter", Rate: 20, Duration: length, Seed: 1}))
				assertNotLost(t, <-reserveResult)
				<-replaced
				assert.Empty(t, f.Violations())
			})
		})
	}
}

// replacePause is the time between the replacement of one VM and the departure
// of the next.
const replacePause = 10 * time.Second

func replaceAll(f *Fleet) {
	for _, vm := range VMNames() {
		_ = f.Node(vm).Leave(f.t.Context())
		f.KillAndUnlist(vm)
		f.StartAndList(vm)
		time.Sleep(replacePause)
	}
}

// assertNotLost asserts that every caller got an answer or a refusal as "not
// run". A request that is not idempotent goes to one replica only, and is
// refused as not run while the owner of that replica changes.
func assertNotLost(t *testing.T, result *LoadResult) {
	t.Helper()
	assert.Zero(t, result.Lost)
	assert.Zero(t, result.Unknown)
	t.Logf("%d requests, %d refused as not run, %v", result.Queries, result.Refused, result.ReasonCounts)
}

// assertAllComplete asserts that every caller got an answer and that the mean
// coverage is complete.
func assertAllComplete(t *testing.T, result *LoadResult) {
	t.Helper()
	assertNotLost(t, result)
	assert.Zero(t, result.Refused)
	assert.GreaterOrEqual(t, result.MeanCoverage(), 0.999)
	t.Logf("%d queries, mean coverage %.4f, p50 %s, p99 %s, %v", result.Queries, result.MeanCoverage(),
		result.LatencyQuantile(0.5, defaultDeadline), result.LatencyQuantile(0.99, defaultDeadline), result.ReasonCounts)
}

// TestShortStopInterruptedQueries guards against a graceful stop that takes queries
// for as long as callers keep the VM's address, though it has less time than that.
func TestShortStopInterruptedQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, driftfake.Oshana())
		vm := VMNames()[0]
		ctx, cancel := context.WithTimeout(t.Context(), entryListTTL/2)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				group.Go(func() {
					f.handler(vm).Query(t.Context(), driftapi.Query{
						Request: fmt.Sprintf("q%d", i), Class: "counter", Text: "church", Deadline: defaultDeadline.Milliseconds(),
					})
				})
				time.Sleep(time.Millisecond)
			}
		})
		require.NoError(t, f.Node(vm).Leave(ctx))
		cancel()
		group.Wait()
		assert.Empty(t, f.Violations())
	})
}

// TestStopInterruptedQueriesWithLateDeadlines guards against a graceful stop that takes
// queries whose callers wait for longer than the VM will run.
func TestStopInterruptedQueriesWithLateDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 2 * time.Second
		f := NewFleet(t, driftfake.Oshana())
		vm := VMNames()[0]
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		left := make(chan error, 1)
		go func() { left <- f.Node(vm).Leave(ctx) }()
		time.Sleep(grace / 4)
		query := func(wait time.Duration) driftfront.Outcome {
			return f.handler(vm).Query(t.Context(), driftapi.Query{
				Request: "q-" + wait.String(), Class: "counter", Text: "church", Deadline: wait.Milliseconds(),
			})
		}
		assert.IsType(t, driftfront.Answered{}, query(grace/2))
		late, refused := query(grace).(driftfront.Refused)
		assert.True(t, refused)
		assert.Equal(t, string(driftshard.ReasonLeaving), late.Refusal.Reason)
		require.NoError(t, <-left)
		assert.Empty(t, f.Violations())
	})
}
