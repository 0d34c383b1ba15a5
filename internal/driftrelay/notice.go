package driftrelay

import (
	"net/http"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// notice is what an upstream has said of itself in its replies. It is kept when the
// upstream is no longer published, as the entry may be back later.
type notice struct {
	incarnation int64
	// leaving is set once it has said that it leaves, or another VM has passed that
	// on. Withdrawn is set once it was published as leaving and then as not leaving.
	leaving, withdrawn bool
	// closed is the latest closure.
	closed closure
	// at is when leaving or withdrawn last changed.
	at time.Time
}

// LeavingSign says that one incarnation of an upstream leaves.
type LeavingSign struct {
	Upstream    string
	Incarnation int64
}

const (
	// noticeLifetime is how long a notice of an upstream that is not published is
	// kept. Upstreams serve for some seconds after they have left.
	noticeLifetime = 5 * time.Minute
	// maxNotices bounds the memory of notices.
	maxNotices = 1 << 14
)

// WithLeavingReport sets the function that tells other VMs that an upstream leaves.
// It must not block.
func WithLeavingReport(report func(LeavingSign)) Option {
	return func(r *Relay) { r.reportLeaving = report }
}

// noticeOf returns the notice of an incarnation of an upstream, a new one if there is
// none or only one of an earlier incarnation. It returns nil if a later incarnation is
// known, or for want of memory. The caller holds the lock.
func (r *Relay) noticeOf(id string, incarnation int64) *notice {
	n, ok := r.notices[id]
	switch {
	case ok && n.incarnation == incarnation:
		return n
	case ok && n.incarnation > incarnation, !ok && len(r.notices) >= maxNotices:
		return nil
	}
	n = &notice{incarnation: incarnation}
	r.notices[id] = n
	return n
}

// dropOldNotices drops notices of upstreams that are gone. The caller holds the lock.
func (r *Relay) dropOldNotices(now time.Time) {
	for id, n := range r.notices {
		if _, known := r.upstreams[id]; !known && now.Sub(n.at) > noticeLifetime && now.After(n.closed.until) {
			delete(r.notices, id)
		}
	}
}

// MarkLeaving records the report of another VM that an upstream leaves, and reports
// whether that is news.
func (r *Relay) MarkLeaving(sign LeavingSign) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markLeaving(sign, "said another VM", time.Now())
}

// markLeaving records that an upstream leaves, and reports whether that is news. The
// caller holds the lock.
func (r *Relay) markLeaving(sign LeavingSign, source string, now time.Time) (isNew bool) {
	e, known := r.upstreams[sign.Upstream]
	if known && e.Incarnation > sign.Incarnation {
		return false
	}
	n := r.noticeOf(sign.Upstream, sign.Incarnation)
	if n == nil || n.leaving || n.withdrawn {
		return false
	}
	n.leaving, n.at = true, now
	r.events.Record(driftevent.UpstreamLeaving, "", sign.Upstream, source)
	if known {
		r.applyNotice(e)
	}
	return true
}

// applyNotice applies the notice of an upstream, if there is one. The caller holds the
// lock.
func (r *Relay) applyNotice(e *upstreamState) {
	n, ok := r.notices[e.ID]
	if !ok || n.incarnation != e.Incarnation {
		return
	}
	if n.closed.until.After(e.closed.until) {
		e.closed = n.closed
	}
	if n.leaving && (e.leavingAt.IsZero() || n.at.Before(e.leavingAt)) {
		e.leavingAt = n.at
	}
}

// recordPublished updates the notice of an upstream by its published state: one that
// was published as leaving and no longer is has taken it back. The caller holds the
// lock, and applies the published state after that.
func (r *Relay) recordPublished(e *upstreamState, u Upstream, now time.Time) {
	if u.Incarnation != e.Incarnation || u.Leaving || !e.Leaving {
		return
	}
	if n := r.noticeOf(u.ID, u.Incarnation); n != nil {
		n.leaving, n.withdrawn, n.at = false, true, now
	}
}

// recordLeaving applies the sign that a reply's sender leaves, if the reply has it, and
// returns it if other VMs are to be told. The caller holds the lock.
func (r *Relay) recordLeaving(f *attempt, header http.Header, now time.Time) (sign LeavingSign, isNew bool) {
	e := f.upstream
	// An answer of another VM has the headers of the upstream that it asked.
	if e.Service == forwardService || !driftexchange.ParseLeaving(header.Values(r.headers.Leaving)) {
		return sign, false
	}
	sign = LeavingSign{Upstream: e.ID, Incarnation: f.incarnation}
	if n := r.noticeOf(e.ID, f.incarnation); n != nil && n.withdrawn && f.started.After(n.at) {
		n.withdrawn = false
	}
	return sign, r.markLeaving(sign, "said its reply", now)
}

// withdrawn reports whether the upstream has begun to leave, or has closed, since the
// attempt began. The caller holds the lock.
func (f *attempt) withdrawn(now time.Time) bool {
	return f.started.Before(f.upstream.leavingAt) || now.Before(f.upstream.closed.until)
}
