package driftdemo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

// workload describes the queries of one class that every caller sends, one at
// each interval.
type workload struct {
	class    string
	interval time.Duration
	deadline time.Duration
	// depotCount is the number of depots in a query; 0 means all.
	depotCount int
}

// nonIdempotentDeadline is the deadline of a non-idempotent request.
const nonIdempotentDeadline = time.Second

// workloads are the workloads that every caller runs at the same time.
var workloads = []workload{
	{class: "counter", interval: 100 * time.Millisecond, deadline: time.Second},
	{class: "fire", interval: 130 * time.Millisecond, deadline: 500 * time.Millisecond},
	{class: "night", interval: 370 * time.Millisecond, deadline: 5 * time.Second},
	{class: "reserve", interval: 170 * time.Millisecond, deadline: nonIdempotentDeadline, depotCount: 1},
	{class: "depot", interval: 110 * time.Millisecond, deadline: time.Second, depotCount: 1},
}

// searchText is the search text of all queries.
const searchText = "church"

// classesDocument returns the classes of the given size, with one additional
// class that searches a single depot.
func classesDocument(size driftfake.ServiceSpec) driftdocument.Classes {
	d := size.ClassesDocument()
	d.Classes = append(d.Classes, driftdocument.Class{
		Name: "depot", Service: size.Service, LatencyObjective: driftdocument.Duration(30 * time.Millisecond), CoverageFloor: 1,
	})
	return d
}

// callersPerDomain is the number of callers in each failure domain.
const callersPerDomain = 2

// caller sends the queries of all workloads to the fleet.
type caller struct {
	name   string
	client *driftclient.Client
	audit  *audit
	depots []string
}

// newCallers returns the callers of all failure domains.
func newCallers(d *Demo, a *audit) []*caller {
	var callers []*caller
	entries := d.Entries()
	for _, domain := range d.size.Domains {
		for i := range callersPerDomain {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			callers = append(callers, &caller{
				name: name, audit: a, depots: a.depots,
				client: driftclient.New(entries, driftclient.WithCaller(name), driftclient.WithDomain(domain)),
			})
		}
	}
	return callers
}

// run sends queries until the given time and waits for their outcomes.
func (c *caller) run(ctx context.Context, until time.Time) {
	var group sync.WaitGroup
	for _, w := range workloads {
		group.Go(func() { c.runWorkload(ctx, w, until) })
	}
	group.Wait()
}

// runWorkload sends the queries of one workload at a constant rate, whether or
// not earlier ones have been answered.
func (c *caller) runWorkload(ctx context.Context, w workload, until time.Time) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; time.Now().Before(until); n++ {
		group.Go(func() { c.sendQuery(ctx, w, n) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendQuery sends one query and records its outcome in the audit.
func (c *caller) sendQuery(ctx context.Context, w workload, n int) {
	q := driftapi.Query{
		Request: fmt.Sprintf("%s-%s-%d", w.class, c.name, n), Class: w.class, Text: searchText,
		Deadline: w.deadline.Milliseconds(), Depots: c.chooseDepots(w, n),
	}
	started := time.Now()
	answer, err := c.client.Query(ctx, q)
	took := time.Since(started)
	if err == nil {
		c.audit.recordAnswer(q, answer, took)
		return
	}
	var refusal driftapi.Refusal
	if !errors.As(err, &refusal) {
		refusal = driftapi.Refusal{Request: q.Request, Ran: driftapi.RanUnknown, Reason: err.Error()}
	}
	c.audit.recordRefusal(q, refusal, took)
}

// chooseDepots returns the depots of the n-th query; none means all.
func (c *caller) chooseDepots(w workload, n int) []string {
	if w.depotCount == 0 {
		return nil
	}
	first := n % len(c.depots)
	last := min(first+w.depotCount, len(c.depots))
	return c.depots[first:last]
}
