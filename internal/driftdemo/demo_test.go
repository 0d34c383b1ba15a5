package driftdemo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
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
			Request: fmt.Sprintf("q-%d", i), Class: "counter", Text: "church", Deadline: 30_000,
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
