package driftcheck

import "slices"

// maxStackDepots is the largest number of depots that is compared without an
// allocation on the heap.
const maxStackDepots = 256

// sameDepots reports whether left holds the same depots as all lists of right
// together, each exactly once, in any order.
func sameDepots(left []string, right ...[]string) bool {
	var leftBuffer, rightBuffer [maxStackDepots]string
	sortedLeft := append(leftBuffer[:0], left...)
	sortedRight := rightBuffer[:0]
	for _, r := range right {
		sortedRight = append(sortedRight, r...)
	}
	slices.Sort(sortedLeft)
	slices.Sort(sortedRight)
	return slices.Equal(sortedLeft, sortedRight) && distinct(sortedLeft)
}

// distinct reports whether a sorted list has no duplicates.
func distinct(names []string) bool {
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return false
		}
	}
	return true
}
