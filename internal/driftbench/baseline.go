package driftbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/drifttest"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// baselineVMs is the number of VMs that share the limits of each upstream
// equally.
const baselineVMs = 8

// maxAttempts limits the attempts for one shard, the first one included.
const maxAttempts = 3

// marksReadInterval is the time between two reads of the marks.
const marksReadInterval = time.Second

// Baseline is the policy that the system is compared with. Each VM sends its
// requests directly to a random replica, within its equal share of the
// upstream's limits, until the caller's deadline. It has no hedges and no
// owners.
type Baseline struct {
	fleet  *drifttest.Fleet
	dialer driftupstream.Dialer

	mu         sync.Mutex
	random     *rand.Rand
	outDomains []string
	shares     map[string]*upstreamShare
}

// upstreamShare is one VM's share of the limits of an upstream.
type upstreamShare struct {
	slots     chan struct{}
	idleConns chan driftupstream.Conn
}

// NewBaseline returns the baseline of one VM. It implements drifttest.Policy.
func NewBaseline(ctx context.Context, f *drifttest.Fleet, vm string) drifttest.QueryHandler {
	b := &Baseline{
		fleet: f, dialer: f.DialerOf(vm), shares: make(map[string]*upstreamShare), random: rand.New(rand.NewPCG(uint64(vm[len(vm)-1]), 1)),
	}
	for _, u := range f.Upstreams {
		b.shares[u.Name] = &upstreamShare{
			slots:     make(chan struct{}, max(1, f.Spec.Slots/baselineVMs)),
			idleConns: make(chan driftupstream.Conn, max(1, f.Spec.Connections/baselineVMs)),
		}
	}
	go b.readMarks(ctx)
	return b
}

func (b *Baseline) readMarks(ctx context.Context) {
	ticker := time.NewTicker(marksReadInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r, ok := b.fleet.Platform.Read(ctx, driftdocument.KeyMarks).(driftplatform.Found); ok {
			doc, _ := driftdocument.Parse(driftdocument.KeyMarks, r.Value.Body)
			marks, _ := doc.(driftdocument.Marks)
			b.mu.Lock()
			b.outDomains = marks.Domains
			b.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Query implements drifttest.QueryHandler.
func (b *Baseline) Query(ctx context.Context, q driftapi.Query) driftfront.Outcome {
	started := time.Now()
	deadline := started.Add(time.Duration(q.Deadline) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	results := make([]driftupstream.Reply, b.fleet.Spec.Shards)
	var group sync.WaitGroup
	for shard := range results {
		group.Go(func() { results[shard] = b.searchShard(ctx, q, shard, deadline) })
	}
	group.Wait()
	return driftfront.Answered{Answer: b.mergeReplies(q, results, started)}
}

func (b *Baseline) mergeReplies(q driftapi.Query, results []driftupstream.Reply, started time.Time) driftapi.Answer {
	answer := driftapi.Answer{Request: q.Request, Version: 1}
	for shard, r := range results {
		done, ok := r.(driftupstream.Answer)
		if !ok {
			for _, d := range b.depots(shard) {
				answer.Missing = append(answer.Missing, driftapi.Missing{Depot: d})
			}
			continue
		}
		answer.Searched = append(answer.Searched, done.Depots...)
		for _, row := range done.Rows {
			answer.Rows = append(answer.Rows, driftapi.Row(row))
		}
	}
	answer.Complete = len(answer.Missing) == 0
	answer.Time = float64(time.Since(started)) / float64(time.Millisecond)
	return answer
}

func (b *Baseline) depots(shard int) []string {
	return b.fleet.Spec.VersionsDocument(1).Versions[0].Shards[shard].Depots
}

// searchShard sends a request to random replicas of a shard, one after the
// other, until one answers.
func (b *Baseline) searchShard(ctx context.Context, q driftapi.Query, shard int, deadline time.Time) driftupstream.Reply {
	var last driftupstream.Reply
	for attempt := range maxAttempts {
		replica, found := b.chooseReplica(shard)
		if !found || ctx.Err() != nil {
			return last
		}
		u := b.fleet.Upstreams[shard*b.fleet.Spec.Replicas+replica]
		last = b.attempt(ctx, driftshard.Request{
			Query: q.Request, Attempt: fmt.Sprintf("%s/%d/%d", q.Request, shard, attempt), Upstream: u.Name,
			Version: 1, Depots: b.depots(shard), Text: q.Text, Deadline: deadline,
		})
		if _, done := last.(driftupstream.Answer); done {
			return last
		}
	}
	return last
}

// chooseReplica returns a random replica whose failure domain is not marked out.
func (b *Baseline) chooseReplica(shard int) (replica int, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.random.Perm(b.fleet.Spec.Replicas) {
		if !slices.Contains(b.outDomains, b.fleet.Spec.Domain(shard, r)) {
			return r, true
		}
	}
	return 0, false
}

// attempt sends a request to an upstream within this VM's share of its limits.
func (b *Baseline) attempt(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	l := b.shares[r.Upstream]
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return driftupstream.Failure{Reason: driftshard.ReasonLate, Err: ctx.Err()}
	}
	conn, err := b.connect(ctx, l, r.Upstream)
	if err != nil {
		return driftupstream.Failure{Reason: driftshard.ReasonUnreachable, Err: err}
	}
	reply := conn.Do(ctx, r)
	if _, failed := reply.(driftupstream.Failure); failed {
		_ = conn.Close()
		return reply
	}
	l.idleConns <- conn
	return reply
}

func (b *Baseline) connect(ctx context.Context, l *upstreamShare, upstream string) (driftupstream.Conn, error) {
	select {
	case conn := <-l.idleConns:
		return conn, nil
	default:
		return b.dialer.Dial(ctx, drifttable.Upstream{Name: upstream})
	}
}
