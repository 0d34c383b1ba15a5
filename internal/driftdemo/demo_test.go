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

func TestCompleteAnswers(t *testing.T) {
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
		assertCompleteAnswer(t, answer)
	}
}

func assertCompleteAnswer(t *testing.T, a driftapi.Answer) {
	t.Helper()
	assert.True(t, a.Complete)
	assert.Len(t, a.Rows, 20)
	assert.Len(t, a.Searched, 20)
	assert.Empty(t, a.Missing)
	assert.InDelta(t, 1, a.Coverage(), 0)
}

// TestAuditDetectsViolations checks that the audit finds each kind of wrong
// outcome. A check that finds nothing would let a faulty run pass.
func TestAuditDetectsViolations(t *testing.T) {
	depot := "depot-1-1"
	query := driftapi.Query{Request: "q", Class: "depot", Text: "x", Deadline: 1000, Depots: []string{depot}}
	valid := driftapi.Answer{
		Request: "q", Version: 1, Complete: true, Searched: []string{depot},
		Rows: []driftapi.Row{{Depot: depot, Text: driftfake.RowText("x", 1)}},
	}
	search := driftupstream.SearchRequest{Request: "q", Shard: "counter-1", Version: 1, Depots: []string{depot}}
	cases := []struct {
		name      string
		invariant driftcheck.Invariant
		corrupt   func(a *audit, answer *driftapi.Answer)
	}{
		{"an answer to another request", driftcheck.CompleteReply, func(_ *audit, b *driftapi.Answer) { b.Request = "other" }},
		{"a missing row", driftcheck.CompleteReply, func(_ *audit, b *driftapi.Answer) { b.Rows = nil }},
		{"a row of another search", driftcheck.CompleteReply, func(_ *audit, b *driftapi.Answer) { b.Rows[0].Text = "y" }},
		{"a row of another version", driftcheck.Snapshot, func(a *audit, b *driftapi.Answer) {
			a.publishedVersions, b.Rows[0].Text = []uint64{1, 2}, driftfake.RowText("x", 2)
		}},
		{"a depot that is not stated", driftcheck.Coverage, func(_ *audit, b *driftapi.Answer) { b.Searched, b.Rows = nil, nil }},
		{"a depot that was not read", driftcheck.Coverage, func(a *audit, _ *driftapi.Answer) { a.ledger = newLedger() }},
		{"a wrong complete flag", driftcheck.Coverage, func(_ *audit, b *driftapi.Answer) { b.Complete = false }},
		{"another version", driftcheck.Snapshot, func(_ *audit, b *driftapi.Answer) { b.Version = 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAudit(search)
			answer := valid
			answer.Rows = []driftapi.Row{valid.Rows[0]}
			c.corrupt(a, &answer)
			a.recordAnswer(query, answer, time.Millisecond)
			assertViolated(t, a, c.invariant)
		})
	}
	t.Run("a valid answer", func(t *testing.T) {
		a := newTestAudit(search)
		a.recordAnswer(query, valid, time.Millisecond)
		assert.Zero(t, Violations(a.violations).Total(), a.findings)
	})
	t.Run("a false not-run refusal", func(t *testing.T) {
		a := newTestAudit(search)
		a.recordRefusal(query, driftapi.Refusal{Ran: driftapi.RanNo}, time.Millisecond)
		a.checkExecutions()
		assertViolated(t, a, driftcheck.NotRun)
	})
	t.Run("a reservation that ran twice", func(t *testing.T) {
		a := newTestAudit(search, search)
		reserve := query
		reserve.Class = "reserve"
		a.recordAnswer(reserve, valid, time.Millisecond)
		a.checkExecutions()
		assertViolated(t, a, driftcheck.AtMostOnce)
	})
	t.Run("a connection cut off", func(t *testing.T) {
		a := newTestAudit(search)
		a.recordRefusal(query, driftapi.Refusal{Ran: driftapi.RanUnknown, Reason: "silent", Detail: "EOF"}, time.Millisecond)
		assertViolated(t, a, driftcheck.GracefulShutdown)
	})
	t.Run("a query canceled by its caller", func(t *testing.T) {
		a := newTestAudit(search)
		detail := "Post: " + context.Canceled.Error()
		a.recordRefusal(query, driftapi.Refusal{Ran: driftapi.RanUnknown, Reason: "silent", Detail: detail}, time.Millisecond)
		assert.Zero(t, Violations(a.violations).Total(), a.findings)
	})
	t.Run("work in a failure domain that is out", func(t *testing.T) {
		a := newTestAudit(search)
		a.ledger.setOutSince("d", time.Now().Add(-2*driftcheck.NewWorkGrace))
		a.ledger.recordArrival("d", search)
		assert.Equal(t, uint64(1), a.ledger.lateArrivals())
	})
}

func newTestAudit(searches ...driftupstream.SearchRequest) *audit {
	l := newLedger()
	l.setRecording(true)
	for _, s := range searches {
		l.recordArrival("d", s)
		l.recordExecution(s)
	}
	return newAudit(driftfake.Oshana(), l, time.Time{})
}

func assertViolated(t *testing.T, a *audit, p driftcheck.Invariant) {
	t.Helper()
	for _, c := range a.violations {
		if c.Invariant == p {
			assert.NotZero(t, c.Number)
		}
	}
}

func TestReportJSON(t *testing.T) {
	a := newTestAudit()
	a.recordViolation(driftcheck.ColdUpstream, 2, "x")
	body, err := json.Marshal(newReport(a, time.Second))
	require.NoError(t, err)
	assert.Contains(t, string(body), `"violations":{"snapshot":0,"coverage":0,"cold":2,`)
	assert.Contains(t, string(body), `{"name":"counter","queries":0,"p50":0,"p99":0,"coverage":0,"least":1,"refused":0,"extra":0}`)
	assert.Contains(t, string(body), `"seconds":1,"found":["cold: x"]}`)
	body, err = json.Marshal(newReport(newTestAudit(), time.Second))
	require.NoError(t, err)
	assert.Contains(t, string(body), `"seconds":1}`)
}
