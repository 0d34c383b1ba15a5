// Package driftbench measures the policy of the system beside a baseline in
// virtual time: tail latency, coverage, extra load on upstreams and what
// cold upstreams get, in the situations that users weigh most.
//
// # Usage
//
//	go test ./internal/driftbench -run Policy -v -policy
//
// prints the table of docs/MEASURES.md for seeds 1 to 3.
package driftbench

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/drifttest"
)

// Situation is one state of the fleet to measure in.
type Situation struct {
	Name string
	// LoadFactor multiplies the usual load.
	LoadFactor float64
	// Duration is how long is measured.
	Duration time.Duration
	// InjectFaults causes the faults while the load runs.
	InjectFaults func(f *drifttest.Fleet)
}

// measureTime is how long most situations are measured.
const measureTime = 15 * time.Second

// overloadTime is how long the overload lasts.
const overloadTime = 2 * time.Second

// slowFactor is how much slower a straggler is.
const slowFactor = 10

// Situations returns all situations, the steady one first.
func Situations() []Situation {
	return []Situation{
		{Name: "steady", LoadFactor: 1, Duration: measureTime, InjectFaults: func(*drifttest.Fleet) {}},
		{Name: "straggler", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			f.Upstreams[6].SetSlow(slowFactor)
		}},
		{Name: "domain out and back", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.DomainOut(f.Size.Domains[1])
			time.Sleep(6 * time.Second)
			f.DomainIn(f.Size.Domains[1])
		}},
		{Name: "upstream cold", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.Upstreams[3].Restart()
			time.Sleep(3 * time.Second)
			f.Upstreams[10].Cool()
		}},
		{Name: "VM lost", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			f.Platform.SetListLag(5 * time.Second)
			time.Sleep(2 * time.Second)
			f.Vanish("vm-2")
		}},
		{Name: "overload", LoadFactor: 3, Duration: overloadTime, InjectFaults: func(*drifttest.Fleet) {}},
	}
}
