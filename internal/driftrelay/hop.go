package driftrelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// A VM that callers are not sent to has hardly any connection to upstreams.
// What reaches it all the same, from callers that hold older addresses, goes
// on to a VM that callers are sent to, whole and in one message. That VM is
// treated like an upstream of one more service: placed by its load and its
// stalls, tried again elsewhere only if the request was surely not sent.

const (
	// forwardService is the name under which other VMs are placed. Published
	// services have no such name.
	forwardService = "(vm)"
	// maxForwardConns bounds the connections to one other VM.
	maxForwardConns = 64
	// forwardDelay is the time that a packet takes to another VM, at most as long as
	// between two failure domains on the published sites.
	forwardDelay = 1400 * time.Microsecond
)

// ForwardHeader is the header that marks an answer of another VM. It never goes to
// callers.
const ForwardHeader = "Drift-Hop"

// ForwardSentAt returns when the caller sent a request that another VM passed on
// and that arrived at a time.
func ForwardSentAt(arrived time.Time, clientDelay time.Duration) time.Time {
	return arrived.Add(-clientDelay - 2*forwardDelay)
}

// forwardHeaders returns the headers of an exchange with another VM. It is not
// told which incarnation to expect.
func forwardHeaders(h driftexchange.Headers) driftexchange.Headers {
	return driftexchange.Headers{
		Request: h.Request, Deadline: h.Deadline, Signature: ForwardHeader,
		NotRun: ForwardHeader + "-Not-Run", Load: ForwardHeader + "-Load",
	}
}

// forwardRoute returns the route by which a request goes to another VM, or the route
// itself if this VM serves it.
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

// isForward reports whether requests of the route go to another VM.
func isForward(route *driftroute.Route) bool {
	_, ok := route.Target.(driftroute.Forward)
	return ok
}

// updatePeers takes over which VMs take requests over, and returns the
// connections to those that no longer do. The caller holds the lock.
func (r *Relay) updatePeers(others []VM) (closing []*driftexchange.Conn) {
	held := r.peers
	r.peers = make([]*upstreamState, 0, len(held))
	for _, vm := range others {
		if !vm.Entry || vm.Address == "" {
			continue
		}
		i := slices.IndexFunc(held, func(e *upstreamState) bool { return e.ID == vm.Name && e.Address == vm.Address })
		if i >= 0 {
			r.peers = append(r.peers, held[i])
			continue
		}
		r.peers = append(r.peers, newUpstreamState(Upstream{
			ID: vm.Name, Service: forwardService, Address: vm.Address, Domain: vm.Domain, Slots: maxForwardConns,
		}, time.Now()))
	}
	slices.SortFunc(r.peers, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range held {
		if !slices.Contains(r.peers, e) {
			closing = append(closing, e.idleConns...)
			e.idleConns = nil
			e.removedAt = time.Now()
		}
	}
	return closing
}

// upstreamsOf returns the upstreams upstreamsOf a service, or the VMs that take requests over.
// The caller holds the lock.
func (r *Relay) upstreamsOf(service string) []*upstreamState {
	if service == forwardService {
		return r.peers
	}
	return r.services[service]
}

// forwardDetail names the VM that a request went on to, for the log.
func (s *scatter) forwardDetail() string {
	if !isForward(s.query.Route) || len(s.requests[0].tried) == 0 {
		return ""
	}
	return ", through " + s.requests[0].tried[len(s.requests[0].tried)-1].ID
}
