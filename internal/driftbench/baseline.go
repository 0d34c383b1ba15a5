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

// sharers is the number of VMs among which the baseline divides the limits
// of an upstream.
const sharers = 8

// maxTries is how many replicas the baseline asks when one refuses.
const maxTries = 3

// marksInterval is how often the baseline reads the marks.
const marksInterval = time.Second

// Baseline is the policy to compare with: each VM sends directly to a random
// replica, with the limits of the upstream divided by the number of VMs,
// without hedges and without owners, until the caller's deadline.
type Baseline struct {
	fleet  *drifttest.Fleet
	dialer driftupstream.Dialer

	mu     sync.Mutex
	random *rand.Rand
	out    []string
	lanes  map[string]*lane
}

// lane is the share that one VM has of an upstream.
type lane struct {
	slots chan struct{}
	idle  chan driftupstream.Conn
}

// NewBaseline implements drifttest.Policy.
func NewBaseline(ctx context.Context, f *drifttest.Fleet, vm string) drifttest.Asker {
	b := &Baseline{
		fleet: f, dialer: f.DialerOf(vm), lanes: make(map[string]*lane), random: rand.New(rand.NewPCG(uint64(vm[len(vm)-1]), 1)),
	}
	for _, u := range f.Upstreams {
		b.lanes[u.Name] = &lane{
			slots: make(chan struct{}, max(1, f.Size.Slots/sharers)),
			idle:  make(chan driftupstream.Conn, max(1, f.Size.Connections/sharers)),
		}
	}
	go b.readMarks(ctx)
	return b
}

func (b *Baseline) readMarks(ctx context.Context) {
	ticker := time.NewTicker(marksInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r, ok := b.fleet.Platform.Read(ctx, driftdocument.KeyMarks).(driftplatform.Found); ok {
			doc, _ := driftdocument.Parse(driftdocument.KeyMarks, r.Value.Body)
			marks, _ := doc.(driftdocument.Marks)
			b.mu.Lock()
			b.out = marks.Domains
			b.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Query implements drifttest.Asker.
func (b *Baseline) Query(ctx context.Context, q driftapi.Query) driftfront.Outcome {
	started := time.Now()
	deadline := started.Add(time.Duration(q.Deadline) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	results := make([]driftupstream.Reply, b.fleet.Size.Shards)
	var waiting sync.WaitGroup
	for shard := range results {
		waiting.Go(func() { results[shard] = b.shard(ctx, q, shard, deadline) })
	}
	waiting.Wait()
	return driftfront.Answered{Answer: b.merge(q, results, started)}
}

func (b *Baseline) merge(q driftapi.Query, results []driftupstream.Reply, started time.Time) driftapi.Answer {
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
	return b.fleet.Size.VersionsDocument(1).Versions[0].Shards[shard].Depots
}

// shard asks random replicas of a shard until one answers.
func (b *Baseline) shard(ctx context.Context, q driftapi.Query, shard int, deadline time.Time) driftupstream.Reply {
	var last driftupstream.Reply
	for try := range maxTries {
		replica, found := b.choose(shard)
		if !found || ctx.Err() != nil {
			return last
		}
		u := b.fleet.Upstreams[shard*b.fleet.Size.Replicas+replica]
		last = b.send(ctx, driftshard.Request{
			Query: q.Request, Attempt: fmt.Sprintf("%s/%d/%d", q.Request, shard, try), Upstream: u.Name,
			Version: 1, Depots: b.depots(shard), Text: q.Text, Deadline: deadline,
		})
		if _, done := last.(driftupstream.Answer); done {
			return last
		}
	}
	return last
}

// choose returns a random replica whose failure domain is in.
func (b *Baseline) choose(shard int) (replica int, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.random.Perm(b.fleet.Size.Replicas) {
		if !slices.Contains(b.out, b.fleet.Size.Domain(shard, r)) {
			return r, true
		}
	}
	return 0, false
}

// send passes a request to an upstream within this VM's share of its limits.
func (b *Baseline) send(ctx context.Context, r driftshard.Request) driftupstream.Reply {
	l := b.lanes[r.Upstream]
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
	l.idle <- conn
	return reply
}

func (b *Baseline) connect(ctx context.Context, l *lane, upstream string) (driftupstream.Conn, error) {
	select {
	case conn := <-l.idle:
		return conn, nil
	default:
		return b.dialer.Dial(ctx, drifttable.Upstream{Name: upstream})
	}
}
