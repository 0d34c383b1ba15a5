package driftsoak

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// plannedSeed is the seed of the run that CI plays.
const plannedSeed = 1

// plannedStops returns a short run of three VMs that are stopped in turn under clients that
// use a VM until it has gone. Some requests work long; others are short, and wait for one
// of the few connections of their upstreams.
func plannedStops() Config {
	long := Class{
		Name: "long-safe", Kind: KindSafe, Service: "wide", Rate: 30, Work: Work{"exp", 900, 0, 2400},
		Objective: 3000, Timeout: 4000, Budget: 4000, Attempts: 2,
	}
	short := Class{
		Name: "short-safe", Kind: KindSafe, Service: "narrow", Rate: 60, Work: Work{"normal", 80, 0.3, 150},
		Objective: 2000, Timeout: 4000, Budget: 4000, Attempts: 2,
	}
	longOnce, shortOnce := long, short
	longOnce.Name, longOnce.Kind, longOnce.Attempts = "long-once", KindOnce, 1
	shortOnce.Name, shortOnce.Kind, shortOnce.Attempts = "short-once", KindOnce, 1
	return Config{
		Seed: plannedSeed, VMs: 3, Clients: 48, Sticky: 1, Span: 18,
		Services: []Service{
			{Name: "wide", Count: 20, Slots: 4, Queue: 8, Conns: 110, Cold: 1},
			{Name: "narrow", Count: 4, Slots: 20, Queue: 20, Conns: 3, Cold: 1},
		},
		Classes: []Class{long, longOnce, short, shortOnce},
		Stops:   Stops{First: 2, Count: 3, Least: 3, Most: 4.5, Rest: 0.5, Twice: 0.5, Hup: 0.5},
		Updates: Periodic{First: 1, Least: 1, Most: 5},
		Churn:   Periodic{First: 1, Least: 2, Most: 5},
	}
}

// assertKept checks that a run broke no promise.
func assertKept(t *testing.T, r Report) {
	t.Helper()
	for _, f := range r.Findings() {
		t.Log(f)
	}
	assert.Empty(t, r.Lost, "lost")
	assert.Empty(t, r.Twice, "twice")
	assert.Empty(t, r.Denied, "denied")
	assert.Empty(t, r.Violations, "violations in the logs")
}

// TestSoakPlannedStops guards against requests that are cut off without an answer when the
// VM that has read them is stopped.
func TestSoakPlannedStops(t *testing.T) {
	config := plannedStops()
	config.Dir = t.TempDir()
	config.Program = filepath.Join(config.Dir, "almonddrift")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", config.Program, "../../cmd/almonddrift")
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	t.Logf("seed %d", config.Seed)
	report, err := Run(t.Context(), config)
	require.NoError(t, err)
	t.Log(report)
	require.Positive(t, report.Served)
	require.Positive(t, report.Late, "requests must meet a stop")
	assertKept(t, report)
}
