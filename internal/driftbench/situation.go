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
	// Factor multiplies the usual load.
	Factor float64
	// Time is how long is measured.
	Time time.Duration
	// Strike causes the faults while the load runs.
	Strike func(f *drifttest.Fleet)
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
		{Name: "steady", Factor: 1, Time: measureTime, Strike: func(*drifttest.Fleet) {}},
		{Name: "straggler", Factor: 1, Time: measureTime, Strike: func(f *drifttest.Fleet) {
			f.Upstreams[6].SetSlow(slowFactor)
		}},
		{Name: "domain out and back", Factor: 1, Time: measureTime, Strike: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.MarkDomainOut(f.Spec.Domains[1])
			time.Sleep(6 * time.Second)
			f.ClearDomainMark(f.Spec.Domains[1])
		}},
		{Name: "upstream cold", Factor: 1, Time: measureTime, Strike: func(f *drifttest.Fleet) {
			time.Sleep(2 * time.Second)
			f.Upstreams[3].Restart()
			time.Sleep(3 * time.Second)
			f.Upstreams[10].Cool()
		}},
		{Name: "VM lost", Factor: 1, Time: measureTime, Strike: func(f *drifttest.Fleet) {
			f.Platform.SetListLag(5 * time.Second)
			time.Sleep(2 * time.Second)
			f.KillAndUnlist("vm-2")
		}},
		{Name: "overload", Factor: 3, Time: overloadTime, Strike: func(*drifttest.Fleet) {}},
	}
}
