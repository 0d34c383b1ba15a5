package drifttest

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

func TestWholeAnswer(t *testing.T) {
	for _, spec := range []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()} {
		t.Run(spec.Service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := NewFleet(t, spec)
				outcome := fleet.Query("vm-1", driftapi.Query{Request: "q-1", Class: "counter", Deadline: 500})
				assertComplete(t, outcome)
			})
		})
	}
}

func assertComplete(t *testing.T, o driftfront.Outcome) {
	t.Helper()
	answered, ok := o.(driftfront.Answered)
	require.True(t, ok, "%+v", o)
	assert.True(t, answered.Answer.Complete)
	assert.Len(t, answered.Answer.Rows, 20)
}
