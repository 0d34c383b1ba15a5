package driftshare

// unmetVMs is among how many VMs one divides limits that has met no other.
const unmetVMs = 12

// Unmet reports whether there may be VMs that this one has not met: it has heard of
// none, although its seeds name some. Seeds is the number of other VMs that they
// name. A VM without other seeds is the whole fleet until it hears of another.
func Unmet(met bool, seeds int) bool { return !met && seeds > 0 }

// UnmetVMs returns among how many VMs one divides a limit of the fleet that is Unmet
// and knows the given number, itself included.
func UnmetVMs(known int) int { return max(known, unmetVMs) }

// UnmetUnits returns how many of the units of a resource a VM uses that is Unmet.
// It handles VMs that start while their seeds are stale: none knows how many
// others there are, and if each used the whole, an upstream would get as many
// times its limit. One VM that is alone still serves, with at least one unit.
func UnmetUnits(total int) int { return max(min(1, total), total/unmetVMs) }
