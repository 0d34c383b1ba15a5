//go:build race

package driftcontrol_test

// largestFleet is smaller with the race detector, whose runtime has crashed
// with the goroutines of the full fleet.
const largestFleet = 16
