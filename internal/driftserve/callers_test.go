package driftserve

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftnode"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// newTestNode returns a node with a recent view without classes.
func newTestNode() *driftnode.Node {
	events := driftevent.NewLog("vm-1", 1)
	platform := driftfake.NewPlatform()
	self := drifttable.VM{Name: "vm-1", Domain: "Recife", Callers: "127.0.0.1:1"}
	node := driftnode.New(driftnode.Dependencies{
		Self: self, Config: platform, Lister: platform, Events: events,
		Transport: driftfake.NewNetwork(nil).Transport("vm-1"), Dialer: driftfake.NewDialer(),
		Checker: driftcheck.NewChecker(events), EntryListTTL: time.Second,
	})
	node.Views().Publish(drifttable.View{
		Self: "vm-1", BuiltAt: time.Now().Add(time.Hour), VMs: drifttable.NewTable(self),
	})
	return node
}

func TestBadInput(t *testing.T) {
	handler := newCallersHandler(prometheus.NewRegistry(), newTestNode())
	big := `{"request":"r","class":"c","deadline":1,"text":"` + strings.Repeat("x", maxQueryBytes) + `"}`
	cases := []struct {
		name, method, path, body string
		want                     int
		request, reason, field   string
	}{
		{"not JSON", "POST", driftapi.PathQuery, "fire", 400, "", reasonMalformed, ""},
		{"truncated", "POST", driftapi.PathQuery, `{"request":"r","cla`, 400, "r", reasonMalformed, ""},
		{"a field of another type", "POST", driftapi.PathQuery, `{"request":"r","deadline":"soon"}`, 400, "r", reasonMalformed, "deadline"},
		{"an unknown field", "POST", driftapi.PathQuery, `{"weight":1,"request":"r"}`, 400, "r", reasonMalformed, "weight"},
		{"no class", "POST", driftapi.PathQuery, `{"request":"r","deadline":5}`, 400, "r", reasonMalformed, "class"},
		{"no request id", "POST", driftapi.PathQuery, `{"class":"c","deadline":5}`, 400, "", reasonMalformed, "request"},
		{"no deadline", "POST", driftapi.PathQuery, `{"request":"r","class":"c"}`, 400, "r", reasonMalformed, "deadline"},
		{"a deadline below zero", "POST", driftapi.PathQuery, `{"request":"r","class":"c","deadline":-1}`, 400, "r", reasonMalformed, "deadline"},
		{"an empty depot", "POST", driftapi.PathQuery, `{"request":"r","class":"c","deadline":5,"depots":[""]}`, 400, "r", reasonMalformed, "depots[0]"},
		{"two values", "POST", driftapi.PathQuery, `{"request":"r","class":"c","deadline":5}{}`, 400, "r", reasonMalformed, ""},
		{"oversized", "POST", driftapi.PathQuery, big, 413, "r", reasonOversized, ""},
		{"an unknown class", "POST", driftapi.PathQuery, `{"request":"r","class":"c","deadline":500}`, 404, "r", "unclassified", ""},
		{"an unknown path", "GET", "/v1/weights", "", 404, "", reasonPath, ""},
		{"another method", "GET", driftapi.PathQuery, "", 405, "", reasonMethod, ""},
		{"a long caller name", "GET", driftapi.PathEntries + "?caller=" + strings.Repeat("x", 200), "", 400, "", reasonMalformed, "caller"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body)))
			assert.Equal(t, c.want, w.Code)
			r := assertRefusal(t, w)
			assert.Equal(t, driftapi.RanNo, r.Ran)
			assert.Equal(t, c.request, r.Request)
			assert.Equal(t, c.reason, r.Reason)
			assert.Equal(t, c.field, r.Field)
		})
	}
}

func assertRefusal(t *testing.T, w *httptest.ResponseRecorder) (r driftapi.Refusal) {
	t.Helper()
	decoder := json.NewDecoder(w.Body)
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&r))
	assert.NotEmpty(t, r.Reason)
	return r
}

func TestPanic(t *testing.T) {
	node := newTestNode()
	node.Front = nil
	handler := newCallersHandler(prometheus.NewRegistry(), node)
	body := strings.NewReader(`{"request":"r","class":"c","deadline":500}`)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", driftapi.PathQuery, body))
	assert.Equal(t, http.StatusInternalServerError, w.Code)
	assert.Equal(t, driftapi.RanUnknown, assertRefusal(t, w).Ran)
	assert.Equal(t, uint64(1), node.Events.Count(driftevent.InternalError))
}

func TestMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	node := newTestNode()
	callers := newCallersHandler(registry, node)
	ops := newOpsHandler(registry, node)
	body := strings.NewReader(`{"request":"r","class":"c","deadline":500}`)
	callers.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), "POST", driftapi.PathQuery, body))
	node.Checker.OneSnapshot("r", 1, 2)
	w := httptest.NewRecorder()
	ops.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	for _, line := range []string{
		`almonddrift_refusals_total{ran="no",reason="unclassified"} 1`,
		`almonddrift_query_seconds_count{class="",outcome="refused"} 1`,
		`almonddrift_events_total{code="900",name="promise violated"} 1`,
		`almonddrift_violations_total{promise="snapshot"} 1`,
		`almonddrift_vms{health="alive"} 1`,
	} {
		assert.Contains(t, w.Body.String(), line)
	}
}

func TestHealth(t *testing.T) {
	now := time.Unix(100, 0)
	self := drifttable.VM{Name: "vm-1", Domain: "Recife"}
	serving := drifttable.View{
		Self: "vm-1", Number: 1, BuiltAt: now, VMs: drifttable.NewTable(self),
		Classes: drifttable.NewTable(drifttable.Class{Name: "fire"}),
	}
	assert.True(t, readiness(&serving, now).OK)
	assert.True(t, liveness(&serving, now).OK)
	assert.True(t, liveness(&drifttable.View{}, now).OK, "before the first view")
	assert.False(t, liveness(&serving, now.Add(maxLiveViewAge+1)).OK)
	for name, change := range map[string]func(v *drifttable.View){
		"old view":   func(v *drifttable.View) { v.BuiltAt = now.Add(-maxReadyViewAge - 1) },
		"no classes": func(v *drifttable.View) { v.Classes = drifttable.Table[drifttable.Class]{} },
		"fenced":     func(v *drifttable.View) { v.Fenced = true },
		"marked out": func(v *drifttable.View) {
			out := self
			out.Out = true
			v.VMs = drifttable.NewTable(out)
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := serving
			change(&v)
			h := readiness(&v, now)
			assert.False(t, h.OK)
			assert.NotEmpty(t, h.Reason)
		})
	}
}

// FuzzQuery asserts that every body is either a valid query with a request id
// and a deadline, or refused as not run.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{
		`{"request":"r","class":"c","deadline":5}`, `{"request":"r","depots":["a",""]}`, `{"request":"r","cla`,
		`{"request":1,"request":"r"}`, `[]`, ``, `{"deadline":1e400}`, `{"request":"r","class":"c","deadline":5}x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := parseQuery(body)
		if err == nil {
			require.NotEmpty(t, q.Request)
			require.Positive(t, q.Deadline)
			return
		}
		r := malformedRefusal(requestID(body), err)
		require.Equal(t, driftapi.RanNo, r.Ran)
		require.NotEmpty(t, r.Detail)
		require.LessOrEqual(t, len(r.Request), maxRequestID)
	})
}
