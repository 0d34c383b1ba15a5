package drifttest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
	"github.com/almonddrift/almonddrift/internal/driftfake"
	"github.com/almonddrift/almonddrift/internal/driftfront"
	"github.com/almonddrift/almonddrift/pkg/driftapi"
)

// scenario is the state that the verbs of one script share.
type scenario struct {
	fleet       *Fleet
	outcome     driftfront.Outcome
	latency     time.Duration
	loadResult  *LoadResult
	pendingLoad chan *LoadResult
	queryCount  int
}

// command is the function that testscript calls for a verb.
type command = func(ts *testscript.TestScript, negated bool, args []string)

// verbs returns the commands of the scripts by verb.
func (s *scenario) verbs() map[string]command {
	return map[string]command{
		"domain":   s.verb(s.domain),
		"vm":       s.verb(s.vm),
		"upstream": s.verb(s.upstream),
		"platform": s.verb(s.platform),
		"publish":  s.verb(s.publish),
		"cut":      s.verb(s.cut),
		"heal":     s.verb(func([]string) string { s.fleet.Heal(); return "" }),
		"advance":  s.verb(s.advance),
		"query":    s.verb(s.query),
		"load":     s.verb(s.load),
		"expect":   s.verb(s.expect),
	}
}

// verb adapts a function that returns an error text, or the empty string, to a
// testscript command. It adds three empty arguments, so that a function may
// read optional ones.
func (s *scenario) verb(do func(args []string) string) command {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		if negated {
			ts.Fatalf("a verb cannot be negated with !")
		}
		if wrong := do(append(args, "", "", "")); wrong != "" {
			ts.Fatalf("%s", wrong)
		}
	}
}

func (s *scenario) domain(args []string) string {
	switch verb, domain := args[0], args[1]; verb {
	case "out":
		s.fleet.MarkDomainOut(domain)
	case "in":
		s.fleet.ClearDomainMark(domain)
	case "cold":
		s.fleet.RestartDomainUpstreams(domain)
	case "cut":
		s.fleet.SetDomainsPartitioned(domain, args[2], true)
	case "slow":
		s.eachUpstreamInDomain(domain, func(u *driftfake.Upstream) { u.SetSlowdown(parseNumber(args[2])) })
	default:
		return "domain: unknown action " + verb
	}
	return ""
}

func (s *scenario) eachUpstreamInDomain(domain string, do func(u *driftfake.Upstream)) {
	for i, u := range s.fleet.Upstreams {
		if s.fleet.Spec.Domain(i/s.fleet.Spec.Replicas, i%s.fleet.Spec.Replicas) == domain {
			do(u)
		}
	}
}

func (s *scenario) vm(args []string) string {
	vm := args[1]
	switch args[0] {
	case "out":
		s.fleet.MarkVMOut(vm)
	case "in":
		s.fleet.ClearVMMark(vm)
	case "pause":
		s.fleet.Pause(vm)
		time.AfterFunc(parseDuration(args[2]), func() { s.fleet.Resume(vm) })
	case "freeze":
		s.fleet.StopControlPlane(vm)
	case "kill":
		s.fleet.KillAndUnlist(vm)
	case "start":
		s.fleet.StartAndList(vm)
	case "leave":
		s.fleet.Leave(vm)
	case "silence":
		s.fleet.Network.SetSilent(vm, args[2], true)
	default:
		return "vm: unknown action " + args[0]
	}
	return ""
}

// replyFaults returns the faults in an upstream's replies by their names in
// scripts.
func replyFaults() map[string]driftfake.ReplyMode {
	return map[string]driftfake.ReplyMode{
		"sound": driftfake.NormalReply, "mute": driftfake.NoReply, "crossed": driftfake.MismatchedReply,
		"short": driftfake.TruncatedReply, "drop": driftfake.ConnectionClosed, "other": driftfake.OtherVersionReply,
	}
}

func (s *scenario) upstream(args []string) string {
	if args[1] == "all" {
		for _, u := range s.fleet.Upstreams {
			if wrong := s.upstream([]string{args[0], u.Name, args[2]}); wrong != "" {
				return wrong
			}
		}
		return ""
	}
	u := s.fleet.Upstream(args[1])
	switch args[0] {
	case "cold":
		u.MakeCold()
	case "restart":
		s.fleet.RestartUpstream(u.Name)
	case "slow":
		u.SetSlowdown(parseNumber(args[2]))
	case "leave":
		s.fleet.DrainUpstream(u.Name)
	case "lost":
		s.fleet.Dialer.SetUnreachable(u.Name, true)
		u.Restart()
	case "back":
		s.fleet.Dialer.SetUnreachable(u.Name, false)
	case "silence":
		u.SilenceConnections()
	case "report":
		u.SetReportedLoad(falseLoadReport(args[2]))
	default:
		mode, found := replyFaults()[args[0]]
		if !found {
			return "upstream: unknown action " + args[0]
		}
		u.SetReplyMode(mode)
	}
	return ""
}

func (s *scenario) platform(args []string) string {
	switch args[0] {
	case "down":
		s.fleet.SetPlatformDown(true)
	case "up":
		s.fleet.SetPlatformDown(false)
	case "stale":
		s.fleet.SetConfigStale(true)
	case "fresh":
		s.fleet.SetConfigStale(false)
	case "lag":
		s.fleet.Platform.SetListLag(parseDuration(args[1]))
	default:
		return "platform: unknown action " + args[0]
	}
	return ""
}

func (s *scenario) publish(args []string) string {
	switch args[0] {
	case "classes":
		if args[1] == "bad" {
			s.fleet.Platform.PutRaw(driftdocument.KeyClasses, []byte(`{"classes":[{"name":"fire"}]}`))
			return ""
		}
		s.fleet.Platform.Put(driftdocument.KeyClasses, s.fleet.Spec.ClassesDocument())
	case "version":
		s.fleet.RollOut(parseReplicas(args[2]), parseVersions(args[1])...)
	default:
		return "publish: unknown document " + args[0]
	}
	return ""
}

func (s *scenario) cut(args []string) string {
	if args[2] == "oneway" {
		s.fleet.Network.SetPartitioned(args[0], args[1], true)
		return ""
	}
	s.fleet.SetPartitioned(args[0], args[1], true)
	return ""
}

func (s *scenario) advance(args []string) string {
	time.Sleep(parseDuration(args[0]))
	return ""
}

// query sends a query to one VM, vm-1 unless another is named, and waits for
// the outcome.
func (s *scenario) query(args []string) string {
	s.queryCount++
	vm := "vm-1"
	if strings.HasPrefix(args[1], "vm-") {
		vm = args[1]
	}
	q := driftapi.Query{
		Request: fmt.Sprintf("script-%d", s.queryCount), Class: args[0], Deadline: 500, Text: "church",
	}
	if args[0] == "reserve" {
		q.Depots = []string{"depot-1-1"}
	}
	started := time.Now()
	s.outcome = s.fleet.Query(vm, q)
	s.latency = time.Since(started)
	if a, ok := s.outcome.(driftfront.Answered); ok {
		s.fleet.checkAnswer(q, a.Answer)
	}
	return ""
}

// load runs a load such as "load counter 100/s 10s". With a final "&" it runs
// in the background until "load wait".
func (s *scenario) load(args []string) string {
	if args[0] == "wait" {
		s.loadResult = <-s.pendingLoad
		return ""
	}
	rate, _ := strings.CutSuffix(args[1], "/s")
	l := Load{Class: args[0], Rate: parseNumber(rate), Duration: parseDuration(args[2]), Seed: uint64(s.queryCount)}
	if l.Class == "reserve" {
		l.Depots = []string{"depot-1-1"}
	}
	if args[3] != "&" {
		s.loadResult = s.fleet.RunLoad(l)
		return ""
	}
	s.pendingLoad = make(chan *LoadResult, 1)
	go func() { s.pendingLoad <- s.fleet.RunLoad(l) }()
	return ""
}

func parseNumber(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

// parseReplicas parses a list of replica numbers such as "0,1".
func parseReplicas(text string) []int {
	var list []int
	for d := range strings.SplitSeq(text, ",") {
		list = append(list, int(parseNumber(d)))
	}
	return list
}

// parseVersions parses a list of index versions such as "2,1".
func parseVersions(text string) []uint64 {
	var list []uint64
	for _, n := range parseReplicas(text) {
		list = append(list, uint64(n))
	}
	return list
}

func answerOf(o driftfront.Outcome) driftapi.Answer {
	a, _ := o.(driftfront.Answered)
	return a.Answer
}

func refusalOf(o driftfront.Outcome) driftapi.Refusal {
	r, _ := o.(driftfront.Refused)
	return r.Refusal
}

func missingReasons(a driftapi.Answer) []string {
	var reasons []string
	for _, m := range a.Missing {
		reasons = append(reasons, m.Reason)
	}
	return slices.Compact(slices.Sorted(slices.Values(reasons)))
}
