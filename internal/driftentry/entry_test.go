package driftentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fleet returns VMs of two capacities: the first few of a domain are large.
func fleet(vms, large int, load float64) []VM {
	var all []VM
	for i := range vms {
		vm := VM{Name: fmt.Sprintf("vm-%d", i), Domain: "d", Capacity: 2000, Load: load / float64(vms)}
		if i < large {
			vm.Capacity = 20000
		}
		all = append(all, vm)
	}
	return all
}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name string
		vms  []VM
		want int
	}{
		{"small fleet, all", fleet(3, 0, 100), 3},
		{"two left", fleet(2, 0, 100), 2},
		{"large fleet, little load", fleet(26, 0, 500), minEntryVMs},
		{"two of much larger capacity", fleet(26, 2, 500), minLargeEntryVMs},
		{"one of much larger capacity", fleet(26, 1, 500), minEntryVMs},
		{"load for six", fleet(26, 0, 4000), 6},
		{"load for all", fleet(26, 2, 1e6), 26},
		{"unknown capacities", []VM{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "e"}}, 4},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Len(t, Choose(c.vms), c.want) })
	}
	t.Run("largest first", func(t *testing.T) {
		large := 0
		for _, vm := range Choose(fleet(26, 4, 500)) {
			if vm.Capacity > 2000 {
				large++
			}
		}
		assert.Equal(t, minEntryVMs, large)
	})
}

// TestChooseCapacity checks that the chosen VMs can handle the load if the
// fleet can, and that the loss of a VM that was not chosen changes nothing.
func TestChooseCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(1, 60).Draw(t, "vms"), rapid.IntRange(0, 4).Draw(t, "large"),
			rapid.Float64Range(0, 30000).Draw(t, "load"))
		chosen := Choose(vms)
		assert.GreaterOrEqual(t, len(chosen), min(minLargeEntryVMs, len(vms)))
		smallest, load := chosen[0].Capacity, 0.0
		for _, vm := range chosen {
			smallest = min(smallest, vm.Capacity)
		}
		for _, vm := range vms {
			load += vm.Load
		}
		if len(chosen) < len(vms) {
			assert.LessOrEqual(t, loadHeadroom*load, smallest*float64(len(chosen))+1e-6)
		}
		names := make(map[string]bool)
		for _, vm := range chosen {
			names[vm.Name] = true
		}
		for i, vm := range vms {
			if names[vm.Name] || vm.Load > 0 {
				continue
			}
			rest := append(append([]VM{}, vms[:i]...), vms[i+1:]...)
			assert.Equal(t, chosen, Choose(rest))
			break
		}
	})
}

func TestCapacity(t *testing.T) {
	assert.InDelta(t, 2083, Capacity(0.192, 20), 1)
	assert.InDelta(t, 6400, Capacity(0.192, 0), 1)
	assert.InDelta(t, 2083, Capacity(0, 20), 1)
	assert.Zero(t, Capacity(0, 0))
}

func TestRecentEntryVMs(t *testing.T) {
	var r RecentEntryVMs
	now := time.Now()
	assert.False(t, r.Contains("a"))
	r.Record([]VM{{Name: "a"}, {Name: "b"}}, now)
	r.Record([]VM{{Name: "b"}}, now.Add(recentEntrySpan))
	assert.True(t, r.Contains("a"), "it still holds connections")
	r.Record([]VM{{Name: "b"}}, now.Add(recentEntrySpan+time.Second))
	assert.False(t, r.Contains("a"))
	assert.True(t, r.Contains("b"))
}

// BenchmarkChoose measures a choice, which each VM makes four times a second.
// docs/CAPACITY.md has the figures.
func BenchmarkChoose(b *testing.B) {
	for _, vms := range []int{88, 880, 8800} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			all := fleet(vms, vms/10, 1e5)
			for i := range all {
				all[i].Domain = fmt.Sprintf("d%d", i%19)
			}
			for b.Loop() {
				_ = Choose(all)
			}
		})
	}
}
