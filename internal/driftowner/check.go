package driftowner

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
	"github.com/almonddrift/almonddrift/internal/drifttable"
)

// checkDispatch returns a refusal if this VM may not send the request now.
func (o *Owner) checkDispatch(v *drifttable.View, r driftshard.Request, now time.Time) (refusal driftshard.NotRun) {
	owner, _ := v.Owner(r.Upstream)
	switch {
	case v.Age(now) > o.maxViewAge:
		return driftshard.NotRun{Reason: driftshard.ReasonStale}
	case v.Fenced:
		return driftshard.NotRun{Reason: driftshard.ReasonFenced}
	case owner != v.Self:
		return driftshard.NotRun{Reason: driftshard.ReasonOwner, Owner: owner}
	case v.UpstreamOut(r.Upstream):
		return driftshard.NotRun{Reason: outReason(v, r.Upstream)}
	case !now.Before(r.Deadline):
		return driftshard.NotRun{Reason: driftshard.ReasonLate}
	}
	return driftshard.NotRun{}
}

func outReason(v *drifttable.View, upstream string) driftshard.Reason {
	u, found := v.Upstreams.Get(upstream)
	if found && u.Leaving {
		return driftshard.ReasonLeaving
	}
	return driftshard.ReasonOut
}

// holdEnd returns the time until which a new owner waits for the previous
// one.
func holdEnd(v *drifttable.View, upstream string) time.Time {
	o, _ := v.Owners.Get(upstream)
	return o.HoldUntil
}

// assertMarks checks the invariant that no request is sent to an upstream
// that is out or leaving.
func (o *Owner) assertMarks(v *drifttable.View, r driftshard.Request, now time.Time) {
	u, _ := v.Upstreams.Get(r.Upstream)
	if u.Leaving {
		o.checker.NotLeaving(r.Query, u.Name, u.LeavingSince, now)
	}
	if d, found := v.Domains.Get(u.Domain); found && d.Out {
		o.checker.NotMarkedOut(r.Query, d.Name, d.OutSince, now)
	}
}
