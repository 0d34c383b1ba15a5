package driftshare

import "github.com/cespare/xxhash/v2"

// Owner is a VM that takes part in the division of a number of units.
type Owner struct {
	Name   string
	Weight int
}

// Units returns how many of the units of a resource, such as the connections of
// one upstream, belong to this VM. The units of all VMs with the same view add
// up to the total: the remainder of the division goes to the VMs that rank
// first, and with fewer units than VMs, only those get one.
func Units(total int, resource string, self Owner, others []Owner) int {
	weights := self.Weight
	for _, vm := range others {
		weights += vm.Weight
	}
	units := total * self.Weight / weights
	remainder := total - units
	for _, vm := range others {
		remainder -= total * vm.Weight / weights
	}
	if remainder > 0 && rank(resource, self, others, remainder) < remainder {
		units++
	}
	return units
}

// rank returns the position of this VM in an order that all VMs agree on, in
// which higher weights come first. It counts no further than the bound.
func rank(resource string, self Owner, others []Owner, bound int) int {
	ownHash := xxhash.Sum64String(resource + "/" + self.Name)
	position := 0
	for _, vm := range others {
		if vm.Weight > self.Weight || (vm.Weight == self.Weight && xxhash.Sum64String(resource+"/"+vm.Name) < ownHash) {
			position++
		}
		if position >= bound {
			break
		}
	}
	return position
}
