package driftfront

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// attempt is one shard request sent to one VM.
type attempt struct {
	id         string
	task       int
	generation int
	upstream   string
	vm         string
	version    uint64
	hedge      bool
	started    time.Time
	cancel     context.CancelFunc
}

// attemptResult is an attempt with its result and the time at which the result
// arrived.
type attemptResult struct {
	attempt *attempt
	result  driftshard.Result
	arrived time.Time
}

// attemptIDSource generates the ids of attempts. An id holds the VM's name,
// its incarnation and a counter, so that it is unique in the fleet.
type attemptIDSource struct {
	prefix  atomic.Pointer[attemptIDPrefix]
	counter atomic.Uint64
}

// attemptIDPrefix is the part of an id that all attempts of one incarnation of
// a VM share.
type attemptIDPrefix struct {
	incarnation uint64
	text        string
}

// attemptIDBase is the base of the numbers in attempt ids.
const attemptIDBase = 36

func (n *attemptIDSource) next(v *drifttable.View) string {
	self, _ := v.VMs.Get(v.Self)
	p := n.prefix.Load()
	if p == nil || p.incarnation != self.Incarnation {
		p = &attemptIDPrefix{incarnation: self.Incarnation, text: v.Self + "/" + strconv.FormatUint(self.Incarnation, attemptIDBase) + "/"}
		n.prefix.Store(p)
	}
	return p.text + strconv.FormatUint(n.counter.Add(1), attemptIDBase)
}

// request returns the shard request of an attempt.
func (a *attempt) request(c call, t shardRequest) driftshard.Request {
	return driftshard.Request{
		Query: c.query.Request, Attempt: a.id, Class: c.class.Name, Service: c.class.Service,
		Shard: t.shard.Name, Upstream: a.upstream, Version: a.version, Depots: t.depots,
		Text: c.query.Text, NonIdempotent: c.class.NonIdempotent, Deadline: c.deadline,
	}
}

// detailDone ends the event detail of an attempt that was answered. The rest of
// that detail is the one of the start event, so that both share one string.
const detailDone = " done"

// runAttempt sends the request of an attempt, waits for its result and updates
// the statistics.
func (f *Front) runAttempt(ctx context.Context, a *attempt, r driftshard.Request) attemptResult {
	load := f.loads.row(a.upstream)
	load.recordStart(a.started)
	code := driftevent.AttemptStarted
	if a.hedge {
		code = driftevent.AttemptHedged
	}
	detail := a.id + " " + a.upstream + detailDone
	f.events.Record(code, r.Query, a.vm, strings.TrimSuffix(detail, detailDone))
	result := f.sender.Send(ctx, a.vm, r)
	arrived := time.Now()
	f.recordResult(load, a, r, result, arrived)
	if _, done := result.(driftshard.Done); !done {
		detail = strings.TrimSuffix(detail, detailDone) + " " + resultText(result)
	}
	f.events.Record(driftevent.AttemptEnded, r.Query, a.vm, detail)
	return attemptResult{attempt: a, result: result, arrived: arrived}
}

// recordResult updates the statistics of the upstream, the VM and the class
// with a result.
func (f *Front) recordResult(load *loadRow, a *attempt, q driftshard.Request, result driftshard.Result, now time.Time) {
	took := now.Sub(a.started)
	baseline := f.loads.baseline(q.Class)
	switch r := result.(type) {
	case driftshard.Done:
		load.recordReply(r.Load, baseline.ratio(took), now)
		baseline.add(took)
		f.latencies.row(q.Class).add(took, now)
		f.recordVersion(a, r.Version, now)
	case driftshard.NotRun:
		f.recordRefusal(load, a, r, now)
	case driftshard.Unknown:
		load.recordNoReply(baseline.ratio(took), now)
		if r.Reason != driftshard.ReasonCanceled && r.Reason != driftshard.ReasonSilent {
			load.recordUnusable()
		}
		if !a.hedge {
			f.latencies.row(q.Class).addUnanswered(took, now)
		}
		if r.Reason == driftshard.ReasonSilent {
			f.loads.recordUnreachable(a.vm, now)
		}
	}
}

// recordVersion records whether the upstream served the version that the
// attempt asked for.
func (f *Front) recordVersion(a *attempt, version uint64, now time.Time) {
	if version == a.version {
		f.refusals.recordServed(a.upstream, version)
		return
	}
	f.refusals.recordRefused(a.upstream, a.version, now)
}

func (f *Front) recordRefusal(load *loadRow, a *attempt, r driftshard.NotRun, now time.Time) {
	switch r.Reason {
	case driftshard.ReasonVersion:
		f.refusals.recordRefused(a.upstream, a.version, now)
		load.recordNoReply(0, now)
	case driftshard.ReasonOwner, driftshard.ReasonCanceled:
		load.recordNoReply(0, now)
	case driftshard.ReasonUnreachable:
		f.loads.recordUnreachable(a.vm, now)
		load.recordRefusal(r.Load, r.RetryAfter, now)
	default:
		load.recordRefusal(r.Load, r.RetryAfter, now)
	}
}

// resultText returns the text of a result for events and explanations.
func resultText(result driftshard.Result) string {
	switch r := result.(type) {
	case driftshard.Done:
		return "done"
	case driftshard.NotRun:
		return "notrun " + string(r.Reason)
	case driftshard.Unknown:
		return "unknown " + string(r.Reason)
	}
	return "unknown"
}
