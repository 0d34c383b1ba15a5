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
	// hopService is the name under which other VMs are placed. Published
	// services have no such name.
	hopService = "(vm)"
	// hopConns bounds the connections to one other VM.
	hopConns = 64
	// hopWay is the time that a packet takes to another VM, at most as long as
	// between two failure domains on the published sites.
	hopWay = 1400 * time.Microsecond
)

// ForwardHeader is the header that marks an answer of another VM. It never goes to
// callers.
const ForwardHeader = "Drift-Hop"

// ForwardSentAt returns when the caller sent a request that another VM passed on
// and that arrived at a time.
func ForwardSentAt(arrived time.Time, clientWay time.Duration) time.Time {
	return arrived.Add(-clientWay - 2*hopWay)
}

// hopHeaders returns the headers of an exchange with another VM. It is not
// told which incarnation to expect.
func hopHeaders(h driftexchange.Headers) driftexchange.Headers {
	return driftexchange.Headers{
		Request: h.Request, Deadline: h.Deadline, Signature: ForwardHeader,
		NotRun: ForwardHeader + "-Not-Run", Load: ForwardHeader + "-Load",
	}
}

// hop returns the route by which a request goes to another VM, or the route
// itself if this VM serves it.
func (r *Relay) hop(route *driftroute.Route) *driftroute.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Entry || len(r.peers) == 0 {
		return route
	}
	through := *route
	through.Target = driftroute.Forward{}
	through.MaxAttempts = 1
	return &through
}

// isHop reports whether requests of the route go to another VM.
func isHop(route *driftroute.Route) bool {
	_, ok := route.Target.(driftroute.Forward)
	return ok
}

// updatePeers takes over which VMs take requests over, and returns the
// connections to those that no longer do. The caller holds the lock.
func (r *Relay) updatePeers(others []VM) (closing []*driftexchange.Conn) {
	held := r.peers
	r.peers = make([]*entity, 0, len(held))
	for _, vm := range others {
		if !vm.Entry || vm.Address == "" {
			continue
		}
		i := slices.IndexFunc(held, func(e *entity) bool { return e.ID == vm.Name && e.Address == vm.Address })
		if i >= 0 {
			r.peers = append(r.peers, held[i])
			continue
		}
		r.peers = append(r.peers, newEntity(Upstream{
			ID: vm.Name, Service: hopService, Address: vm.Address, Domain: vm.Domain, Slots: hopConns,
		}, time.Now()))
	}
	slices.SortFunc(r.peers, func(a, b *entity) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range held {
		if !slices.Contains(r.peers, e) {
			closing = append(closing, e.idle...)
			e.idle = nil
			e.goneAt = time.Now()
		}
	}
	return closing
}

// of returns the upstreams of a service, or the VMs that take requests over.
// The caller holds the lock.
func (r *Relay) of(service string) []*entity {
	if service == hopService {
		return r.peers
	}
	return r.services[service]
}

// through names the VM that a request went on to, for the log.
func (s *scatter) through() string {
	if !isHop(s.query.Route) || len(s.legs[0].tried) == 0 {
		return ""
	}
	return ", through " + s.legs[0].tried[len(s.legs[0].tried)-1].ID
}
