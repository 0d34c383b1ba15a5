package driftshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestUnmet(t *testing.T) {
	for _, c := range []struct {
		name  string
		met   bool
		seeds int
		want  bool
	}{
		{"just started", false, 2, true},
		{"seeds name no other VM", false, 0, false},
		{"heard of a VM", true, 2, false},
		{"heard of a VM that no seed names", true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, Unmet(c.met, c.seeds)) })
	}
	assert.Greater(t, UnmetVMs(1), 1, "an unmet VM is not the whole fleet")
	assert.Equal(t, 2*unmetVMs, UnmetVMs(2*unmetVMs), "a larger number that is known counts")
}

// TestUnmetUnits checks that unmet VMs keep to a limit together, up to a number of
// VMs, and that each serves.
func TestUnmetUnits(t *testing.T) {
	assert.Zero(t, UnmetUnits(0))
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 10_000).Draw(t, "total")
		units := UnmetUnits(total)
		assert.Positive(t, units)
		assert.LessOrEqual(t, units*unmetVMs, max(total, unmetVMs))
	})
}
