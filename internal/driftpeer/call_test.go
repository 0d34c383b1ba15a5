package driftpeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// immediateHandler answers every shard request at once.
type immediateHandler struct{}

func (immediateHandler) Handle(_ context.Context, r driftshard.Request) driftshard.Result {
	rows := make([]driftshard.Row, 0, len(r.Depots))
	for _, d := range r.Depots {
		rows = append(rows, driftshard.Row{Depot: d, Text: r.Text})
	}
	return driftshard.Done{
		Attempt: r.Attempt, Version: r.Version, Depots: r.Depots, Rows: rows, Count: len(rows),
	}
}

// BenchmarkShardCall measures one shard request from one VM to another and its
// reply, with both ends in this process.
func BenchmarkShardCall(b *testing.B) {
	server := NewServer("vm-2", 1, nil, immediateHandler{}, nil, nil, nil)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	listener := httptest.NewUnstartedServer(server.Handler())
	listener.Config.Protocols = &protocols
	listener.Start()
	defer listener.Close()
	b.Run("twirp over HTTP/1.1", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
		benchmarkShardCall(b, pb.NewPeerProtobufClient(listener.URL, client))
	})
	b.Run("twirp over HTTP/2", func(b *testing.B) {
		var http2Only http.Protocols
		http2Only.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: &http2Only, DisableCompression: true}}
		benchmarkShardCall(b, pb.NewPeerProtobufClient(listener.URL, client))
	})
	b.Run("net/rpc", func(b *testing.B) {
		benchmarkShardCall(b, NewHTTPTransport().Peer(listener.Listener.Addr().String()))
	})
}

func benchmarkShardCall(b *testing.B, peer pb.Peer) {
	b.Helper()
	b.ReportAllocs()
	before := processorTime(b)
	b.SetParallelism(8)
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			r := driftshard.Request{
				Query: "q-1", Attempt: "q-1/" + strconv.Itoa(i), Class: "counter", Service: "counter",
				Shard: "counter-1", Upstream: "counter-1a", Version: 1, Depots: []string{"depot-1-1", "depot-1-2"},
				Text: "church", Deadline: time.Now().Add(time.Second),
			}
			reply, err := peer.Shard(context.Background(), requestToWire(r))
			if err != nil {
				b.Error(err)
				return
			}
			resultFromWire(r.Attempt, reply)
		}
	})
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
