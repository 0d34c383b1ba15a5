// Package driftentry chooses the VMs that callers are sent to.
//
// It answers the load pattern of a large fleet with little to do. If all VMs
// serve a few queries each, none of them sees an upstream often enough to know
// that it stands still, and none has more than one connection to it. So callers
// are sent to as few VMs of their failure domain as bear the load, the largest
// ones first; the others take over when those go, or when load grows.
//
// # Usage
//
//	for _, vm := range driftentry.Choose(vms) {
//		fmt.Println(vm.Name)
//	}
package driftentry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a VM that can serve callers.
type VM struct {
	Name   string
	Domain string
	// Address is the IP address that it serves callers at.
	Address string
	// Capacity is how many sends to upstreams the VM bears, in sends a second, and
	// 0 if that is not known.
	Capacity float64
	// Load is how many it makes at present, in sends a second.
	Load float64
}

const (
	// minEntryVMs is the number of VMs of a failure domain that callers are sent to
	// even if fewer bear the load: two may go at the same time.
	minEntryVMs = 3
	// minLargeEntryVMs is the same where all others are much smaller, by muchSmaller.
	// A query to 54 shards takes 11 ms each way to pass a link of 20 Mbit/s,
	// and one to pass a link of 200 Mbit/s.
	minLargeEntryVMs   = 2
	largeCapacityRatio = 4
	// loadHeadroom is how much more than the present load the chosen VMs bear:
	// bursts of 2.5 times are published, and extra sends come on top.
	loadHeadroom = 3
)

// Choose returns the VMs that callers are sent to, out of those that can serve.
// They are chosen for each failure domain by itself. Callers pick one of them
// at random, so each gets the same part of the load, and the smallest has to
// bear it. All VMs that know the same choose the same.
func Choose(vms []VM) []VM {
	domains := make(map[string][]candidate)
	for _, vm := range vms {
		domains[vm.Domain] = append(domains[vm.Domain], candidate{VM: vm, rank: xxhash.Sum64String(vm.Name)})
	}
	var chosen []VM
	for _, domain := range domains {
		for _, c := range chooseInDomain(domain) {
			chosen = append(chosen, c.VM)
		}
	}
	slices.SortFunc(chosen, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// candidate is a VM with its rank among those of its size.
type candidate struct {
	VM
	rank uint64
}

func chooseInDomain(domain []candidate) []candidate {
	slices.SortFunc(domain, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.rank, b.rank))
	})
	load := 0.0
	for _, vm := range domain {
		load += vm.Load
	}
	for n := minLargeEntryVMs; n < len(domain); n++ {
		smallest := domain[n-1].Capacity
		enough := n >= minEntryVMs || domain[n].Capacity*largeCapacityRatio < smallest
		if enough && loadHeadroom*load <= smallest*float64(n) && smallest > 0 {
			return domain[:n]
		}
	}
	return domain
}

// What a send to an upstream costs, and the part of a VM that sends may use.
const (
	// attemptCPUSeconds is the processor time of a send, in seconds, its part of the
	// query included: 0.0054 cores at 360 sends a second
	// (docs/measures/platform.md).
	attemptCPUSeconds = 15e-6
	// attemptBits is what a send moves over the VM's link in one direction, in
	// bits: a part of 200 bytes with its headers, as published.
	attemptBits = 600 * 8
	// usableShare is the part of processor and link that sends may use; above it,
	// what waits for them takes too much of a latency objective.
	usableShare = 0.5
	// bitsPerMegabit is in bits.
	bitsPerMegabit = 1e6
)

// Capacity returns how many sends a second a VM bears that has a number of cores
// and a link of so many megabits a second. A part that is not known is 0 and
// bounds nothing.
func Capacity(cores, linkMbps float64) float64 {
	capacity := math.Inf(1)
	if cores > 0 {
		capacity = cores * usableShare / attemptCPUSeconds
	}
	if linkMbps > 0 {
		capacity = min(capacity, linkMbps*bitsPerMegabit*usableShare/attemptBits)
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	return capacity
}
