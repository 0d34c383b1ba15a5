package driftrelay

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// Forwarding: callers are sent to entry VMs only; other VMs hold hardly any
// connections to upstreams. Requests that still reach them, from callers that
// use older addresses, are forwarded whole and in one message to an entry VM.
// That VM is treated like an upstream of one more service: it is chosen by its
// load and stalled requests, and another one is tried only if no upstream was sent
// the request.

const (
	// forwardService is the service name under which other VMs are chosen. No
	// published service has it.
	forwardService = "(vm)"
	// maxForwardConns is the number of connections to one other VM.
	maxForwardConns = 64
	// forwardDelay is the network delay to another VM, at most that between two
	// failure domains on the published sites.
	forwardDelay = 1400 * time.Microsecond
)

// ForwardHeader marks an answer of another VM to a forwarded request. It is
// removed before the answer reaches the caller.
const ForwardHeader = "Drift-Hop"

// forwardNotRunHeader is set on answers to requests that have not run, and says
// whether an upstream was sent the request. Its values are forwardUnsent,
// forwardRefused and forwardLimited.
const forwardNotRunHeader = ForwardHeader + "-Not-Run"

const forwardLoadHeader = ForwardHeader + "-Load"

const (
	forwardUnsent  = "unsent"
	forwardRefused = "refused"
	// forwardLimited is that of a request beyond the limit of its account.
	forwardLimited = "limited"
)

// MarkForwarded adds what the VM that has forwarded the request needs to know of
// the answer.
func (a Answer) MarkForwarded(header http.Header) {
	header.Set(ForwardHeader, "1")
	switch {
	case a.NotRun.Proven() && a.Cause == CauseLimit:
		header.Set(forwardNotRunHeader, forwardLimited)
	case a.NotRun.evidence == neverSent:
		header.Set(forwardNotRunHeader, forwardUnsent)
	case a.NotRun.evidence == alwaysRefused:
		header.Set(forwardNotRunHeader, forwardRefused)
	default:
		header.Del(forwardNotRunHeader)
	}
}

// handleForwardRefusal takes over what another VM says in the refusal of a
// forwarded request. If no upstream was sent it, another VM may be tried, for as
// long as the request may wait for capacity. Otherwise the attempts that the route
// allows are used up there. The limit of an account is that of all VMs, so no other VM
// is tried.
func (s *scatter) handleForwardRefusal(l *shardRequest, header http.Header, now time.Time) {
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		s.forwardRetryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch header.Get(forwardNotRunHeader) {
	case forwardUnsent:
		l.sent, l.sentTo = l.sent-1, l.sentTo[:len(l.sentTo)-1]
		l.exhausted = l.exhausted || !now.Before(s.capacityWaitEnd())
	case forwardLimited:
		s.limited, l.exhausted = true, true
	}
}

// refusedForAccount reports whether another VM has refused a forwarded request for the
// limit of its account, which tells nothing of that VM.
func (e *upstreamState) refusedForAccount(header http.Header) bool {
	return e.Service == forwardService && header.Get(forwardNotRunHeader) == forwardLimited
}

// ForwardSentAt returns when the caller sent a request that was forwarded by
// another VM and arrived at the given time.
func ForwardSentAt(arrived time.Time, clientDelay time.Duration) time.Time {
	return arrived.Add(-clientDelay - 2*forwardDelay)
}

// forwardHeaders returns the header names for an exchange with another VM. The
// expected incarnation is not sent.
func forwardHeaders(h driftexchange.Headers) driftexchange.Headers {
	return driftexchange.Headers{
		Request: h.Request, Deadline: h.Deadline, Signature: ForwardHeader,
		NotRun: forwardNotRunHeader, Load: forwardLoadHeader,
	}
}

// forwardRoute returns a route that forwards the request to another VM, or the
// route itself if this VM serves it.
func (r *Relay) forwardRoute(route *driftroute.Route) *driftroute.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Entry || len(r.peers) == 0 {
		return route
	}
	forwarded := *route
	forwarded.Target = driftroute.Forward{}
	forwarded.MaxAttempts = 1
	return &forwarded
}

// isForward reports whether requests of the route are forwarded to another VM.
func isForward(route *driftroute.Route) bool {
	_, ok := route.Target.(driftroute.Forward)
	return ok
}

// updatePeers updates the VMs that accept forwarded requests, and returns the
// connections to those that no longer do. The caller holds the lock.
func (r *Relay) updatePeers(others []VM) (closing []*driftexchange.Conn) {
	previous := r.peers
	r.peers = make([]*upstreamState, 0, len(previous))
	for _, vm := range others {
		if !vm.Entry || vm.Address == "" {
			continue
		}
		i := slices.IndexFunc(previous, func(e *upstreamState) bool { return e.ID == vm.Name && e.Address == vm.Address })
		if i >= 0 {
			r.peers = append(r.peers, previous[i])
			continue
		}
		r.peers = append(r.peers, newUpstreamState(Upstream{
			ID: vm.Name, Service: forwardService, Address: vm.Address, Domain: vm.Domain, Slots: maxForwardConns,
		}, time.Now()))
	}
	slices.SortFunc(r.peers, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range previous {
		if !slices.Contains(r.peers, e) {
			closing = append(closing, e.idleConns...)
			e.idleConns = nil
			e.removedAt = time.Now()
		}
	}
	return closing
}

// upstreamsOf returns the upstreams of a service, or the VMs that accept
// forwarded requests. The caller holds the lock.
func (r *Relay) upstreamsOf(service string) []*upstreamState {
	if service == forwardService {
		return r.peers
	}
	return r.services[service]
}

// forwardDetail names, for the log, the VM that a request was forwarded to.
func (s *scatter) forwardDetail() string {
	if !isForward(s.query.Route) || len(s.requests[0].tried) == 0 {
		return ""
	}
	return ", through " + s.requests[0].tried[len(s.requests[0].tried)-1].ID
}
