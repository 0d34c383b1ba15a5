package drifttest

import (
	"flag"
	"testing"
)

// runRed also runs the tests that KNOWN-RED.txt lists as failing.
var runRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt lists")

func skipKnownRed(t *testing.T) {
	t.Helper()
	SkipKnownRed(t, "../../KNOWN-RED.txt", *runRed)
}
