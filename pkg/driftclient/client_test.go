package driftclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

// entryVM is a fake entry VM on loopback. It counts its requests.
type entryVM struct {
	*httptest.Server
	address   string
	queries   atomic.Int64
	lists     atomic.Int64
	entryList driftapi.Entries
	holdLists chan struct{}
}

// newEntryVM starts a VM that answers queries with the given handler.
func newEntryVM(t *testing.T, answer http.HandlerFunc) *entryVM {
	t.Helper()
	vm := &entryVM{}
	mux := http.NewServeMux()
	mux.HandleFunc(driftapi.PathEntries, func(w http.ResponseWriter, _ *http.Request) {
		if vm.lists.Add(1) > 1 && vm.holdLists != nil {
			<-vm.holdLists
		}
		_ = json.NewEncoder(w).Encode(vm.entryList)
	})
	mux.HandleFunc(driftapi.PathQuery, func(w http.ResponseWriter, r *http.Request) {
		vm.queries.Add(1)
		answer(w, r)
	})
	vm.Server = httptest.NewServer(mux)
	vm.address = strings.TrimPrefix(vm.URL, "http://")
	t.Cleanup(vm.Close)
	return vm
}

// publishEntries makes each VM return the list of all of them, in order.
func publishEntries(life int64, vms ...*entryVM) {
	entryList := driftapi.Entries{Life: life}
	for _, vm := range vms {
		entryList.Entries = append(entryList.Entries, driftapi.Entry{Name: vm.address, Address: vm.address})
	}
	for _, vm := range vms {
		vm.entryList = entryList
	}
}

// writeAnswer answers the query.
func writeAnswer(w http.ResponseWriter, r *http.Request) {
	var q driftapi.Query
	_ = json.NewDecoder(r.Body).Decode(&q)
	_ = json.NewEncoder(w).Encode(driftapi.Answer{Request: q.Request, Complete: true})
}

func refuseWith(ran driftapi.Ran) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(driftapi.Refusal{Ran: ran, Reason: "out"})
	}
}

// closeWithoutAnswer reads the whole query and closes the connection without
// answering.
func closeWithoutAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

const longLifeMs = 600000

func newQuery() driftapi.Query {
	return driftapi.Query{Request: "till-7-1", Class: "counter", Deadline: 20000}
}

// TestTriesNextVMOnlyIfSafe guards against running a query twice: without
// Idempotent the next VM is tried only if the query certainly did not run.
func TestTriesNextVMOnlyIfSafe(t *testing.T) {
	cases := []struct {
		name   string
		first  http.HandlerFunc
		opts   []driftclient.QueryOption
		second int64
	}{
		{"not run", refuseWith(driftapi.RanNo), nil, 1},
		{"unknown", refuseWith(driftapi.RanUnknown), nil, 0},
		{"closed after reading", closeWithoutAnswer, nil, 0},
		{"closed after reading, idempotent", closeWithoutAnswer, []driftclient.QueryOption{driftclient.Idempotent()}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := newEntryVM(t, c.first), newEntryVM(t, writeAnswer)
			publishEntries(longLifeMs, first, second)
			client := driftclient.New([]string{first.address})
			defer client.Close()
			_, err := client.Query(t.Context(), newQuery(), c.opts...)
			assert.Equal(t, int64(1), first.queries.Load())
			assert.Equal(t, c.second, second.queries.Load())
			assertRan(t, err, c.second == 1)
		})
	}
}

// assertRan asserts that there was an answer, or else a refusal with Ran
// "unknown".
func assertRan(t *testing.T, err error, ran bool) {
	t.Helper()
	if ran {
		assert.NoError(t, err)
		return
	}
	var r driftapi.Refusal
	require.ErrorAs(t, err, &r)
	assert.Equal(t, driftapi.RanUnknown, r.Ran)
}

// TestNoResendOnClosedConnection closes a reused connection after reading the
// second query. net/http would resend the request if it could rewind the body.
func TestNoResendOnClosedConnection(t *testing.T) {
	var count atomic.Int64
	vm := newEntryVM(t, func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			writeAnswer(w, r)
			return
		}
		closeWithoutAnswer(w, r)
	})
	publishEntries(longLifeMs, vm)
	client := driftclient.New([]string{vm.address})
	defer client.Close()
	_, err := client.Query(t.Context(), newQuery())
	require.NoError(t, err)
	_, err = client.Query(t.Context(), newQuery())
	assertRan(t, err, false)
	assert.Equal(t, int64(2), vm.queries.Load())
}

// TestSkipsUnreachableVM checks that a failed connection counts as not run.
func TestSkipsUnreachableVM(t *testing.T) {
	unreachable, vm := newEntryVM(t, writeAnswer), newEntryVM(t, writeAnswer)
	publishEntries(longLifeMs, unreachable, vm)
	unreachable.Close()
	client := driftclient.New([]string{vm.address})
	defer client.Close()
	for range 3 {
		_, err := client.Query(t.Context(), newQuery())
		require.NoError(t, err)
	}
	assert.Zero(t, unreachable.queries.Load())
}

// TestRenewalDoesNotBlockQueries blocks every list but the first. Queries keep
// using the old list.
func TestRenewalDoesNotBlockQueries(t *testing.T) {
	vm := newEntryVM(t, writeAnswer)
	vm.holdLists = make(chan struct{})
	defer close(vm.holdLists)
	publishEntries(1, vm)
	client := driftclient.New([]string{vm.address})
	defer client.Close()
	for range 20 {
		_, err := client.Query(t.Context(), newQuery())
		require.NoError(t, err)
	}
}

func Example() {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc(driftapi.PathEntries, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(driftapi.Entries{
			Entries: []driftapi.Entry{{Name: "vm-1", Address: address, Domain: "Recife"}}, Life: 10000,
		})
	})
	mux.HandleFunc(driftapi.PathQuery, writeAnswer)

	client := driftclient.New([]string{address},
		driftclient.WithCaller("till-7"), driftclient.WithDomain("Recife"))
	defer client.Close()
	answer, err := client.Query(context.Background(), driftapi.Query{
		Request: "till-7-1", Class: "counter", Text: "church", Deadline: 2000,
	}, driftclient.Idempotent())
	fmt.Println(answer.Request, answer.Complete, err)
	// Output: till-7-1 true <nil>
}
