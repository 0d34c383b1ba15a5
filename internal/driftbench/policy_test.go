package driftbench

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/drifttest"
)

var (
	runRed    = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt names")
	fullTable = flag.Bool("policy", false, "measure every situation and print the table")
	situation = flag.String("situation", "", "measure only the situation of this name")
	seeds     = flag.Int("seeds", 3, "number of seeds of the table")
)

func measureInBubble(t *testing.T, size driftfake.ServiceSpec, s Situation, policy drifttest.Policy, seed uint64, e LoadProfile) (f Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f = Measure(t, size, s, policy, seed, e)
	})
	return f
}

// TestPolicyTable measures the policy and the baseline in every situation and
// prints the table of docs/MEASURES.md.
func TestPolicyTable(t *testing.T) {
	if !*fullTable {
		t.Skip("needs -policy")
	}
	fmt.Println("| user | situation | seed | policy | p50 ms | p99 ms | mean coverage | least | extra load | cold over (before sign) | repeats | refused | lost | useful/s (capacity) | refusal p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range []driftfake.ServiceSpec{driftfake.Oshana(), driftfake.Tacada()} {
		for _, s := range Situations() {
			if *situation != "" && s.Name != *situation {
				continue
			}
			for seed := range *seeds {
				printRow(size, s, "ours", seed+1, measureInBubble(t, size, s, nil, uint64(seed+1), FullProfile()))
				printRow(size, s, "baseline", seed+1, measureInBubble(t, size, s, NewBaseline, uint64(seed+1), FullProfile()))
			}
		}
	}
}

func printRow(size driftfake.ServiceSpec, s Situation, policy string, seed int, f Result) {
	fmt.Printf("| %s | %s | %d | %s | %.1f | %.1f | %.4f | %.2f | %.1f%% | %d (%d) | %d | %d | %d | %.0f (%.0f) | %.1f |\n",
		size.Service, s.Name, seed, policy, milliseconds(f.P50), milliseconds(f.P99), f.MeanCoverage, f.MinCoverage, 100*f.ExtraLoad,
		f.ColdOverload, f.ColdUndetected, f.RepeatedRuns, f.Refused, f.Lost, f.Goodput, f.Capacity, milliseconds(f.RefusalP99))
	for _, violation := range f.Violations {
		if policy == "ours" {
			fmt.Printf("violation: %s\n", violation)
		}
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// The users' targets. The ratios are those of the p99 latency to the steady one.
const (
	maxStragglerRatio = 1.3
	maxExtraLoad      = 0.05
	maxDomainRatio    = 1.5
	minDomainCoverage = 0.999
)

// TestPolicyAims checks the users' targets for latency, extra load, coverage and
// cold upstreams on Oshana's counter service, with one seed.
func TestPolicyAims(t *testing.T) {
	byName := make(map[string]Result)
	for _, s := range Situations()[:4] {
		byName[s.Name] = measureInBubble(t, driftfake.Oshana(), s, nil, 1, ShortProfile())
	}
	steady := byName["steady"]
	t.Run("straggler", func(t *testing.T) {
		drifttest.SkipKnownRed(t, "../../KNOWN-RED.txt", *runRed)
		assertRatio(t, byName["straggler"].P99, steady.P99, maxStragglerRatio)
		assert.LessOrEqual(t, byName["straggler"].ExtraLoad, maxExtraLoad)
	})
	t.Run("domain out and back", func(t *testing.T) {
		assertRatio(t, byName["domain out and back"].P99, steady.P99, maxDomainRatio)
		assert.GreaterOrEqual(t, byName["domain out and back"].MeanCoverage, minDomainCoverage)
	})
	t.Run("upstream cold", func(t *testing.T) {
		cold := byName["upstream cold"]
		assert.Zero(t, cold.ColdOverload)
		assert.Zero(t, cold.RepeatedRuns)
	})
	t.Run("steady", func(t *testing.T) {
		assert.LessOrEqual(t, steady.ExtraLoad, maxExtraLoad)
		assert.InDelta(t, 1, steady.MeanCoverage, 0)
	})
	t.Run("nothing broken", func(t *testing.T) {
		for name, f := range byName {
			assert.Empty(t, f.Violations, name)
		}
	})
}

func assertRatio(t *testing.T, got, base time.Duration, limit float64) {
	t.Helper()
	assert.LessOrEqual(t, float64(got), limit*float64(base), "p99 is %s, steady p99 is %s", got, base)
}
