package driftrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// loadResult counts the outcomes of the queries of a test.
type loadResult struct {
	total, inTime int
	credit        float64
}

// runLoad sends queries at a steady rate and counts those answered in time.
func runLoad(r *Relay, route driftroute.Route, queries int, every time.Duration) loadResult {
	var result loadResult
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range queries {
		group.Go(func() {
			start := time.Now()
			a := r.Serve(context.Background(), &driftexchange.Request{
				ID: fmt.Sprintf("q%d", i), Method: http.MethodGet, Target: route.Prefix, Host: route.Host,
			}, route.Prefix, start, 0)
			mu.Lock()
			defer mu.Unlock()
			result.total++
			if a.Status == http.StatusOK && time.Since(start) <= route.LatencyObjective {
				result.inTime++
				var missing int
				_, _ = fmt.Sscan(a.Header.Get(testHeaders.MissingParts), &missing)
				coverage := 1.0
				if g, ok := route.Target.(driftroute.Gather); ok && len(g.Shards) > 0 {
					coverage = 1 - float64(missing)/float64(len(g.Shards))
				}
				result.credit += coverage * coverage
			}
		})
		time.Sleep(every)
	}
	group.Wait()
	return result
}

func assertInTime(t *testing.T, l loadResult, minShare float64) {
	t.Helper()
	share := float64(l.inTime) / float64(l.total)
	t.Logf("seed %d: %.3f in time, credit %.3f of %d", testSeed, share, l.credit/float64(l.total), l.total)
	assert.GreaterOrEqual(t, share, minShare)
}

// closeAll closes the idle connections of a relay, so that no goroutine is
// left.
func closeAll(r *Relay) {
	time.Sleep(10 * time.Second)
	r.mu.Lock()
	var conns []*driftexchange.Conn
	for _, e := range r.upstreams {
		conns = append(conns, e.idleConns...)
	}
	r.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	synctest.Wait()
}
