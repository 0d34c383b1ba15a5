package driftupstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// TestNothingIsReplayed guards against net/http sending a request again after
// the upstream has read it and closed the connection without a reply.
func TestNothingIsReplayed(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	conn, err := NewHTTPDialer().Dial(t.Context(), drifttable.Upstream{Name: "u", Address: server.Listener.Addr().String()})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reply := conn.Do(t.Context(), driftshard.Request{
		Query: "q", Attempt: "a", NonIdempotent: true, Deadline: time.Now().Add(time.Minute),
	})
	assertSent(t, reply)
	assert.EqualValues(t, 1, requests.Load())
}

func assertSent(t *testing.T, reply Reply) {
	t.Helper()
	failed, ok := reply.(Failure)
	require.True(t, ok, "%+v", reply)
	assert.True(t, failed.Sent)
}
