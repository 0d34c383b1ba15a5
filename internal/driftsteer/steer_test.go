package driftsteer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftsteer"
	"github.com/almonddrift/almonddrift/internal/drifttable"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

const (
	callerCount = 1000
	maxSpread   = 1.25
)

// fleet returns VMs that are spread evenly over the domains.
func fleet(domains []string, count int) []drifttable.VM {
	vms := make([]drifttable.VM, 0, count)
	for i := range count {
		name := fmt.Sprintf("vm-%d", i+1)
		vms = append(vms, drifttable.VM{
			Name: name, Domain: domains[i%len(domains)], Callers: fmt.Sprintf("10.0.0.%d:7000", i+1),
		})
	}
	return vms
}

func newSelector(vms []drifttable.VM) *driftsteer.EntrySelector {
	v := drifttable.View{Self: "vm-1", VMs: drifttable.NewTable(vms...)}
	return driftsteer.New(drifttable.NewViewHolder(v), 10*time.Second)
}

func sizes() []driftfake.ServiceSpec {
	return []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()}
}

func TestSpread(t *testing.T) {
	for _, size := range sizes() {
		for _, pattern := range []string{"till-%d", "10.1.0.%d", "pastor/%04d", "%d"} {
			t.Run(size.Service+" "+pattern, func(t *testing.T) {
				s := newSelector(fleet(size.Domains, 8))
				assertSpread(t, s, pattern, "", 8)
				for i, d := range size.Domains {
					assertSpread(t, s, pattern, d, (8-i+len(size.Domains)-1)/len(size.Domains))
				}
			})
		}
	}
}

// assertSpread asserts that callerCount callers are spread evenly over the VMs.
func assertSpread(t *testing.T, s *driftsteer.EntrySelector, pattern, domain string, vms int) {
	t.Helper()
	counts := make(map[string]int)
	most := 0
	for i := range callerCount {
		first := s.Entries(fmt.Sprintf(pattern, i), domain).Entries[0]
		counts[first.Name]++
		most = max(most, counts[first.Name])
	}
	assert.Len(t, counts, vms)
	spread := float64(most) * float64(vms) / callerCount
	t.Logf("%q: highest over mean %.3f", domain, spread)
	assert.LessOrEqual(t, spread, maxSpread, domain)
}

func TestStable(t *testing.T) {
	for _, size := range sizes() {
		t.Run(size.Service, func(t *testing.T) {
			vms := fleet(size.Domains, 8)
			before, after := newSelector(vms), newSelector(vms[:7])
			for i := range callerCount {
				caller, domain := fmt.Sprintf("till-%d", i), size.Domains[i%len(size.Domains)]
				first := before.Entries(caller, domain).Entries[0]
				if first.Name != "vm-8" {
					assert.Equal(t, first, after.Entries(caller, domain).Entries[0])
				}
			}
		})
	}
}

func TestWithdrawn(t *testing.T) {
	cases := []struct {
		name   string
		change func(vm *drifttable.VM)
	}{
		{"leaving", func(vm *drifttable.VM) { vm.Health = drifttable.Leaving }},
		{"dead", func(vm *drifttable.VM) { vm.Health = drifttable.Dead }},
		{"out", func(vm *drifttable.VM) { vm.Out = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			vms := fleet([]string{"a", "b", "c"}, 8)
			c.change(&vms[0])
			for i := range callerCount {
				assertWithout(t, newSelector(vms).Entries(fmt.Sprint(i), "a"), "vm-1")
			}
		})
	}
}

func assertWithout(t *testing.T, list driftapi.Entries, vm string) {
	t.Helper()
	for _, e := range list.Entries {
		assert.NotEqual(t, vm, e.Name)
	}
}

func TestBounded(t *testing.T) {
	domains := make([]string, 19)
	for i := range domains {
		domains[i] = fmt.Sprintf("domain-%d", i)
	}
	s := newSelector(fleet(domains, 8800))
	list := s.Entries("till-1", "domain-3")
	require.NotEmpty(t, list.Entries)
	assert.LessOrEqual(t, len(list.Entries), 10)
	assert.Equal(t, "domain-3", list.Entries[0].Domain)
	assertDomains(t, list, 2)
	assertDomains(t, s.Entries("till-1", "elsewhere"), 2)
}

// assertDomains asserts that a list names at least the minimum of domains.
func assertDomains(t *testing.T, list driftapi.Entries, minimum int) {
	t.Helper()
	seen := make(map[string]bool)
	for _, e := range list.Entries {
		seen[e.Domain] = true
	}
	assert.GreaterOrEqual(t, len(seen), minimum)
}
