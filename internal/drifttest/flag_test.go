package drifttest

import "flag"

// runRed runs the tests that KNOWN-RED.txt names too.
var runRed = flag.Bool("red", false, "also run the tests that KNOWN-RED.txt names")
