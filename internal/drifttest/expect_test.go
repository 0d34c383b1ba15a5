package drifttest

import (
	"fmt"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// scriptPropagationLimit is how long a revision may take in a script to be in
// force on every live VM.
const scriptPropagationLimit = 9 * time.Second

// expect checks the last query, the last load or the state of the fleet. It
// returns what differs, or the empty string.
func (s *scenario) expect(args []string) string {
	switch args[0] {
	case "answered", "refused", "coverage", "version", "within":
		return s.expectOutcome(args)
	case "ran":
		return checkEqual("ran", string(refusalOf(s.outcome).Ran), args[1])
	case "load":
		return s.expectLoad(args[1:])
	case "violations":
		return checkEqual("violations", fmt.Sprint(s.fleet.Violations()), "[]")
	case "inforce":
		return s.expectInForce(args[1])
	case "owners":
		return s.expectOwners()
	case "forwarded":
		return checkAtLeast("shard requests to other VMs", float64(s.fleet.Network.Calls("Shard")), args[1])
	}
	return "expect: unknown check " + args[0]
}

func (s *scenario) expectOutcome(args []string) string {
	answer := answerOf(s.outcome)
	_, answered := s.outcome.(driftfront.Answered)
	if args[0] == "refused" {
		if answered {
			return fmt.Sprintf("answered: %+v", answer)
		}
		if args[1] == "" {
			return checkEqual("ran", string(refusalOf(s.outcome).Ran), string(driftapi.RanNo))
		}
		return checkEqual("reason", refusalOf(s.outcome).Reason, args[1])
	}
	if !answered {
		return fmt.Sprintf("refused: %+v", refusalOf(s.outcome))
	}
	switch args[0] {
	case "coverage":
		if wrong := checkAtLeast("coverage", answer.Coverage(), args[1]); wrong != "" {
			return fmt.Sprintf("%s, missing for %v", wrong, missingReasons(answer))
		}
	case "version":
		return checkEqual("version", fmt.Sprint(answer.Version), args[1])
	case "within":
		if s.latency > parseDuration(args[1]) {
			return fmt.Sprintf("took %s, want %s", s.latency, args[1])
		}
	}
	return ""
}

// expectLoad checks one figure of the last load's result.
func (s *scenario) expectLoad(args []string) string {
	t := s.loadResult
	about := fmt.Sprintf(" (%d queries, %d answered, %v)", t.Queries, t.Answered, t.ReasonCounts)
	var wrong string
	switch args[0] {
	case "coverage":
		wrong = checkAtLeast("mean coverage", t.MeanCoverage(), args[1])
	case "answered":
		wrong = checkAtLeast("share answered", float64(t.Answered)/float64(t.Queries), args[1])
	case "lost":
		wrong = checkEqual("lost", fmt.Sprint(t.Lost), args[1])
	case "unknown":
		wrong = checkEqual("unknown", fmt.Sprint(t.Unknown), args[1])
	case "p99":
		p99 := t.LatencyQuantile(0.99, defaultDeadline)
		if p99 > parseDuration(args[1]) {
			wrong = fmt.Sprintf("p99 %s, want %s", p99, args[1])
		}
	default:
		return "expect load: unknown check " + args[0]
	}
	if wrong != "" {
		return wrong + about
	}
	return ""
}

// expectInForce waits until the newest revision of a key is in force on every
// live VM.
func (s *scenario) expectInForce(key string) string {
	want := s.fleet.Platform.Revision(key)
	for waited := time.Duration(0); waited <= scriptPropagationLimit; waited += 100 * time.Millisecond {
		if len(s.vmsNotAtRevision(key, want)) == 0 {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("revision %d of %s is not in force on %v", want, key, s.vmsNotAtRevision(key, want))
}

func (s *scenario) vmsNotAtRevision(key string, want uint64) []string {
	var names []string
	for _, vm := range VMNames() {
		r, _ := s.fleet.Node(vm).Views().Load().Revisions.Get(key)
		if s.fleet.Alive(vm) && r.Number != want {
			names = append(names, vm)
		}
	}
	return names
}

// expectOwners checks that exactly one live VM owns each upstream and may
// dispatch to it.
func (s *scenario) expectOwners() string {
	now := time.Now()
	for _, u := range s.fleet.Upstreams {
		var owners []string
		for _, vm := range VMNames() {
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

// falseLoadReport returns the false load report that an upstream is to send,
// idle or busy, or nil for its true report.
func falseLoadReport(text string) *driftshard.Load {
	switch text {
	case "idle":
		return &driftshard.Load{}
	case "busy":
		return &driftshard.Load{InFlight: 1000, Queue: 1000}
	}
	return nil
}

func checkEqual(what, got, want string) string {
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s %s, want %s", what, got, want)
}

func checkAtLeast(what string, got float64, want string) string {
	if got >= parseNumber(want) {
		return ""
	}
	return fmt.Sprintf("%s %.4f, want at least %s", what, got, want)
}
