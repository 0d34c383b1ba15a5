package driftshare

import "github.com/cespare/xxhash/v2"

// Borrower returns which of the VMs with load borrows from the lender, by
// rendezvous hashing, so that few assignments change when VMs come and go. It
// is empty if there are none.
func Borrower(lender string, loaded []string) (borrower string) {
	highest := uint64(0)
	for _, name := range loaded {
		if hash := xxhash.Sum64String(lender + "/" + name); borrower == "" || hash > highest {
			borrower, highest = name, hash
		}
	}
	return borrower
}
