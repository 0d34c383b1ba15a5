package driftrelay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
)

// VM is another VM that uses the same upstreams.
type VM struct {
	Name   string
	Domain string
	// Entry is set if callers are sent to the VM.
	Entry bool
	// Address is where the VM takes over requests that reached another one,
	// empty if it does not.
	Address string
}

// Weights by which the connections of an upstream are divided among VMs.
const (
	// nearWeight is for VMs that turn to the upstream first: those in its
	// failure domain, and those whose domain has no upstream of the service.
	nearWeight = 2
	farWeight  = 1
	// entryWeight multiplies these for VMs that callers are sent to. Others
	// serve the few callers that hold older addresses.
	entryWeight = 8
)

// share returns how many connections this VM may hold to an upstream that
// accepts total of all VMs together. Near tells whether the VMs of a failure
// domain turn to the upstream first. The shares of all VMs never exceed the
// total: what the weights leave over goes to those that rank first, and where
// there are fewer connections than VMs, only they get one.
func share(total int, upstream string, near func(domain string) bool, self VM, others []VM) int {
	weights := weightOf(near, self)
	for _, vm := range others {
		weights += weightOf(near, vm)
	}
	mine := total * weightOf(near, self) / weights
	left := total - mine
	for _, vm := range others {
		left -= total * weightOf(near, vm) / weights
	}
	if rank(upstream, near, self, others) < left {
		mine++
	}
	return mine
}

func weightOf(near func(domain string) bool, vm VM) int {
	weight := farWeight
	if near(vm.Domain) {
		weight = nearWeight
	}
	if vm.Entry {
		weight *= entryWeight
	}
	return weight
}

// rank returns the place of this VM in an order that all VMs agree on, in
// which those of more weight come first.
func rank(upstream string, near func(domain string) bool, self VM, others []VM) int {
	mine := xxhash.Sum64String(upstream + "/" + self.Name)
	weight := weightOf(near, self)
	place := 0
	for _, vm := range others {
		other := weightOf(near, vm)
		if other > weight || (other == weight && xxhash.Sum64String(upstream+"/"+vm.Name) < mine) {
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
		r.checker.MonotonicRevision("routes", uint64(r.table.Config.Version), uint64(view.Table.Config.Version))
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

// index rebuilds what is looked up by service.
func (r *Relay) index() {
	r.services = make(map[string][]*entity, len(r.services))
	r.homes = make(map[string]map[string]bool, len(r.homes))
	for _, e := range r.upstreams {
		r.services[e.Service] = append(r.services[e.Service], e)
		if r.homes[e.Service] == nil {
			r.homes[e.Service] = make(map[string]bool)
		}
		r.homes[e.Service][e.Domain] = true
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
	r.sends.tick(now)
	var closing []*driftexchange.Conn
	held := len(r.upstreams)
	for id, e := range r.upstreams {
		gone := !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneGrace
		closing = append(closing, e.retire(now, gone)...)
		if gone && len(e.flights) == 0 {
			delete(r.upstreams, id)
		}
	}
	for _, e := range r.peers {
		closing = append(closing, e.retire(now, false)...)
	}
	if len(r.upstreams) < held {
		r.index()
	}
	r.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// surplusIdle is how long an idle connection is kept beside another one. After
// a loss of power an upstream counts the connections of the VMs as they were
// for several seconds, and accepts only what is left of its bound.
const surplusIdle = time.Second

// retire takes the idle connections away that are to be closed: all of an
// upstream that is gone, those that the upstream may close any moment, and
// all but the newest that have been idle for a while.
func (e *entity) retire(now time.Time, gone bool) (closing []*driftexchange.Conn) {
	kept := e.idle[:0:0]
	for i, c := range e.idle {
		newest := i == len(e.idle)-1
		if gone || !c.Usable(now) || (!newest && c.Idle(now) > surplusIdle) {
			closing = append(closing, c)
			continue
		}
		kept = append(kept, c)
	}
	e.idle = kept
	return closing
}

// SetVMs tells which other VMs share the upstreams, and whether callers are
// sent to this one.
func (r *Relay) SetVMs(entry bool, others []VM) {
	r.mu.Lock()
	r.self.Entry = entry
	r.others = others
	closing := r.updatePeers(others)
	r.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// SendRate returns how many sends to upstreams this VM makes a second.
func (r *Relay) SendRate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends.perSecond
}

// sendMeter measures a rate that fades over rateSpan.
type sendMeter struct {
	count     int
	since     time.Time
	perSecond float64
}

// rateSpan is how long a rate is remembered. Shorter than clients keep the
// directory's answers, it follows a burst, and longer than its swings at a low
// rate.
const rateSpan = 3 * time.Second

// tick takes what was counted since the last call into the rate.
func (m *sendMeter) tick(now time.Time) {
	span := now.Sub(m.since)
	if span <= 0 {
		return
	}
	rate := float64(m.count) / span.Seconds()
	m.perSecond = rate + (m.perSecond-rate)*decay(span, rateSpan)
	m.count, m.since = 0, now
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
func (r *Relay) place(table *driftroute.Table, service string, tried []*entity, w want, now time.Time) (best choice, ok bool) {
	published, known := table.Service(service)
	if !known && service != hopService {
		return best, false
	}
	for _, e := range r.of(service) {
		out := r.out[e.Domain]
		if slices.Contains(tried, e) || !e.usable(now, out) {
			continue
		}
		if len(e.idle) == 0 && e.open >= r.connBound(e, published.Conns) {
			continue
		}
		if !e.coldRoom(now, r.coldShare(published)) {
			continue
		}
		cost := Estimate(e.facts(now, w, r.self.Domain, !out.IsZero())) + rand.N(jitter)
		if !ok || cost < best.cost {
			best, ok = choice{entity: e, cost: cost}, true
		}
	}
	return best, ok
}

// whyNone says for the log why no upstream of a service may get a request.
// The caller holds the lock.
func (r *Relay) whyNone(service string, tried []*entity, now time.Time) string {
	var leaving, out, unreachable int
	known := r.of(service)
	for _, e := range known {
		switch {
		case slices.Contains(tried, e):
		case !e.goneAt.IsZero() || !e.leavingAt.IsZero():
			leaving++
		case !r.out[e.Domain].IsZero():
			out++
		case now.Before(e.downUntil):
			unreachable++
		}
	}
	return fmt.Sprintf("no other upstream of %d: %d tried, %d leaving, %d in a domain that is out, %d not reachable of late",
		len(known), len(tried), leaving, out, unreachable)
}

// coldShare returns how many requests a second this VM may send to a cold
// upstream, 0 if there is no bound. The caller holds the lock.
func (r *Relay) coldShare(service driftroute.Service) float64 {
	return service.ColdRate / float64(1+len(r.others))
}

// connBound returns how many connections this VM may hold to an upstream or
// another VM. The caller holds the lock.
func (r *Relay) connBound(e *entity, conns int) int {
	if e.Service == hopService {
		return hopConns
	}
	return r.connShare(e, conns)
}

// connShare returns how many connections this VM may hold to the upstream. The
// caller holds the lock.
func (r *Relay) connShare(e *entity, conns int) int {
	homes := r.homes[e.Service]
	near := func(domain string) bool { return domain == e.Domain || !homes[domain] }
	return share(int(connPart*float64(conns)), e.ID, near, r.self, r.others)
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
	headers := r.headers
	if e.Service == hopService {
		headers = hopHeaders(headers)
	}
	c, err := driftexchange.Dial(bounded, r.dialer, e.Address, headers)
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
