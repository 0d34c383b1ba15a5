package drifttest

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftcontrol"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

var (
	ownerScriptCount = flag.Int("owners", 6, "number of random fault scripts of TestOneOwner")
	ownerSeed        = flag.Int("ownerseed", 1, "seed of the random fault scripts of TestOneOwner")
)

// drawnFault is one randomly drawn fault and the time until the next one.
type drawnFault struct {
	kind  string
	vm    string
	other string
	side  []string
	wait  time.Duration
}

func drawFault(t *rapid.T) drawnFault {
	return drawnFault{
		kind: rapid.SampledFrom([]string{
			"cut", "cut", "oneway", "split", "heal", "pause", "resume", "kill", "start", "leave", "slow", "slow", "none",
		}).Draw(t, "kind"),
		vm:    rapid.SampledFrom(VMNames()).Draw(t, "vm"),
		other: rapid.SampledFrom(VMNames()).Draw(t, "other"),
		side:  rapid.SliceOfNDistinct(rapid.SampledFrom(VMNames()), 1, vmCount/2, rapid.ID).Draw(t, "side"),
		wait:  time.Duration(rapid.IntRange(10, 3000).Draw(t, "wait")) * time.Millisecond,
	}
}

// ownershipScript injects faults into a fleet and samples which VM owns each
// upstream. The first upstream with two owners is kept in violation.
type ownershipScript struct {
	*Fleet
	stopped   map[string]bool
	violation string
}

func (s *ownershipScript) inject(f drawnFault) {
	switch f.kind {
	case "cut":
		s.SetPartitioned(f.vm, f.other, f.vm != f.other)
	case "oneway":
		s.Network.SetPartitioned(f.vm, f.other, f.vm != f.other)
	case "split":
		s.isolate(f.side)
	case "heal":
		s.Heal()
	case "pause":
		s.Pause(f.vm)
	case "resume":
		s.Resume(f.vm)
	case "kill":
		s.kill(f.vm)
	case "start":
		s.restart(f.vm)
	case "slow":
		s.SetMaxExtraDelay(f.wait/10, uint64(f.wait))
	case "leave":
		s.Nodes[f.vm].Control.Leave(s.t.Context())
	}
}

// isolate partitions the fleet into the given VMs and the others.
func (s *ownershipScript) isolate(side []string) {
	for _, a := range side {
		for _, b := range VMNames() {
			s.SetPartitioned(a, b, !slices.Contains(side, b))
		}
	}
}

func (s *ownershipScript) kill(vm string) {
	if !s.stopped[vm] {
		s.Kill(vm)
		s.stopped[vm] = true
	}
}

func (s *ownershipScript) restart(vm string) {
	s.kill(vm)
	s.Start(vm)
	s.stopped[vm] = false
}

// runFor waits for the given time and samples the owners meanwhile.
func (s *ownershipScript) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(19 * time.Millisecond) {
		s.checkOwners()
	}
}

// checkOwners returns the owner of each upstream, by the views that are fresh
// enough to dispatch with. An owner counts even before its hold time has
// passed. An upstream with two owners is recorded as a violation.
func (s *ownershipScript) checkOwners() map[string]string {
	owners := make(map[string]string)
	for _, vm := range VMNames() {
		v := s.Nodes[vm].Views().Load()
		if s.stopped[vm] || v.Fenced || v.Age(time.Now()) > driftcontrol.MaxOwnerViewAge {
			continue
		}
		for o := range v.Owners.All() {
			if o.Name != vm {
				continue
			}
			if other, found := owners[o.Upstream]; found && s.violation == "" {
				s.violation = fmt.Sprintf("%s and %s both own %s", other, vm, o.Upstream)
			}
			owners[o.Upstream] = vm
		}
	}
	return owners
}

// recoveryTime is the time after the last fault within which every upstream must
// have an owner again. It is the longest time that a VM can be kept from owning
// upstreams after as many flaps as one script allows.
const recoveryTime = 45 * time.Second

// TestOneOwner injects random faults of the network and of VMs, and asserts
// that two VMs never own the same upstream and that every upstream has an owner
// again after the last fault.
func TestOneOwner(t *testing.T) {
	for _, spec := range []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()} {
		t.Run(spec.Service, func(t *testing.T) {
			require.NoError(t, flag.Set("rapid.seed", strconv.Itoa(*ownerSeed)))
			require.NoError(t, flag.Set("rapid.checks", strconv.Itoa(*ownerScriptCount)))
			rapid.Check(t, func(r *rapid.T) {
				faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 10).Draw(r, "faults")
				var violation string
				synctest.Test(t, func(t *testing.T) { violation = runFaults(t, spec, faults) })
				if violation != "" {
					r.Fatal(violation)
				}
			})
		})
	}
}

func runFaults(t *testing.T, spec driftfake.ServiceSpec, faults []drawnFault) string {
	t.Helper()
	s := &ownershipScript{Fleet: NewFleet(t, spec), stopped: make(map[string]bool)}
	for _, f := range faults {
		s.inject(f)
		s.runFor(f.wait)
	}
	s.Heal()
	s.SetMaxExtraDelay(0, 0)
	for _, vm := range VMNames() {
		s.Resume(vm)
		if s.stopped[vm] || s.Nodes[vm].Views().Load().VMOut(vm) {
			s.restart(vm)
		}
	}
	s.runFor(recoveryTime)
	if owned := len(s.checkOwners()); s.violation == "" && owned != len(s.Upstreams) {
		return fmt.Sprintf("%d of %d upstreams have an owner", owned, len(s.Upstreams))
	}
	return s.violation
}
