package drifttest

import (
	"flag"
	"testing"
)

// runRed runs the tests that KNOWN-RED.txt names too.
var runRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt names")

func skipKnownRed(t *testing.T) {
	t.Helper()
	SkipKnownRed(t, "../../KNOWN-RED.txt", *runRed)
}
