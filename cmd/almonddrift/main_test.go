package main

import (
	"context"
	"errors"
	"flag"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/almonddrift/almonddrift/internal/driftcheck"
	"github.com/almonddrift/almonddrift/internal/driftdemo"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/drifttest"
)

// runRed also runs the tests that KNOWN-RED.txt lists as failing.
var runRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"almonddrift": main})
}

// testLimit bounds the lifetime of the fleet. It is long enough for a busy
// machine.
const testLimit = 5 * time.Minute

// TestScripts runs the scripts in testdata against a fleet on loopback. ENTRY
// and PEERS hold the addresses of its first VM.
func TestScripts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	demo := driftdemo.New(driftfake.Oshana())
	require.NoError(t, demo.Start(ctx))
	t.Cleanup(func() {
		assert.NoError(t, demo.Stop(ctx))
		cancel()
	})
	first := demo.Addresses()[0]
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("ENTRY", first.Callers)
			env.Setenv("PEERS", first.Peers)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exitsWith},
	})
}

// TestDemoOfOshana runs the demo of the first user, and TestDemoOfTacada that of the
// second.
func TestDemoOfOshana(t *testing.T) { runDemo(t, "testdata/oshana") }

func TestDemoOfTacada(t *testing.T) { runDemo(t, "testdata/tacada") }

func runDemo(t *testing.T, dir string) {
	t.Helper()
	drifttest.SkipKnownRed(t, "../../KNOWN-RED.txt", *runRed)
	testscript.Run(t, testscript.Params{
		Dir:  dir,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exitsWith},
	})
}

// TestViolationError checks that a single violation fails a demo.
func TestViolationError(t *testing.T) {
	r := driftdemo.Report{Violations: driftdemo.Violations{{Invariant: driftcheck.ColdUpstream}, {Invariant: driftcheck.AtMostOnce}}}
	require.NoError(t, violationError(r))
	r.Violations[1].Number = 1
	assert.ErrorIs(t, violationError(r), errInvariantViolated)
}

// exitsWith implements the script command that runs a command and asserts its
// exit code: exits CODE COMMAND [ARG]...
func exitsWith(ts *testscript.TestScript, neg bool, args []string) {
	const minArgs = 2
	if neg || len(args) < minArgs {
		ts.Fatalf("usage: exits CODE COMMAND [ARG]...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	var got int
	var failure *exec.ExitError
	if errors.As(err, &failure) {
		got = failure.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
