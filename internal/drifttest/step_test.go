package drifttest

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
)

// step is one fault at one moment. A and B choose what it strikes.
type step struct {
	After time.Duration
	Kind  string
	A, B  int
}

// String returns the step as a failure report shows it.
func (s step) String() string {
	return fmt.Sprintf("%s %s %d %d", s.After, s.Kind, s.A, s.B)
}

// strike causes one fault in a fleet.
type strike = func(f *Fleet, a, b int)

// strikes are all the faults by their names.
func strikes() map[string]strike {
	all := map[string]strike{
		"domain out":  func(f *Fleet, a, _ int) { f.DomainOut(pick(f.Size.Domains, a)) },
		"domain in":   func(f *Fleet, a, _ int) { f.DomainIn(pick(f.Size.Domains, a)) },
		"domain cold": func(f *Fleet, a, _ int) { f.DomainCold(pick(f.Size.Domains, a)) },
		"domain cut": func(f *Fleet, a, b int) {
			f.CutDomains(pick(f.Size.Domains, a), pick(f.Size.Domains, a+1+b%(len(f.Size.Domains)-1)), true)
		},
		"heal": func(f *Fleet, _, _ int) { f.Heal() },
	}
	for _, more := range []map[string]strike{vmStrikes(), upstreamStrikes(), platformStrikes()} {
		for name, s := range more {
			all[name] = s
		}
	}
	return all
}

func vmStrikes() map[string]strike {
	return map[string]strike{
		"vm out": func(f *Fleet, a, _ int) { f.VMOut(pick(VMs(), a)) },
		"vm in":  func(f *Fleet, a, _ int) { f.VMIn(pick(VMs(), a)) },
		"vm pause": func(f *Fleet, a, b int) {
			f.Pause(pick(VMs(), a))
			time.AfterFunc(time.Duration(b%8000)*time.Millisecond, func() { f.Resume(pick(VMs(), a)) })
		},
		"vm freeze":  func(f *Fleet, a, _ int) { f.Freeze(pick(VMs(), a)) },
		"vm kill":    func(f *Fleet, a, _ int) { f.Vanish(pick(VMs(), a)) },
		"vm replace": func(f *Fleet, a, _ int) { f.Vanish(pick(VMs(), a)); f.Return(pick(VMs(), a)) },
		"vm start":   func(f *Fleet, a, _ int) { f.Return(pick(VMs(), a)) },
		"vm cut":     func(f *Fleet, a, b int) { f.Cut(pick(VMs(), a), pick(VMs(), b), true) },
		"vm cut one way": func(f *Fleet, a, b int) {
			f.Network.SetPartitioned(pick(VMs(), a), pick(VMs(), b), true)
		},
		"vm silence": func(f *Fleet, a, b int) { f.Network.SetSilent(pick(VMs(), a), pick(VMs(), b), true) },
	}
}

func upstreamStrikes() map[string]strike {
	return map[string]strike{
		"upstream cold":    func(f *Fleet, a, _ int) { pick(f.Upstreams, a).MakeCold() },
		"upstream restart": func(f *Fleet, a, _ int) { f.UpstreamRestart(pick(f.Upstreams, a).Name) },
		"upstream slow":    func(f *Fleet, a, b int) { pick(f.Upstreams, a).SetSlowdown(float64(1 + b%20)) },
		"upstream leave":   func(f *Fleet, a, _ int) { f.UpstreamLeave(pick(f.Upstreams, a).Name) },
		"upstream silence": func(f *Fleet, a, _ int) { pick(f.Upstreams, a).SilenceConnections() },
		"upstream lost": func(f *Fleet, a, _ int) {
			f.Dialer.SetUnreachable(pick(f.Upstreams, a).Name, true)
			f.UpstreamRestart(pick(f.Upstreams, a).Name)
		},
		"upstream back": func(f *Fleet, a, _ int) { f.Dialer.SetUnreachable(pick(f.Upstreams, a).Name, false) },
		"upstream mode": func(f *Fleet, a, b int) {
			pick(f.Upstreams, a).SetReplyMode(driftfake.ReplyMode(b % (int(driftfake.OtherVersionReply) + 1)))
		},
		"upstream report": func(f *Fleet, a, b int) {
			pick(f.Upstreams, a).SetReportedLoad(loadOf(pick([]string{"idle", "busy", "true"}, b)))
		},
	}
}

func platformStrikes() map[string]strike {
	return map[string]strike{
		"platform down":  func(f *Fleet, _, _ int) { f.PlatformDown(true) },
		"platform up":    func(f *Fleet, _, _ int) { f.PlatformDown(false) },
		"platform stale": func(f *Fleet, _, _ int) { f.PlatformStale(true) },
		"platform fresh": func(f *Fleet, _, _ int) { f.PlatformStale(false) },
		"platform lag": func(f *Fleet, a, _ int) {
			f.Platform.SetListLag(time.Duration(a%10000) * time.Millisecond)
		},
		"classes bad": func(f *Fleet, _, _ int) {
			f.Platform.PutRaw(driftdocument.KeyClasses, []byte(`{"classes":`))
		},
		"classes good": func(f *Fleet, _, _ int) {
			f.Platform.Put(driftdocument.KeyClasses, f.Size.ClassesDocument())
		},
		"version half": func(f *Fleet, a, _ int) { f.RollOut([]int{a % f.Size.Replicas}, 2, 1) },
		"version both": func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 2, 1) },
		"version old":  func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 1) },
		"version new":  func(f *Fleet, _, _ int) { f.RollOut([]int{0, 1, 2}, 2) },
	}
}

func pick[V any](from []V, n int) V {
	return from[n%len(from)]
}

// maxSteps is the number of faults in one case, maxGap the longest time
// between two.
const (
	maxSteps = 14
	maxGap   = 2500
)

// drawSteps draws a script of faults.
func drawSteps(t *rapid.T) []step {
	var kinds []string
	for kind := range strikes() {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(0, maxGap).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:     rapid.IntRange(0, 10000).Draw(t, "a"),
			B:     rapid.IntRange(0, 10000).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(one, 1, maxSteps).Draw(t, "steps")
}
