package driftdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftupstream"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
	"github.com/almonddrift/almonddrift/pkg/driftclient"
)

func TestWholeAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	demo := New(driftfake.Oshana())
	require.NoError(t, demo.Start(ctx))
	defer func() { assert.NoError(t, demo.Stop(ctx)) }()
	client := driftclient.New(demo.Entries(), driftclient.WithCaller("till-1"))
	for i := range 20 {
		answer, err := client.Query(ctx, driftapi.Query{
			Request: fmt.Sprintf("q-%d", i), Class: "night", Text: "church", Deadline: 30_000,
		})
		require.NoError(t, err)
		assertWhole(t, answer)
	}
}

func assertWhole(t *testing.T, a driftapi.Answer) {
	t.Helper()
	assert.True(t, a.Complete)
	assert.Len(t, a.Rows, 20)
	assert.Len(t, a.Searched, 20)
	assert.Empty(t, a.Missing)
	assert.InDelta(t, 1, a.Coverage(), 0)
}

// TestAudit shows that the audit sees what a program could do wrong.
func TestAudit(t *testing.T) {
	depot := "depot-1-1"
	query := driftapi.Query{Request: "q", Class: "depot", Text: "x", Deadline: 1000, Depots: []string{depot}}
	sound := driftapi.Answer{
		Request: "q", Version: 1, Complete: true, Searched: []string{depot},
		Rows: []driftapi.Row{{Depot: depot, Text: driftfake.RowText("x", 1)}},
	}
	search := driftupstream.SearchRequest{Request: "q", Shard: "counter-1", Version: 1, Depots: []string{depot}}
	cases := []struct {
		name    string
		promise driftcheck.Promise
		damage  func(a *audit, answer *driftapi.Answer)
	}{
		{"a crossed answer", driftcheck.Whole, func(_ *audit, b *driftapi.Answer) { b.Request = "other" }},
		{"a missing row", driftcheck.Whole, func(_ *audit, b *driftapi.Answer) { b.Rows = nil }},
		{"a row of another search", driftcheck.Whole, func(_ *audit, b *driftapi.Answer) { b.Rows[0].Text = "y" }},
		{"a row of another version", driftcheck.Snapshot, func(a *audit, b *driftapi.Answer) {
			a.versions, b.Rows[0].Text = []uint64{1, 2}, driftfake.RowText("x", 2)
		}},
		{"a depot that is not stated", driftcheck.Coverage, func(_ *audit, b *driftapi.Answer) { b.Searched, b.Rows = nil, nil }},
		{"a depot that nobody read", driftcheck.Coverage, func(a *audit, _ *driftapi.Answer) { a.ledger = newLedger() }},
		{"a wrong complete mark", driftcheck.Coverage, func(_ *audit, b *driftapi.Answer) { b.Complete = false }},
		{"another version", driftcheck.Snapshot, func(_ *audit, b *driftapi.Answer) { b.Version = 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAudit(search)
			answer := sound
			answer.Rows = []driftapi.Row{sound.Rows[0]}
			c.damage(a, &answer)
			a.answered(query, answer, time.Millisecond)
			assertViolated(t, a, c.promise)
		})
	}
	t.Run("a sound answer", func(t *testing.T) {
		a := newTestAudit(search)
		a.answered(query, sound, time.Millisecond)
		assert.Zero(t, Violations(a.counts).Total(), a.findings)
	})
	t.Run("a refusal that is not true", func(t *testing.T) {
		a := newTestAudit(search)
		a.refused(query, driftapi.Refusal{Ran: driftapi.RanNo}, time.Millisecond)
		a.checkRuns()
		assertViolated(t, a, driftcheck.NotRun)
	})
	t.Run("a repeated reservation", func(t *testing.T) {
		a := newTestAudit(search, search)
		reserve := query
		reserve.Class = "reserve"
		a.answered(reserve, sound, time.Millisecond)
		a.checkRuns()
		assertViolated(t, a, driftcheck.Once)
	})
	t.Run("a connection cut off", func(t *testing.T) {
		a := newTestAudit(search)
		a.refused(query, driftapi.Refusal{Ran: driftapi.RanUnknown, Reason: "silent", Detail: "EOF"}, time.Millisecond)
		assertViolated(t, a, driftcheck.Graceful)
	})
	t.Run("a caller that gave up by itself", func(t *testing.T) {
		a := newTestAudit(search)
		detail := "Post: " + context.Canceled.Error()
		a.refused(query, driftapi.Refusal{Ran: driftapi.RanUnknown, Reason: "silent", Detail: detail}, time.Millisecond)
		assert.Zero(t, Violations(a.counts).Total(), a.findings)
	})
	t.Run("work in a failure domain that is out", func(t *testing.T) {
		a := newTestAudit(search)
		a.ledger.mark("d", time.Now().Add(-2*driftcheck.OutGrace))
		a.ledger.arrive("d", search)
		assert.Equal(t, uint64(1), a.ledger.late())
	})
}

func newTestAudit(searches ...driftupstream.SearchRequest) *audit {
	l := newLedger()
	l.keep(true)
	for _, s := range searches {
		l.arrive("d", s)
		l.run(s)
	}
	return newAudit(driftfake.Oshana(), l, time.Time{})
}

func assertViolated(t *testing.T, a *audit, p driftcheck.Promise) {
	t.Helper()
	for _, c := range a.counts {
		if c.Promise == p {
			assert.NotZero(t, c.Number)
		}
	}
}

func TestReportJSON(t *testing.T) {
	a := newTestAudit()
	a.violate(driftcheck.Cold, 2, "x")
	body, err := json.Marshal(newReport(a, time.Second))
	require.NoError(t, err)
	assert.Contains(t, string(body), `"violations":{"snapshot":0,"coverage":0,"cold":2,`)
	assert.Contains(t, string(body), `{"name":"counter","queries":0,"p50":0,"p99":0,"coverage":0,"least":1,"refused":0,"extra":0}`)
	assert.Contains(t, string(body), `"seconds":1}`)
}
