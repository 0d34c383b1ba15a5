package driftcheck

import "slices"

// depotSpace is the number of depots that are compared without allocating.
const depotSpace = 256

// sameDepots reports whether left holds the same depots as the parts of right
// together, each exactly once, in any order.
func sameDepots(left []string, right ...[]string) bool {
	var leftSpace, rightSpace [depotSpace]string
	ours := append(leftSpace[:0], left...)
	theirs := rightSpace[:0]
	for _, r := range right {
		theirs = append(theirs, r...)
	}
	slices.Sort(ours)
	slices.Sort(theirs)
	return slices.Equal(ours, theirs) && distinct(ours)
}

// distinct reports whether no name stands twice in a sorted list.
func distinct(names []string) bool {
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return false
		}
	}
	return true
}
