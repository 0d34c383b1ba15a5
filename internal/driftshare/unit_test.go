package driftshare

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestUnits checks that the units of all VMs add up to the total under any
// membership.
func TestUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 90).Draw(t, "vms")
		total := rapid.IntRange(0, 530).Draw(t, "total")
		vms := make([]Owner, count)
		for i := range vms {
			vms[i] = Owner{Name: fmt.Sprintf("vm-%d", i), Weight: rapid.SampledFrom([]int{1, 2, 8, 16}).Draw(t, "weight")}
		}
		sum := 0
		for i, self := range vms {
			sum += Units(total, "u", self, slices.Concat(vms[:i], vms[i+1:]))
		}
		assert.Equal(t, total, sum)
	})
}

// TestBorrower checks that loaded VMs share the lenders, and that the loss of
// one moves only its own.
func TestBorrower(t *testing.T) {
	loaded := []string{"a", "b", "c"}
	count := make(map[string]int)
	for i := range 300 {
		lender := fmt.Sprint("vm-", i)
		before := Borrower(lender, loaded)
		count[before]++
		if before != "c" {
			assert.Equal(t, before, Borrower(lender, loaded[:2]))
		}
	}
	for _, name := range loaded {
		assert.Greater(t, count[name], 60)
	}
	assert.Empty(t, Borrower("vm", nil))
}
