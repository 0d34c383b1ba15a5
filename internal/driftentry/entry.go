// Package driftentry chooses the VMs that callers connect to.
//
// It concentrates the load of a large fleet with little traffic. If every VM
// served a few queries, none would see an upstream often enough to detect that
// it is paused, and none would have more than one connection to it. Callers are
// therefore sent to the smallest number of VMs of their failure domain that can
// handle the load, the VMs of the largest capacity first. The others are chosen
// when these fail or when the load grows.
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
	// Address is the IP address at which it serves callers.
	Address string
	// Capacity is how many attempts at upstreams a second the VM can make, 0 if
	// unknown.
	Capacity float64
	// Load is how many attempts a second it currently makes.
	Load float64
}

const (
	// minEntryVMs is the smallest number of VMs of a failure domain that callers
	// are sent to, even if fewer can handle the load: two may fail at the same
	// time.
	minEntryVMs = 3
	// minLargeEntryVMs replaces minEntryVMs if the capacity of all other VMs is
	// smaller by more than a factor of largeCapacityRatio. A query to 54 shards
	// takes 11 ms each way over a link of 20 Mbit/s, and 1 ms over one of 200
	// Mbit/s.
	minLargeEntryVMs   = 2
	largeCapacityRatio = 4
	// loadHeadroom is the ratio of capacity to present load that the chosen VMs
	// must have: published bursts reach 2.5 times the load, and retries and hedges
	// add to that.
	loadHeadroom = 3
)

// Choose returns the VMs that callers are sent to, out of those that can serve.
// Each failure domain is considered separately. Callers pick one of the VMs at
// random, so each VM gets an equal part of the load, which the one of the
// smallest capacity must be able to handle. The result is the same on all VMs
// that have the same input.
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

// candidate is a VM with its rank among VMs of the same capacity.
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

// Cost of one attempt at an upstream, and the share of a VM's resources that
// attempts may use.
const (
	// attemptCPUSeconds is the processor time of an attempt, including its share of
	// the work on the query: 0.0054 cores at 360 attempts a second
	// (docs/measures/platform.md).
	attemptCPUSeconds = 15e-6
	// attemptBits is the traffic of an attempt over the VM's link in one direction:
	// a shard's part of the answer, of 200 bytes as published, and its headers.
	attemptBits = 600 * 8
	// usableShare is the share of processor and link that attempts may use. Above
	// it, queueing uses up too much of a latency objective.
	usableShare    = 0.5
	bitsPerMegabit = 1e6
)

// Capacity returns how many attempts a second a VM with the given cores and
// link can make. An unknown resource is 0 and sets no limit; the result is 0 if
// both are unknown.
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
