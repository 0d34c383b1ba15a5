package drifttest

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// faultStep is one fault, injected Wait after the previous one. A and B select
// its targets and parameters.
type faultStep struct {
	Wait time.Duration
	Kind string
	A, B int
}

// String returns the form in which a failing script is printed.
func (s faultStep) String() string {
	return fmt.Sprintf("%s %s %d %d", s.Wait, s.Kind, s.A, s.B)
}

// faultFunc injects one fault into a fleet, or ends one.
type faultFunc = func(f *Fleet, a, b int)

// allFaults returns all faults by name.
func allFaults() map[string]faultFunc {
	all := map[string]faultFunc{
		"domain out":  func(f *Fleet, a, _ int) { f.MarkDomainOut(pick(f.Spec.Domains, a)) },
		"domain in":   func(f *Fleet, a, _ int) { f.ClearDomainMark(pick(f.Spec.Domains, a)) },
		"domain cold": func(f *Fleet, a, _ int) { f.RestartDomainUpstreams(pick(f.Spec.Domains, a)) },
		"domain cut": func(f *Fleet, a, b int) {
			f.SetDomainsPartitioned(pick(f.Spec.Domains, a), pick(f.Spec.Domains, a+1+b%(len(f.Spec.Domains)-1)), true)
		},
		"heal": func(f *Fleet, _, _ int) { f.Heal() },
	}
	for _, faults := range []map[string]faultFunc{vmFaults(), upstreamFaults(), platformFaults()} {
		for name, s := range faults {
			all[name] = s
		}
	}
	return all
}

func vmFaults() map[string]faultFunc {
	return map[string]faultFunc{
		"vm out": func(f *Fleet, a, _ int) { f.MarkVMOut(pick(VMNames(), a)) },
		"vm in":  func(f *Fleet, a, _ int) { f.ClearVMMark(pick(VMNames(), a)) },
		"vm pause": func(f *Fleet, a, b int) {
			f.Pause(pick(VMNames(), a))
			time.AfterFunc(time.Duration(b%8000)*time.Millisecond, func() { f.Resume(pick(VMNames(), a)) })
		},
		"vm freeze":  func(f *Fleet, a, _ int) { f.StopControlPlane(pick(VMNames(), a)) },
		"vm kill":    func(f *Fleet, a, _ int) { f.KillAndUnlist(pick(VMNames(), a)) },
		"vm replace": func(f *Fleet, a, _ int) { f.KillAndUnlist(pick(VMNames(), a)); f.StartAndList(pick(VMNames(), a)) },
		"vm start":   func(f *Fleet, a, _ int) { f.StartAndList(pick(VMNames(), a)) },
		"vm cut":     func(f *Fleet, a, b int) { f.SetPartitioned(pick(VMNames(), a), pick(VMNames(), b), true) },
		"vm cut one way": func(f *Fleet, a, b int) {
			f.Network.SetPartitioned(pick(VMNames(), a), pick(VMNames(), b), true)
		},
		"vm silence": func(f *Fleet, a, b int) { f.Network.SetSilent(pick(VMNames(), a), pick(VMNames(), b), true) },
	}
}

func upstreamFaults() map[string]faultFunc {
	return map[string]faultFunc{
		"upstream cold":    func(f *Fleet, a, _ int) { pick(f.Upstreams, a).MakeCold() },
		"upstream restart": func(f *Fleet, a, _ int) { f.RestartUpstream(pick(f.Upstreams, a).Name) },
		"upstream slow":    func(f *Fleet, a, b int) { pick(f.Upstreams, a).SetSlowdown(float64(1 + b%20)) },
		"upstream leave":   func(f *Fleet, a, _ int) { f.DrainUpstream(pick(f.Upstreams, a).Name) },
		"upstream silence": func(f *Fleet, a, _ int) { pick(f.Upstreams, a).SilenceConnections() },
		"upstream lost": func(f *Fleet, a, _ int) {
			f.Dialer.SetUnreachable(pick(f.Upstreams, a).Name, true)
			f.RestartUpstream(pick(f.Upstreams, a).Name)
		},
		"upstream back": func(f *Fleet, a, _ int) { f.Dialer.SetUnreachable(pick(f.Upstreams, a).Name, false) },
		"upstream mode": func(f *Fleet, a, b int) {
			pick(f.Upstreams, a).SetReplyMode(driftfake.ReplyMode(b % (int(driftfake.OtherVersionReply) + 1)))
		},
		"upstream report": func(f *Fleet, a, b int) {
			pick(f.Upstreams, a).SetReportedLoad(falseLoadReport(pick([]string{"idle", "busy", "true"}, b)))
		},
	}
}

func platformFaults() map[string]faultFunc {
	return map[string]faultFunc{
		"platform down":  func(f *Fleet, _, _ int) { f.SetPlatformDown(true) },
		"platform up":    func(f *Fleet, _, _ int) { f.SetPlatformDown(false) },
		"platform stale": func(f *Fleet, _, _ int) { f.SetConfigStale(true) },
		"platform fresh": func(f *Fleet, _, _ int) { f.SetConfigStale(false) },
		"platform lag": func(f *Fleet, a, _ int) {
			f.Platform.SetListLag(time.Duration(a%10000) * time.Millisecond)
		},
		"classes bad": func(f *Fleet, _, _ int) {
			f.Platform.PutRaw(driftdocument.KeyClasses, []byte(`{"classes":`))
		},
		"classes good": func(f *Fleet, _, _ int) {
			f.Platform.Put(driftdocument.KeyClasses, f.Spec.ClassesDocument())
		},
		"version half": func(f *Fleet, a, _ int) { f.RollOut([]int{a % f.Spec.Replicas}, 2, 1) },
		"version both": func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 2, 1) },
		"version old":  func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 1) },
		"version new":  func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 2) },
	}
}

func pick[V any](from []V, n int) V {
	return from[n%len(from)]
}

// maxSteps is the largest number of faults in one script, and maxGapMs the
// longest time between two of them.
const (
	maxSteps = 14
	maxGapMs = 2500
)

// drawSteps draws a random fault script.
func drawSteps(t *rapid.T) []faultStep {
	var kinds []string
	for kind := range allFaults() {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	one := rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Wait: time.Duration(rapid.IntRange(0, maxGapMs).Draw(t, "after")) * time.Millisecond,
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, 10000).Draw(t, "a"),
			B:    rapid.IntRange(0, 10000).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(one, 1, maxSteps).Draw(t, "steps")
}
