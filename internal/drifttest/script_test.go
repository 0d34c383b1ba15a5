package drifttest

import (
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// TestScenarios runs each script of testdata in its own synctest bubble. The
// fleet has Tacada's service specification if the file name contains "tacada",
// otherwise Oshana's.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		path, err := filepath.Abs(file)
		require.NoError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			skipKnownRed(t)
			synctest.Test(t, func(t *testing.T) {
				runScenario(t, path)
			})
		})
	}
}

func runScenario(t *testing.T, file string) {
	t.Helper()
	spec := driftfake.Oshana()
	if strings.Contains(file, "tacada") {
		spec = driftfake.Tacada()
	}
	s := &scenario{fleet: NewFleet(t, spec, WithCollectedViolations())}
	testscript.RunT(bubbleT{t}, testscript.Params{
		Files: []string{file}, Cmds: s.verbs(), WorkdirRoot: t.TempDir(),
	})
	require.Empty(t, s.fleet.Violations())
}

// bubbleT makes testscript run a script on the current goroutine, because
// synctest does not allow subtests inside a bubble.
type bubbleT struct {
	*testing.T
}

// Parallel implements testscript.T.
func (b bubbleT) Parallel() {}

// Run implements testscript.T.
func (b bubbleT) Run(_ string, f func(testscript.T)) { f(b) }

// Verbose implements testscript.T.
func (b bubbleT) Verbose() bool { return testing.Verbose() }
