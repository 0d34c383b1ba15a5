package driftrelay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
)

// VM is another VM that uses the same upstreams.
type VM struct {
	Name   string
	Domain string
}

// nearWeight is how many more connections a VM in an upstream's own failure
// domain gets than others, since it is the first to use the upstream.
const nearWeight = 3

// share returns how many connections this VM may hold to an upstream that
// accepts total of all VMs together. The shares of all VMs never exceed the
// total: where there are fewer connections than VMs, those that rank first
// get one each.
func share(total int, domain, upstream string, self VM, others []VM) int {
	near, far := 0, 0
	for _, vm := range append(others, self) {
		if vm.Domain == domain {
			near++
			continue
		}
		far++
	}
	weights := nearWeight*near + far
	farShare := total / max(1, weights)
	nearShare := nearWeight * total / max(1, weights)
	if near > 0 {
		nearShare = min(nearShare, (total-farShare*far)/near)
	}
	isNear := self.Domain == domain
	if isNear && nearShare > 0 {
		return nearShare
	}
	if !isNear && farShare > 0 {
		return farShare
	}
	left := total - nearShare*near
	if isNear {
		left = total
	}
	if rank(upstream, self, others, domain) < left {
		return 1
	}
	return 0
}

// rank returns the place of this VM among those that are, like it, inside or
// outside the domain, in an order that all VMs agree on.
func rank(upstream string, self VM, others []VM, domain string) int {
	mine := xxhash.Sum64String(upstream + "/" + self.Name)
	place := 0
	for _, vm := range others {
		if (vm.Domain == domain) == (self.Domain == domain) && xxhash.Sum64String(upstream+"/"+vm.Name) < mine {
			place++
		}
	}
	return place
}

// Update takes over a new view. Upstreams that it lacks are kept for a while,
// since their entries may have lapsed with the platform.
func (r *Relay) Update(view View) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil {
		r.checker.Forward("routes", uint64(r.table.Config.Version), uint64(view.Table.Config.Version))
	}
	r.table = view.Table
	listed := make(map[string]bool, len(view.Upstreams))
	for _, u := range view.Upstreams {
		listed[u.ID] = true
		e, ok := r.upstreams[u.ID]
		if ok && e.Address == u.Address && e.Service == u.Service {
			e.publish(u, now)
			continue
		}
		e = newEntity(u, now)
		e.publish(u, now)
		r.upstreams[u.ID] = e
	}
	for id, e := range r.upstreams {
		if !listed[id] && e.goneAt.IsZero() {
			e.goneAt = now
		}
	}
	r.updateOut(view.Out, now)
	r.index()
}

func (r *Relay) updateOut(out []string, now time.Time) {
	for domain := range r.out {
		if !slices.Contains(out, domain) {
			delete(r.out, domain)
		}
	}
	for _, domain := range out {
		if _, ok := r.out[domain]; !ok {
			r.out[domain] = now
		}
	}
}

// index rebuilds the lists of upstreams by service.
func (r *Relay) index() {
	r.services = make(map[string][]*entity, len(r.services))
	for _, e := range r.upstreams {
		r.services[e.Service] = append(r.services[e.Service], e)
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *entity) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Tick drops upstreams that are gone and connections that idled out. Call it
// a few times a second.
func (r *Relay) Tick() {
	now := time.Now()
	r.mu.Lock()
	var closing []*driftexchange.Conn
	for id, e := range r.upstreams {
		gone := !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneGrace
		e.idle = slices.DeleteFunc(e.idle, func(c *driftexchange.Conn) bool {
			if gone || !c.Usable(now) {
				closing = append(closing, c)
				return true
			}
			return false
		})
		if gone && len(e.flights) == 0 {
			delete(r.upstreams, id)
		}
	}
	r.index()
	r.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// SetVMs tells which other VMs share the upstreams.
func (r *Relay) SetVMs(others []VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = others
}

// Suspect notes that another VM waits for an upstream in vain.
func (r *Relay) Suspect(upstream string, span time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.upstreams[upstream]; ok {
		e.suspectTo = now.Add(min(span, suspectSpan))
	}
}

// choice is what place returns.
type choice struct {
	entity *entity
	cost   time.Duration
}

// connPart is the part of an upstream's connections that the fleet uses: those
// of a VM that died count for a while longer, and an upstream accepts fewer
// while its queue is long.
const connPart = 0.85

// jitter spreads choices between upstreams that look alike.
const jitter = time.Millisecond

// place chooses the upstream of a service for a request, leaving out those
// that were tried. The caller holds the lock.
func (r *Relay) place(service string, tried []*entity, typical, aim time.Duration, now time.Time) (best choice, ok bool) {
	published, known := r.table.Service(service)
	if !known {
		return best, false
	}
	for _, e := range r.services[service] {
		out := r.out[e.Domain]
		if slices.Contains(tried, e) || !e.usable(now, out) {
			continue
		}
		limit := share(int(connPart*float64(published.Conns)), e.Domain, e.ID, r.self, r.others)
		if len(e.idle) == 0 && e.open >= limit {
			continue
		}
		if !e.coldRoom(now, published.ColdRate/float64(1+len(r.others))) {
			continue
		}
		cost := Estimate(e.facts(now, typical, aim, r.self.Domain, !out.IsZero())) + rand.N(jitter)
		if !ok || cost < best.cost {
			best, ok = choice{entity: e, cost: cost}, true
		}
	}
	return best, ok
}

// freshIdle is the longest idle time of a connection that carries a request
// that may run once only: an upstream may have forgotten an older one.
const freshIdle = 300 * time.Millisecond

// takeConn returns an idle connection of the upstream, or nil. The caller
// holds the lock.
func (e *entity) takeConn(now time.Time, fresh bool) *driftexchange.Conn {
	for len(e.idle) > 0 {
		last := len(e.idle) - 1
		c := e.idle[last]
		if fresh && c.Idle(now) > freshIdle {
			break
		}
		e.idle = e.idle[:last]
		if c.Usable(now) {
			return c
		}
		c.Close()
	}
	if fresh && len(e.idle) > 0 {
		e.idle[0].Close()
		e.idle = slices.Delete(e.idle, 0, 1)
	}
	return nil
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 600 * time.Millisecond

// dial opens a connection and counts it until it has ended.
func (r *Relay) dial(ctx context.Context, e *entity) (*driftexchange.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := driftexchange.Dial(bounded, e.Address, r.headers)
	if err != nil {
		r.mu.Lock()
		e.open--
		r.mu.Unlock()
		return nil, err
	}
	go func() {
		<-c.Closed()
		r.mu.Lock()
		defer r.mu.Unlock()
		e.open--
		if i := slices.Index(e.idle, c); i >= 0 {
			e.idle = slices.Delete(e.idle, i, i+1)
		}
	}()
	return c, nil
}
