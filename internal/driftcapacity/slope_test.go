package driftcapacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFitLine(t *testing.T) {
	s := Slope{Points: []Point{{Size: 1, Runs: []float64{3, 5}}, {Size: 2, Runs: []float64{6}}, {Size: 3, Runs: []float64{8}}}}
	intercept, gradient := s.FitLine()
	assert.InDelta(t, 2, intercept, 1e-9)
	assert.InDelta(t, 2, gradient, 1e-9)
	assert.InDelta(t, 4, s.ValueAt(1), 1e-9)
	assert.InDelta(t, 22, s.ValueAt(10), 1e-9)
	assert.InDelta(t, 0.25, s.Spread(), 1e-9)
}

func TestFallingLineIsNotExtrapolated(t *testing.T) {
	s := Slope{Points: []Point{{Size: 1, Runs: []float64{6}}, {Size: 2, Runs: []float64{4}}, {Size: 3, Runs: []float64{2}}}}
	assert.InDelta(t, 2, s.ValueAt(100), 1e-9)
}

func TestEveryTableRowIsMeasured(t *testing.T) {
	var text strings.Builder
	require.NoError(t, Print(&text))
	assert.NotContains(t, text.String(), "not measured")
}
