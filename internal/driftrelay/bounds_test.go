package driftrelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

func TestGraces(t *testing.T) {
	t.Run("published and unknown bounds", func(t *testing.T) {
		assert.Equal(t, publishedGraces, publishedBounds.graces())
		assert.Equal(t, publishedGraces, Bounds{}.graces())
	})
	t.Run("within any bounds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			bound := func(name string) time.Duration {
				return time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, name))
			}
			b := Bounds{Drain: bound("drain"), Evacuate: bound("evacuate"), Config: bound("config")}
			g := b.graces()
			assert.LessOrEqual(t, g.leaving, b.Drain)
			assert.LessOrEqual(t, g.removed, b.Drain)
			assert.LessOrEqual(t, g.outOfService, b.Evacuate)
			assert.LessOrEqual(t, g.stale, b.Config)
			assert.LessOrEqual(t, g.removed, publishedGraces.removed)
		})
	})
}

// TestStaleViewOfShorterBound checks that a missing route is not refused as unknown by
// a view that is older than the bound of the site.
func TestStaleViewOfShorterBound(t *testing.T) {
	w := newSimulation(1, 1, time.Millisecond, rush())
	r := w.relay(WithViewAge(func() time.Duration { return time.Second }))
	request := unroutedRequest()
	assert.Equal(t, CauseNoRoute, r.Serve(t.Context(), request, request.Target, time.Now(), 0).Cause)
	r.SetBounds(Bounds{Config: time.Second})
	assert.Equal(t, CauseStale, r.Serve(t.Context(), request, request.Target, time.Now(), 0).Cause)
}

func unroutedRequest() *driftexchange.Request {
	return &driftexchange.Request{ID: "r", Method: http.MethodGet, Target: "/nowhere", Host: "nowhere"}
}

// TestRetryBudgetStayedAtStart guards against extra attempts by a rule that the settings
// no longer name.
func TestRetryBudgetStayedAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(1, 4, time.Millisecond, receipt())
		w.forEachUpstream(func(_ int, u *fakeUpstream) { u.failsWith = http.StatusInternalServerError })
		r := w.relay()
		arrived := func() (total int) {
			w.forEachUpstream(func(_ int, u *fakeUpstream) {
				u.mu.Lock()
				defer u.mu.Unlock()
				total += u.arrived
			})
			return total
		}
		const queries = 20
		_ = runLoad(r, receipt(), queries, 20*time.Millisecond)
		first := arrived()
		assert.Greater(t, first, queries, "failed requests are tried again")
		r.SetBudget(BudgetRule{})
		_ = runLoad(r, receipt(), queries, 20*time.Millisecond)
		assert.Equal(t, queries, arrived()-first)
		closeAll(r)
	})
}
