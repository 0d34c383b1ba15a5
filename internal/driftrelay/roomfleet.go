package driftrelay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
	"github.com/almonddrift/almonddrift/internal/driftroom"
	"github.com/almonddrift/almonddrift/internal/driftroute"
	"github.com/almonddrift/almonddrift/internal/driftspeed"
)

// RoomClaim is the demand of one class and client account at one VM for slots of one
// service that is short of them.
type RoomClaim struct {
	Service, Class, Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Demand is how many requests are in flight or wait on average, and Running how many
	// of them are in flight.
	Demand, Running float64
}

// maxServiceClaims bounds the claims for one service that a VM announces, and
// maxRoomClaims those for all services.
const (
	maxServiceClaims = 20
	maxRoomClaims    = 80
)

// minClaimDemand is the least demand that is announced.
const minClaimDemand = 0.02

// WithRoomReport sets the function that tells other VMs of this VM's demand for slots of
// services that are short of them, from then until it is called again. It must not block.
func WithRoomReport(report func([]RoomClaim)) Option {
	return func(r *Relay) { r.reportRoom = report }
}

// roomState is what the relay knows of services whose slots are arbitrated.
type roomState struct {
	rooms      map[string]*room
	reportRoom func([]RoomClaim)
	// reached and known are how many VMs are alive and how many there may be.
	reached, known int
	// roomTable is the version that competitors belongs to.
	roomTable   *driftroute.Table
	competitors map[string]competition
	shortRooms  int
}

func newRoomState() roomState {
	return roomState{rooms: make(map[string]*room), reportRoom: func([]RoomClaim) {}}
}

// SetReach sets how many VMs are alive, this one included, and how many there may be on
// both sides of a partition.
func (r *Relay) SetReach(reached, known int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached, r.known = reached, known
}

// competition is who competes for a service by the configuration.
type competition struct{ classes, accounts int }

// competitionsOf returns the services whose slots are arbitrated: those of routes with
// different priorities, and all services if there are client accounts. Shards of a Gather
// are not: a query waits for the slowest of its parts, and a turn at each shard adds up to
// more than the queues of the upstreams (docs/design/room.md).
func competitionsOf(config driftroute.Config) map[string]competition {
	routes := make(map[string][]driftroute.Route)
	shards := make(map[string]bool)
	for _, route := range config.Routes {
		_, isGather := route.Target.(driftroute.Gather)
		for _, service := range servicesOf(route.Target) {
			routes[service] = append(routes[service], route)
			shards[service] = shards[service] || isGather
		}
	}
	accounts := config.Accounts.Len()
	found := make(map[string]competition)
	for service, list := range routes {
		ranked := slices.ContainsFunc(list, func(route driftroute.Route) bool { return route.Priority != list[0].Priority })
		if !shards[service] && (ranked || accounts > 0) {
			found[service] = competition{classes: len(list), accounts: max(1, accounts)}
		}
	}
	return found
}

// servicesOf returns the services of a target.
func servicesOf(target driftroute.Target) (services []string) {
	switch target := target.(type) {
	case driftroute.Single:
		return []string{target.Service}
	case driftroute.Split:
		for _, p := range target.Services {
			services = append(services, p.Service)
		}
	case driftroute.Gather:
		return target.Shards
	case driftroute.Forward:
	}
	return services
}

// roomOf returns the room of a service, nil if its slots are not arbitrated. The caller
// holds the lock.
func (r *Relay) roomOf(table *driftroute.Table, service string) *room {
	if service == forwardService || table == nil || r.table == nil {
		return nil
	}
	if r.roomTable != r.table {
		r.roomTable, r.competitors = r.table, competitionsOf(r.table.Config)
	}
	c, ok := r.competitors[service]
	if !ok {
		return nil
	}
	m, ok := r.rooms[service]
	if !ok {
		m = &room{service: service, board: driftroom.NewBoard(), claims: make(map[claimKey]*ownClaim), boost: 1, typical: initialRoomTime}
		r.rooms[service] = m
	}
	m.classes, m.accounts = c.classes, c.accounts
	return m
}

// initialRoomTime is the typical time of a service's attempts before the first.
const initialRoomTime = 10 * time.Millisecond

// checkRoom updates what is known of the load of a service, and whether it is short of
// slots. The caller holds the lock.
func (r *Relay) checkRoom(m *room, now time.Time) {
	if now.Sub(m.checkedAt) < roomCheckGap {
		return
	}
	m.updateCredit(now)
	m.checkedAt = now
	r.countSlots(m, now)
	m.checkedUse = m.inUse()
	if m.slots > 0 {
		demand, running := m.board.Others(now)
		wanted := max(m.backlog, float64(max(0, m.inFlight-m.stuck))+running) + float64(len(m.waiters)) + max(0, demand-running)
		m.load.setWithin(wanted/m.slots, loadDecay, now)
		switch {
		case m.load.value >= 1:
			m.enoughSince = time.Time{}
			r.setShort(m, true, wanted)
		case !m.short:
		case m.load.value >= shortEndShare:
			m.enoughSince = time.Time{}
		case m.enoughSince.IsZero():
			m.enoughSince = now
		case now.Sub(m.enoughSince) >= shortEnd:
			r.setShort(m, false, wanted)
		}
	}
	if m.short && now.Sub(m.partAt) >= partGap {
		r.updateParts(m, now)
	}
}

// countSlots counts the slots of the usable upstreams of a service and what these are
// expected to have. The caller holds the lock.
func (r *Relay) countSlots(m *room, now time.Time) {
	m.slots, m.backlog, m.others, m.idle, m.reported, m.stuck = 0, 0, 0, 0, false, 0
	average := r.averageLoads[m.service].requests
	for _, e := range r.upstreamsOf(m.service) {
		stuck, abandoned := e.heldUp(now, minStuckTime)
		m.stuck += stuck + abandoned
		// Upstreams that hold requests up, or could not be reached when last tried, are not
		// expected to serve others.
		if !e.acceptsRequests(now, r.outSince[e.Domain], r.graces) || e.isDark(now) || e.downBackoff > 0 {
			continue
		}
		inFlight := len(e.inFlight) - abandoned
		slots := float64(max(1, e.Slots))
		backlog, deviation := EstimateBacklog(inFlight, e.othersLoad, now.Sub(e.loadAt), m.typical, average)
		m.slots += slots
		m.backlog += backlog
		m.idle += driftspeed.ExpectedExcess(slots-backlog, deviation)
		m.others += backlog - float64(inFlight)
		m.reported = m.reported || !e.loadAt.IsZero()
	}
}

// heldUp returns how many attempts at the upstream take that much longer than twice the
// expected time, and how many others were given up.
func (e *upstreamState) heldUp(now time.Time, by time.Duration) (stuck, abandoned int) {
	for _, f := range e.inFlight {
		switch {
		case f.abandoned:
			abandoned++
		case now.Sub(f.started)-2*f.expected > by:
			stuck++
		}
	}
	return stuck, abandoned
}

// isDark reports whether the upstream has answered nobody of this VM for long, although
// it was asked.
func (e *upstreamState) isDark(now time.Time) bool {
	stuck, _ := e.heldUp(now, minDarkTime)
	return stuck > 0 && now.Sub(e.loadAt) > minDarkTime && now.Sub(e.slowdownAt) > minDarkTime
}

// setShort records whether a service is short of slots.
func (r *Relay) setShort(m *room, short bool, wanted float64) {
	if m.short == short {
		return
	}
	m.short = short
	detail := fmt.Sprintf("%.0f requests for %.0f slots", wanted, m.slots)
	if short {
		r.shortRooms++
		r.events.Record(driftevent.ServiceShort, "", m.service, detail)
	} else {
		r.shortRooms--
		m.boost = 1
		r.events.Record(driftevent.ServiceNotShort, "", m.service, detail)
	}
	r.metrics.setShortServices(r.shortRooms)
}

// updateParts computes this VM's part of the slots. The caller holds the lock.
func (r *Relay) updateParts(m *room, now time.Time) {
	m.updateCredit(now)
	m.partAt = now
	fleet := driftroom.Fleet{Reached: max(1, r.reached), Known: max(1, r.known), Foreign: -1}
	if m.reported {
		_, running := m.board.Others(now)
		fleet.Foreign = max(0, m.others-running)
	}
	slots := roomFactor * m.slots
	parts := m.board.Parts(slots, fleet, now)
	for _, c := range m.claims {
		c.part, c.floor, c.met = 0, 0, m.board.Meets(c.rank)
	}
	for _, p := range parts {
		if c, ok := m.claims[claimKey{class: p.Class, account: p.Account}]; ok {
			c.part, c.floor = p.Slots, p.Floor
		}
	}
	m.part = m.boost * driftroom.Sum(parts, slots, fleet)
}

// tickRooms updates the rooms and returns the claims to announce. The caller holds the
// lock.
func (r *Relay) tickRooms(now time.Time) (announced []RoomClaim) {
	for service, m := range r.rooms {
		if _, ok := r.competitors[service]; !ok && m.inUse() == 0 && len(m.waiters) == 0 {
			r.setShort(m, false, 0)
			delete(r.rooms, service)
			continue
		}
		othersShort := m.board.Expire(now)
		r.checkRoom(m, now)
		m.adjustBoost(now)
		r.forgiveRefusals(m, now)
		claims := m.ownClaims(now)
		if (m.short || othersShort) && len(claims) > 0 && len(announced)+len(claims) <= maxRoomClaims {
			m.announce(r.roomClaims(m, r.self.Domain, claims, 1), now)
			announced = append(announced, claims...)
		}
		r.dispatch(m, now)
	}
	return announced
}

// adjustBoost lets the VM exceed its part in small steps while upstreams report idle
// slots and requests wait, and takes that back once they do not. It handles demand that
// moves between VMs, and fractions that VMs leave.
func (m *room) adjustBoost(now time.Time) {
	switch {
	case !m.inForce(now) || m.idle < minIdleShare*m.slots || m.backlog > maxBacklogShare*m.slots:
		m.boost = max(1, m.boost/boostStep)
	case m.reported && len(m.waiters) > 0 && m.idle > maxIdleShare*m.slots:
		m.boost = min(maxBoost, m.boost*(1+min(maxBoostStep, m.idle/m.slots)))
	}
}

// forgiveRefusals forgets once, soon after the order came into force, which upstreams
// have refused requests. It handles the flood before: all VMs would avoid the upstreams
// whose queues were full for seconds, while their slots are idle. Those that refuse for
// another reason are known again by their next refusal. The caller holds the lock.
func (r *Relay) forgiveRefusals(m *room, now time.Time) {
	switch {
	case !m.inForce(now):
		m.orderedSince, m.forgave = time.Time{}, false
	case m.orderedSince.IsZero():
		m.orderedSince = now
	case !m.forgave && now.Sub(m.orderedSince) >= forgiveAfter:
		m.forgave = true
		for _, e := range r.upstreamsOf(m.service) {
			e.refusalRate = movingAverage{}
		}
	}
}

// ownClaims returns the demand of this VM, the greatest first, at most maxServiceClaims.
func (m *room) ownClaims(now time.Time) (claims []RoomClaim) {
	for key, c := range m.claims {
		c.update(now)
		// Beyond all slots, more demand gets no more of them.
		demand := min(c.demand.at(now), m.slots)
		if demand < minClaimDemand {
			if c.inFlight+c.granted+c.waiting == 0 {
				delete(m.claims, key)
			}
			continue
		}
		claims = append(claims, RoomClaim{
			Service: m.service, Class: key.class, Account: key.account, Priority: c.rank.Priority,
			Demand: demand, Running: c.running.at(now),
		})
	}
	slices.SortFunc(claims, func(a, b RoomClaim) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Account, b.Account))
	})
	return claims[:min(len(claims), maxServiceClaims)]
}

// roomClaims returns announced claims as claims on a room. Reach is the share of the VMs
// that hear of them: a few that are heard of stand for all. The caller holds the lock.
func (r *Relay) roomClaims(m *room, domain string, announced []RoomClaim, reach float64) (claims []driftroom.Claim) {
	domains := map[string]bool{r.self.Domain: true, domain: true}
	for _, vm := range r.others {
		domains[vm.Domain] = true
	}
	floor := driftroom.FloorShare / float64(max(1, m.classes)*max(1, m.accounts)*len(domains))
	for _, a := range announced {
		rank := driftroom.Rank{Priority: a.Priority}
		for _, route := range r.table.Config.Routes {
			if route.Name == a.Class {
				rank.Objective, rank.Timeout = route.LatencyObjective, route.Timeout
			}
		}
		claims = append(claims, driftroom.Claim{
			Claimant: driftroom.Claimant{Class: a.Class, Account: a.Account, Domain: domain},
			Rank:     rank, Demand: a.Demand / reach, Running: a.Running / reach, Floor: floor,
		})
	}
	return claims
}

// HearRoom records the demand of another VM for slots of one service. Reach is the share
// of the VMs with load that it tells.
func (r *Relay) HearRoom(vm, domain string, announced []RoomClaim, reach float64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table == nil || len(announced) == 0 {
		return
	}
	m := r.roomOf(r.table, announced[0].Service)
	if m == nil {
		return
	}
	m.board.Hear(vm, r.roomClaims(m, domain, announced, reach), now)
}
