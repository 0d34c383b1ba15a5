package drifttest

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is the number of drawn scripts a test runs unless the command
// line gives -rapid.checks.
const defaultChecks = "12"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
