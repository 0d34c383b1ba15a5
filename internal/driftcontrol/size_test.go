//go:build !race

package driftcontrol_test

// largestFleet is the number of VMs of the larger fleet whose cost is measured.
const largestFleet = 64
