package drifttest

import (
	"fmt"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// inForceLimit is how long a revision may take to be in force everywhere.
const inForceLimit = 9 * time.Second

// expect checks the last query, the last load or the fleet.
func (s *scenario) expect(args []string) string {
	switch args[0] {
	case "answered", "refused", "coverage", "version", "within":
		return s.expectOutcome(args)
	case "ran":
		return differ("ran", string(refusedBy(s.outcome).Ran), args[1])
	case "load":
		return s.expectLoad(args[1:])
	case "violations":
		return differ("violations", fmt.Sprint(s.fleet.Faults()), "[]")
	case "inforce":
		return s.expectInForce(args[1])
	case "owners":
		return s.expectOwners()
	case "forwarded":
		return atLeast("peers asked", float64(s.fleet.Network.Calls("Shard")), args[1])
	}
	return "expect: nothing known of " + args[0]
}

func (s *scenario) expectOutcome(args []string) string {
	answer := answeredBy(s.outcome)
	_, answered := s.outcome.(driftfront.Answered)
	if args[0] == "refused" {
		if answered {
			return fmt.Sprintf("answered: %+v", answer)
		}
		if args[1] == "" {
			return differ("ran", string(refusedBy(s.outcome).Ran), string(driftapi.RanNo))
		}
		return differ("reason", refusedBy(s.outcome).Reason, args[1])
	}
	if !answered {
		return fmt.Sprintf("refused: %+v", refusedBy(s.outcome))
	}
	switch args[0] {
	case "coverage":
		if wrong := atLeast("coverage", answer.Coverage(), args[1]); wrong != "" {
			return fmt.Sprintf("%s, missing for %v", wrong, missing(answer))
		}
	case "version":
		return differ("version", fmt.Sprint(answer.Version), args[1])
	case "within":
		if s.took > span(args[1]) {
			return fmt.Sprintf("took %s, want %s", s.took, args[1])
		}
	}
	return ""
}

// expectLoad checks a figure of the last load.
func (s *scenario) expectLoad(args []string) string {
	t := s.tally
	about := fmt.Sprintf(" (%d queries, %d answered, %v)", t.Queries, t.Answered, t.Reasons)
	var wrong string
	switch args[0] {
	case "coverage":
		wrong = atLeast("mean coverage", t.Mean(), args[1])
	case "answered":
		wrong = atLeast("share answered", float64(t.Answered)/float64(t.Queries), args[1])
	case "lost":
		wrong = differ("lost", fmt.Sprint(t.Lost), args[1])
	case "unknown":
		wrong = differ("unknown", fmt.Sprint(t.Unknown), args[1])
	case "p99":
		p99 := t.Quantile(0.99, defaultDeadline)
		if p99 > span(args[1]) {
			wrong = fmt.Sprintf("p99 %s, want %s", p99, args[1])
		}
	default:
		return "expect load: nothing known of " + args[0]
	}
	if wrong != "" {
		return wrong + about
	}
	return ""
}

// expectInForce waits until the newest revision of a key is in force at
// every live VM.
func (s *scenario) expectInForce(key string) string {
	want := s.fleet.Platform.Number(key)
	for waited := time.Duration(0); waited <= inForceLimit; waited += 100 * time.Millisecond {
		if len(s.behind(key, want)) == 0 {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("revision %d of %s not in force at %v", want, key, s.behind(key, want))
}

func (s *scenario) behind(key string, want uint64) []string {
	var names []string
	for _, vm := range VMs() {
		r, _ := s.fleet.Node(vm).Views().Load().Revisions.Get(key)
		if s.fleet.Alive(vm) && r.Number != want {
			names = append(names, vm)
		}
	}
	return names
}

// expectOwners checks that no upstream has two VMs that take it for theirs
// and may dispatch, and that live VMs agree on one.
func (s *scenario) expectOwners() string {
	now := time.Now()
	for _, u := range s.fleet.Upstreams {
		var owners []string
		for _, vm := range VMs() {
			v := s.fleet.Node(vm).Views().Load()
			o, _ := v.Owners.Get(u.Name)
			if s.fleet.Alive(vm) && v.Owns(u.Name) && !v.Fenced && !now.Before(o.HoldUntil) {
				owners = append(owners, vm)
			}
		}
		if len(owners) != 1 {
			return fmt.Sprintf("owners of %s: %v", u.Name, owners)
		}
	}
	return ""
}

// loadOf is a false load report: idle or busy.
func loadOf(text string) *driftshard.Load {
	switch text {
	case "idle":
		return &driftshard.Load{}
	case "busy":
		return &driftshard.Load{InFlight: 1000, Queue: 1000}
	}
	return nil
}

func differ(what, got, want string) string {
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s %s, want %s", what, got, want)
}

func atLeast(what string, got float64, want string) string {
	if got >= number(want) {
		return ""
	}
	return fmt.Sprintf("%s %.4f, want at least %s", what, got, want)
}
