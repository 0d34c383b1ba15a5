package driftdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

// searchTime is the time of a search at an upstream: 30 upstreams of 4 slots
// then bear 6000 searches a second, or 600 queries over 10 shards.
const searchTime = 20 * time.Millisecond

// queryEvery is the time between queries at a third of that capacity.
const queryEvery = 5 * time.Millisecond

// warmUp is the number of queries before those that count: the owners doubt
// that an idle upstream is still warm.
const warmUp = 1000

// BenchmarkAdded measures queries at a third of the upstreams' capacity, bare
// and through the tier, in the same process. Bare is a fan-out that takes the
// replicas of each shard in turn.
//
//	go test -run xxx -bench Added -benchtime 2000x ./internal/driftdemo
func BenchmarkAdded(b *testing.B) {
	size := driftfake.Oshana()
	size.Time = searchTime
	demo := New(size)
	ctx := b.Context()
	require.NoError(b, demo.Start(ctx))
	b.Cleanup(func() { require.NoError(b, demo.Stop(context.WithoutCancel(ctx))) })
	client := driftclient.New(demo.Entries(), driftclient.WithDomain(size.Domains[0]))
	tier := func(n int) error {
		_, err := client.Query(ctx, driftapi.Query{
			Request: fmt.Sprintf("b-%d-%d", time.Now().UnixNano(), n), Class: "counter", Text: searchText, Deadline: 2000,
		})
		return err
	}
	bare := newBare(demo)
	for _, way := range []struct {
		name  string
		query func(n int) error
	}{{"turns", bare.turns}, {"random", bare.random}, {"tier", tier}} {
		b.Run(way.name, func(b *testing.B) {
			paced(warmUp, func(n int) { _ = way.query(n) })
			b.ResetTimer()
			measure(b, way.query)
		})
	}
}

func measure(b *testing.B, query func(n int) error) {
	b.Helper()
	var mu sync.Mutex
	times := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	var failed int
	paced(b.N, func(n int) {
		started := time.Now()
		err := query(n)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed++
			return
		}
		_ = times.RecordValue(time.Since(started).Microseconds())
	})
	const microsPerMilli = 1000
	b.ReportMetric(float64(times.ValueAtQuantile(50))/microsPerMilli, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/microsPerMilli, "p99-ms")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// paced starts a query every queryEvery, whether or not earlier ones have
// ended.
func paced(queries int, do func(n int)) {
	var group sync.WaitGroup
	ticker := time.NewTicker(queryEvery)
	defer ticker.Stop()
	for n := range queries {
		<-ticker.C
		group.Go(func() { do(n) })
	}
	group.Wait()
}

// bare asks the upstreams without the tier.
type bare struct {
	client   *http.Client
	replicas [][]*standIn
}

func newBare(d *Demo) *bare {
	const perShard = 3
	b := &bare{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: d.size.Connections}}}
	for i := 0; i < len(d.stands); i += perShard {
		b.replicas = append(b.replicas, d.stands[i:i+perShard])
	}
	return b
}

// turns takes the replicas in turns.
func (b *bare) turns(n int) error {
	return b.query(func(replicas int) int { return n % replicas })
}

// random takes a replica by chance.
func (b *bare) random(int) error {
	return b.query(rand.IntN)
}

func (b *bare) query(choose func(replicas int) int) error {
	errs := make(chan error, len(b.replicas))
	for shard, replicas := range b.replicas {
		go func() { errs <- b.search(shard, replicas[choose(len(replicas))]) }()
	}
	var failure error
	for range b.replicas {
		if err := <-errs; err != nil {
			failure = err
		}
	}
	return failure
}

func (b *bare) search(shard int, s *standIn) error {
	body, err := json.Marshal(driftupstream.SearchRequest{
		Request: "bare", Shard: fmt.Sprint(shard), Version: 1, Depots: []string{"a", "b"}, Text: searchText, Deadline: 2000,
	})
	if err != nil {
		return err
	}
	url := "http://" + s.address + driftupstream.PathSearch
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return nil
}
