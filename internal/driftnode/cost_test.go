package driftnode_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/driftpeer"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// shardCount is the number of shards of the measured query.
const shardCount = 10

// warmUpTime is how long the nodes run before the measurement starts.
const warmUpTime = 20 * time.Second

// BenchmarkShardRequest measures the processor time of one shard request, with
// both VMs and the simulated upstreams in this process. The queries run on one
// goroutine for each processor.
func BenchmarkShardRequest(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(serveUpstream))
	defer upstream.Close()
	address := upstream.Listener.Addr().String()
	b.Run("bare", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
		measureProcessorTime(b, func(id string) { searchDirectly(b, client, address, id) })
	})
	b.Run("owner is the same VM", func(b *testing.B) {
		node := startTwoVMs(b, address, "here")
		measureProcessorTime(b, func(id string) { query(b, node, id) })
	})
	b.Run("owner is another VM", func(b *testing.B) {
		node := startTwoVMs(b, address, "there")
		measureProcessorTime(b, func(id string) { query(b, node, id) })
	})
}

// serveUpstream is an upstream that uses as little processor time as possible.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	var request driftupstream.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply := driftupstream.SearchReply{Attempt: request.Attempt, Version: request.Version, Depots: request.Depots, Incarnation: 1}
	for _, d := range request.Depots {
		reply.Rows = append(reply.Rows, driftshard.Row{Depot: d, Text: request.Text})
	}
	reply.Count = len(reply.Rows)
	_ = json.NewEncoder(w).Encode(reply)
}

// searchDirectly is the baseline of the benchmark: it sends one request for
// each shard directly to the upstream.
func searchDirectly(b *testing.B, client *http.Client, address, id string) {
	b.Helper()
	var group sync.WaitGroup
	for i := range shardCount {
		group.Go(func() {
			body, _ := json.Marshal(driftupstream.SearchRequest{
				Request: id, Attempt: id + "/" + strconv.Itoa(i), Version: 1,
				Depots: []string{"depot-1", "depot-2"}, Text: "church",
			})
			target := "http://" + address + driftupstream.PathSearch
			req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, target, bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			reply, _ := io.ReadAll(resp.Body)
			var f driftupstream.SearchReply
			if err := json.Unmarshal(reply, &f); err != nil || f.Count != 2 {
				b.Error("incomplete reply", err)
			}
		})
	}
	group.Wait()
}

func query(b *testing.B, node *driftnode.Node, id string) {
	b.Helper()
	outcome := node.Front.Query(b.Context(), driftapi.Query{
		Request: id, Class: "counter", Text: "church", Deadline: 10_000,
	})
	answered, ok := outcome.(driftfront.Answered)
	if !ok || !answered.Answer.Complete {
		b.Errorf("answer is not complete: %+v", outcome)
	}
}

// measureProcessorTime runs queries as a benchmark and reports the processor
// time for each shard request.
func measureProcessorTime(b *testing.B, do func(id string)) {
	b.Helper()
	b.ReportAllocs()
	for i := range 200 {
		do("warm-" + strconv.Itoa(i))
	}
	b.ResetTimer()
	before := processorTime(b)
	var mu sync.Mutex
	workers := 0
	b.RunParallel(func(p *testing.PB) {
		mu.Lock()
		workers++
		prefix := "q-" + strconv.Itoa(workers) + "-"
		mu.Unlock()
		for i := 0; p.Next(); i++ {
			do(prefix + strconv.Itoa(i))
		}
	})
	used := processorTime(b) - before
	b.ReportMetric(float64(used)/float64(b.N*shardCount), "cpu-ns/shard")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startTwoVMs runs two VMs, "here" and "there", each in its own failure domain,
// with all upstreams in the given domain, and returns the VM "here".
func startTwoVMs(b *testing.B, upstream, domain string) *driftnode.Node {
	b.Helper()
	platform := driftfake.NewPlatform()
	spec := driftfake.ServiceSpec{
		Service: "counter", Domains: []string{domain}, Shards: shardCount, Replicas: 3, Depots: 2,
		Slots: 64, Connections: 200, OpeningCost: time.Millisecond,
	}
	platform.Put(driftdocument.KeyDomains, driftfake.ServiceSpec{Domains: []string{"here", "there"}}.DomainsDocument())
	platform.Put(driftdocument.KeyClasses, spec.ClassesDocument())
	platform.Put(driftdocument.KeyMarks, driftdocument.Marks{})
	platform.Put(driftdocument.KeyUpstreamsPrefix+"counter", spec.UpstreamsDocument(func(string) string { return upstream }))
	platform.Put(driftdocument.KeyVersionsPrefix+"counter", spec.VersionsDocument(1))
	transport := driftpeer.NewHTTPTransport()
	b.Cleanup(transport.Close)
	var listed []driftplatform.ListedVM
	nodes := make(map[string]*driftnode.Node)
	for _, name := range []string{"here", "there"} {
		listener := httptest.NewUnstartedServer(nil)
		address := listener.Listener.Addr().String()
		events := driftevent.NewLog(name, 1)
		node := driftnode.New(driftnode.Dependencies{
			Self:   drifttable.VM{Name: name, Domain: name, Incarnation: 1, Callers: address, Peers: address},
			Config: platform, Lister: platform, Transport: transport, Dialer: driftupstream.NewHTTPDialer(),
			Events: events, Checker: driftcheck.NewChecker(events), EntryListTTL: time.Second,
		})
		listener.Config.Handler = node.Server.Handler()
		listener.Start()
		b.Cleanup(listener.Close)
		b.Cleanup(node.Server.Close)
		listed = append(listed, driftplatform.ListedVM{Name: name, Domain: name, Callers: address, Peers: address})
		nodes[name] = node
	}
	platform.SetVMs(listed...)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for _, node := range nodes {
		go func() { _ = node.Run(ctx) }()
	}
	time.Sleep(warmUpTime)
	return nodes["here"]
}
