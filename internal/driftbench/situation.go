// Package driftbench compares the policy of the system with a baseline in
// virtual time. It measures tail latency, coverage, the extra load on upstreams
// and the load on cold upstreams, in the situations that matter most to users.
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

// Situation is a load and a sequence of faults under which a policy is measured.
type Situation struct {
	Name string
	// LoadFactor multiplies the usual load or, from overloadFactor on, the
	// upstreams' capacity.
	LoadFactor float64
	// Duration is the duration of the measurement.
	Duration time.Duration
	// InjectFaults injects the faults while the load runs.
	InjectFaults func(f *drifttest.Fleet)
}

// measureTime is the duration of all measurements but the overload.
const measureTime = 15 * time.Second

// overloadTime is the duration of the overload measurement.
const overloadTime = 2 * time.Second

// slowFactor multiplies the service time of a straggler.
const slowFactor = 10

// Situations returns all situations, starting with the steady state.
func Situations() []Situation {
	return []Situation{
		{Name: "steady", LoadFactor: 1, Duration: measureTime, InjectFaults: func(*drifttest.Fleet) {}},
		{Name: "straggler", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			f.Upstreams[6].SetSlowdown(slowFactor)
		}},
		{Name: "domain out and back", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.MarkDomainOut(f.Spec.Domains[1])
			time.Sleep(6 * time.Second)
			f.ClearDomainMark(f.Spec.Domains[1])
		}},
		{Name: "upstream cold", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.Upstreams[3].Restart()
			time.Sleep(3 * time.Second)
			f.Upstreams[10].MakeCold()
		}},
		{Name: "VM lost", LoadFactor: 1, Duration: measureTime, InjectFaults: func(f *drifttest.Fleet) {
			f.Platform.SetListLag(5 * time.Second)
			time.Sleep(2 * time.Second)
			f.KillAndUnlist("vm-2")
		}},
		{Name: "overload", LoadFactor: 3, Duration: overloadTime, InjectFaults: func(*drifttest.Fleet) {}},
	}
}
