package driftrelay

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// VM is a VM that uses the same upstreams.
type VM struct {
	Name   string
	Domain string
	// Entry is set on an entry VM: one that callers are sent to.
	Entry bool
	// Address is where the VM accepts forwarded requests, empty if it accepts
	// none.
	Address string
}

// Weights that divide the connections and the cold rate of an upstream among
// VMs.
const (
	// preferredWeight is for VMs that prefer the upstream: those in its failure
	// domain, and those in a domain without an upstream of the service.
	preferredWeight = 2
	baseWeight      = 1
	// entryWeightFactor multiplies the weight of entry VMs.
	// The others serve only the few callers that still use older addresses.
	entryWeightFactor = 8
)

// owner returns the VM as an owner of an upstream's connections and cold rate.
// Near reports whether the VMs of a failure domain prefer the upstream.
func owner(near func(domain string) bool, vm VM) driftshare.Owner {
	weight := baseWeight
	if near(vm.Domain) {
		weight = preferredWeight
	}
	if vm.Entry {
		weight *= entryWeightFactor
	}
	return driftshare.Owner{Name: vm.Name, Weight: weight}
}

// unitShare is this VM's share of a number of units, computed for one
// generation of the fleet.
type unitShare struct {
	generation uint64
	total      int
	units      int
}

// units returns how many of the total units of an upstream, connections or
// requests, belong to this VM. The caller holds the lock.
func (r *Relay) units(e *upstreamState, share *unitShare, total int) int {
	return r.unitsAmong(r.others, e, share, total)
}

// unitsAmong returns how many of the total units of an upstream belong to this
// VM if they are divided among it and the others. The caller holds the lock.
func (r *Relay) unitsAmong(others []VM, e *upstreamState, share *unitShare, total int) int {
	if share.generation == r.generation && share.total == total {
		return share.units
	}
	domainsWithUpstream := r.serviceDomains[e.Service]
	near := func(domain string) bool { return domain == e.Domain || !domainsWithUpstream[domain] }
	owners := make([]driftshare.Owner, len(others))
	for i, vm := range others {
		owners[i] = owner(near, vm)
	}
	units := driftshare.Units(total, e.ID, owner(near, r.self), owners)
	if r.unmet {
		units = driftshare.UnmetUnits(total)
	}
	*share = unitShare{generation: r.generation, total: total, units: units}
	return units
}

// UpdateView applies a new view. Upstreams that it lacks are kept for a grace
// period, since their entries may have expired while the platform was
// unavailable.
func (r *Relay) UpdateView(view View) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil {
		r.checker.MonotonicRevision("routes", uint64(r.table.Config.Version), uint64(view.Table.Config.Version))
	}
	r.table = view.Table
	r.metrics.setAccounts(view.Table.Config.Accounts.Len())
	listed := make(map[string]bool, len(view.Upstreams))
	for _, u := range view.Upstreams {
		listed[u.ID] = true
		if r.isFalseClaim(u, now) {
			continue
		}
		delete(r.falseClaims, u.ID)
		e, ok := r.upstreams[u.ID]
		if ok && e.Address == u.Address && e.Service == u.Service {
			r.recordPublished(e, u, now)
			e.applyPublished(u, now)
			r.applyNotice(e)
			continue
		}
		e = newUpstreamState(u, now)
		e.applyPublished(u, now)
		r.applyNotice(e)
		r.upstreams[u.ID] = e
	}
	for id, e := range r.upstreams {
		if !listed[id] && e.removedAt.IsZero() {
			e.removedAt = now
		}
	}
	for id := range r.falseClaims {
		if !listed[id] {
			delete(r.falseClaims, id)
		}
	}
	r.updateOutOfService(view.OutOfService, now)
	r.rebuildIndex()
}

func (r *Relay) updateOutOfService(out []string, now time.Time) {
	for domain := range r.outSince {
		if !slices.Contains(out, domain) {
			delete(r.outSince, domain)
		}
	}
	for _, domain := range out {
		if _, ok := r.outSince[domain]; !ok {
			r.outSince[domain] = now
		}
	}
}

// rebuildIndex rebuilds the maps that are keyed by service.
func (r *Relay) rebuildIndex() {
	r.generation++
	r.services = make(map[string][]*upstreamState, len(r.services))
	r.serviceDomains = make(map[string]map[string]bool, len(r.serviceDomains))
	for _, e := range r.upstreams {
		r.services[e.Service] = append(r.services[e.Service], e)
		if r.serviceDomains[e.Service] == nil {
			r.serviceDomains[e.Service] = make(map[string]bool)
		}
		r.serviceDomains[e.Service][e.Domain] = true
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.forgetCrossings()
}

// Tick drops removed upstreams and expired idle connections. It should be
// called a few times a second.
func (r *Relay) Tick() {
	now := time.Now()
	r.mu.Lock()
	r.sendRate.update(now)
	var closing []*driftexchange.Conn
	before, limits, leaving, closed := len(r.upstreams), 0, 0, 0
	for id, e := range r.upstreams {
		if e.rateLimit.named {
			limits++
		}
		if !e.leavingAt.IsZero() {
			leaving++
		}
		if now.Before(e.closed.until) {
			closed++
		}
		r.recordOpened(e, now)
		removed := !e.removedAt.IsZero() && now.Sub(e.removedAt) > r.graces.removed
		closing = append(closing, e.removeExpiredConns(now, removed)...)
		if removed && len(e.inFlight) == 0 {
			delete(r.upstreams, id)
		}
	}
	for _, e := range r.peers {
		closing = append(closing, e.removeExpiredConns(now, false)...)
	}
	if len(r.upstreams) < before {
		r.rebuildIndex()
	}
	r.dropOldNotices(now)
	r.forgetOptional(now)
	r.metrics.setRateLimits(limits)
	r.metrics.setLeaving(leaving)
	r.metrics.setClosed(closed)
	claims := r.tickRooms(now)
	r.mu.Unlock()
	r.reportRoom(claims)
	for _, c := range closing {
		c.Close()
	}
}

// maxSurplusIdle is how long an idle connection is kept beside a newer one.
// After a power loss an upstream still counts the earlier connections of the
// VMs for several seconds and accepts only the rest of its limit.
const maxSurplusIdle = time.Second

// removeExpiredConns removes and returns the idle connections that are to be
// closed: all of a removed upstream, those that the upstream may close at any
// moment, and all but the newest that have been idle for longer than
// maxSurplusIdle.
func (e *upstreamState) removeExpiredConns(now time.Time, removed bool) (closing []*driftexchange.Conn) {
	kept := e.idleConns[:0:0]
	for i, c := range e.idleConns {
		newest := i == len(e.idleConns)-1
		if removed || !c.Usable(now) || (!newest && c.IdleTime(now) > maxSurplusIdle) {
			closing = append(closing, c)
			continue
		}
		kept = append(kept, c)
	}
	e.idleConns = kept
	return closing
}

// SetVMs sets which other VMs share the upstreams, and whether callers are sent
// to this one.
func (r *Relay) SetVMs(entry bool, others []VM) {
	r.mu.Lock()
	if r.self.Entry == entry && slices.Equal(r.others, others) {
		r.mu.Unlock()
		return
	}
	r.generation++
	r.self.Entry = entry
	r.others = others
	r.otherEntries = nil
	for _, vm := range others {
		if vm.Entry {
			r.otherEntries = append(r.otherEntries, vm)
		}
	}
	closing := r.updatePeers(others)
	r.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// SetUnmet sets whether there may be VMs that this one has not met. Until then it
// uses only a part of what upstreams accept.
func (r *Relay) SetUnmet(unmet bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unmet != unmet {
		r.generation++
		r.unmet = unmet
	}
}

// SendRate returns how many attempts this VM sends to upstreams per second.
func (r *Relay) SendRate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sendRate.perSecond
}

// rateMeter measures an exponentially decaying rate.
type rateMeter struct {
	count     int
	since     time.Time
	perSecond float64
}

// rateDecay is the time constant of the rate. It is shorter than the time for
// which clients cache the directory's answers, to follow a burst, and long
// enough to smooth the variation at low rates.
const rateDecay = 3 * time.Second

// update updates the rate with the count since the last call.
func (m *rateMeter) update(now time.Time) {
	elapsed := now.Sub(m.since)
	if elapsed <= 0 {
		return
	}
	rate := float64(m.count) / elapsed.Seconds()
	m.perSecond = rate + (m.perSecond-rate)*decay(elapsed, rateDecay)
	m.count, m.since = 0, now
}

// MarkSuspect records the report of another VM that an upstream does not
// answer.
func (r *Relay) MarkSuspect(upstream string, duration time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.upstreams[upstream]; ok {
		e.suspectUntil = now.Add(min(duration, suspectDuration))
	}
}

// placement is an upstream chosen for a request and its estimated cost.
type placement struct {
	upstream *upstreamState
	cost     time.Duration
}

// usableConnShare is the share of an upstream's connections that the fleet
// uses. The connections of a VM that died count for a while longer, and an
// upstream accepts fewer while its queue is long.
const usableConnShare = 0.85

// costJitter is the range of the random cost that distributes requests over
// upstreams of similar cost.
const costJitter = time.Millisecond

// chooseUpstream returns the upstream of the service with the lowest cost that
// has not been tried. The caller holds the lock.
func (r *Relay) chooseUpstream(table *driftroute.Table, service string, tried []*upstreamState, w requirements, now time.Time) (best placement, ok bool) {
	published, known := table.Service(service)
	if !known && service != forwardService {
		return best, false
	}
	w.averageLoad = r.averageLoads[service].requests
	usable := r.newOptions(service)
	m := r.roomOf(table, service)
	for _, e := range r.upstreamsOf(service) {
		out := r.outSince[e.Domain]
		if slices.Contains(tried, e) || !e.acceptsRequests(now, out, r.graces) {
			continue
		}
		if len(e.idleConns) == 0 && e.openConns >= r.maxConns(e, published.MaxConns) {
			continue
		}
		if e.countsAsCold(published, now) && !r.allowsColdRequest(e, published, now) {
			r.probeIfUnproven(e, published, now)
			continue
		}
		if !r.withinRateLimit(e, now) || r.waitsBound(m, e, now) {
			continue
		}
		r.addOption(&usable, e, w, m, !out.IsZero(), now)
	}
	return r.choose(&usable, published, w, now)
}

// noUpstreamReason describes, for the log, why no upstream of the service can
// take a request. The caller holds the lock.
func (r *Relay) noUpstreamReason(service string, tried []*upstreamState, now time.Time) string {
	var leaving, out, unreachable, closed int
	known := r.upstreamsOf(service)
	for _, e := range known {
		switch {
		case slices.Contains(tried, e):
		case !e.removedAt.IsZero() || !e.leavingAt.IsZero():
			leaving++
		case !r.outSince[e.Domain].IsZero():
			out++
		case now.Before(e.downUntil):
			unreachable++
		case now.Before(e.closed.until):
			closed++
		}
	}
	return fmt.Sprintf("no other upstream of %d: %d tried, %d leaving, %d in a domain that is out, %d not reachable of late, %d closed to this VM",
		len(known), len(tried), leaving, out, unreachable, closed)
}

// coldRate returns how many requests per second this VM may send to a cold
// upstream, and false if there is no limit. The caller holds the lock.
func (r *Relay) coldRate(e *upstreamState, service driftroute.Service) (perSecond int, limited bool) {
	if service.ColdRate <= 0 {
		return 0, false
	}
	return r.units(e, &e.coldUnits, int(service.ColdRate)), true
}

// maxConns returns how many connections this VM may hold to an upstream or
// another VM. The caller holds the lock.
func (r *Relay) maxConns(e *upstreamState, conns int) int {
	if e.Service == forwardService {
		return maxForwardConns
	}
	return r.units(e, &e.connUnits, int(usableConnShare*float64(conns)))
}

// maxFreshIdle is the longest idle time of a connection that may carry a
// non-idempotent request: an upstream may already have dropped an older one.
const maxFreshIdle = 300 * time.Millisecond

// popIdleConn removes and returns an idle connection of the upstream, or nil if
// there is none. Fresh asks for one that has been idle for at most
// maxFreshIdle. The caller holds the lock.
func (e *upstreamState) popIdleConn(now time.Time, fresh bool) *driftexchange.Conn {
	for len(e.idleConns) > 0 {
		last := len(e.idleConns) - 1
		c := e.idleConns[last]
		if fresh && c.IdleTime(now) > maxFreshIdle {
			break
		}
		e.idleConns = e.idleConns[:last]
		if c.Usable(now) {
			return c
		}
		c.Close()
	}
	if fresh && len(e.idleConns) > 0 {
		e.idleConns[0].Close()
		e.idleConns = slices.Delete(e.idleConns, 0, 1)
	}
	return nil
}

// dialTimeout limits the time for opening a connection.
const dialTimeout = 600 * time.Millisecond

// dial opens a connection that counts in openConns until it has ended.
func (r *Relay) dial(ctx context.Context, e *upstreamState) (*driftexchange.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	headers := r.headers
	if e.Service == forwardService {
		headers = forwardHeaders(headers)
	}
	c, err := driftexchange.Dial(bounded, r.dialer, e.Address, headers, driftexchange.WithMemory(r.memory))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		e.openConns--
		e.doubtConns(time.Now())
		return nil, err
	}
	e.established[c] = &connProof{acceptedAt: time.Now()}
	go func() {
		<-c.Closed()
		r.mu.Lock()
		defer r.mu.Unlock()
		e.openConns--
		delete(e.established, c)
		if i := slices.Index(e.idleConns, c); i >= 0 {
			e.idleConns = slices.Delete(e.idleConns, i, i+1)
		}
	}()
	return c, nil
}
