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

// searchServiceTime is the service time of a search. 30 upstreams with 4 slots
// each can then serve 6000 searches a second, or 600 queries over 10 shards.
const searchServiceTime = 20 * time.Millisecond

// queryInterval is the time between queries: 200 a second, a third of that
// capacity.
const queryInterval = 5 * time.Millisecond

// warmUpQueries is the number of queries sent before the measurement, as owners
// treat an idle upstream as possibly cold.
const warmUpQueries = 1000

// BenchmarkAddedLatency measures the latency of queries at a third of the
// upstreams' capacity, sent directly to the upstreams and through the tier, all
// in one process. A direct query is sent to one replica of each shard, chosen
// round-robin or at random.
//
//	go test -run xxx -bench Added -benchtime 2000x ./internal/driftdemo
func BenchmarkAddedLatency(b *testing.B) {
	size := driftfake.Oshana()
	size.ServiceTime = searchServiceTime
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
	direct := newDirectClient(demo)
	for _, variant := range []struct {
		name  string
		query func(n int) error
	}{{"round-robin", direct.roundRobin}, {"random", direct.random}, {"tier", tier}} {
		b.Run(variant.name, func(b *testing.B) {
			runPaced(warmUpQueries, func(n int) { _ = variant.query(n) })
			b.ResetTimer()
			measureLatency(b, variant.query)
		})
	}
}

func measureLatency(b *testing.B, query func(n int) error) {
	b.Helper()
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	var failed int
	runPaced(b.N, func(n int) {
		started := time.Now()
		err := query(n)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed++
			return
		}
		_ = latencies.RecordValue(time.Since(started).Microseconds())
	})
	const microsPerMilli = 1000
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/microsPerMilli, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/microsPerMilli, "p99-ms")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// runPaced starts a query every queryInterval, whether or not earlier ones have
// ended.
func runPaced(queries int, do func(n int)) {
	var group sync.WaitGroup
	ticker := time.NewTicker(queryInterval)
	defer ticker.Stop()
	for n := range queries {
		<-ticker.C
		group.Go(func() { do(n) })
	}
	group.Wait()
}

// directClient sends queries to the upstreams without the tier.
type directClient struct {
	httpClient *http.Client
	replicas   [][]*fakeUpstream
}

func newDirectClient(d *Demo) *directClient {
	const perShard = 3
	b := &directClient{httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: d.size.Connections}}}
	for i := 0; i < len(d.upstreams); i += perShard {
		b.replicas = append(b.replicas, d.upstreams[i:i+perShard])
	}
	return b
}

// roundRobin sends a query to the replicas in turn.
func (b *directClient) roundRobin(n int) error {
	return b.query(func(replicas int) int { return n % replicas })
}

// random sends a query to a random replica of each shard.
func (b *directClient) random(int) error {
	return b.query(rand.IntN)
}

func (b *directClient) query(choose func(replicas int) int) error {
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

func (b *directClient) search(shard int, s *fakeUpstream) error {
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
	resp, err := b.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return nil
}
